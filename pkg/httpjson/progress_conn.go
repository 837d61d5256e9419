package httpjson

import (
	"errors"
	"net"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/http1"
)

const (
	// maxReadPause is the longest pause within an answer that has begun. A link of
	// 10 Mbit/s that carries a burst of 0.5 MB besides pauses for 0.4 s.
	maxReadPause = 700 * time.Millisecond
	// maxOverrun is how much longer than the caller's limit an answer may take
	// in all: 5 MB at 10 Mbit/s. It is well under the time that a stop has.
	maxOverrun = 4 * time.Second
)

// largeResponseBytes is from how many bytes on an answer is taken to be a large one: 50 ms of a
// link of 10 Mbit/s.
const largeResponseBytes = 64 << 10

// progressConn takes a call's limit as the time by which its answer must begin: the
// answer then goes on as long as its bytes keep coming. A limit of the whole call
// would have a large answer over a narrow link begin again and again, and never
// arrive: 2 MB take 1.6 s at 10 Mbit/s.
type progressConn struct {
	net.Conn
	client   *Client
	deadline time.Time // Zero without a limit.
	received int       // Bytes of this answer.
	// idle says that it has answered before and nothing has been sent since.
	idle bool
}

// errClosedWhileIdle is a connection that its server had closed before anything of the call
// was sent on it.
var errClosedWhileIdle = errors.New("connection was closed while it rested")

// Write implements net.Conn. Sent on a connection that its server has closed, a call would
// seem to have been lost underway: prompts were answered 502 that no engine had begun, and
// engines that had ended before were counted as ended under them.
func (c *progressConn) Write(b []byte) (int, error) {
	if c.idle {
		if closed, err := http1.PeerClosed(c.Conn); closed || err != nil {
			return 0, errClosedWhileIdle
		}
	}
	c.idle = false
	return c.Conn.Write(b)
}

// SetReadDeadline implements net.Conn.
func (c *progressConn) SetReadDeadline(t time.Time) error {
	c.deadline, c.received = t, 0
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *progressConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.idle = true
	if err != nil || n == 0 || c.deadline.IsZero() {
		return n, err
	}
	now := time.Now()
	if c.received < largeResponseBytes && c.received+n >= largeResponseBytes {
		startedAt := boottime.Now()
		c.client.lastLarge.Store(&startedAt)
	}
	c.received += n
	readDeadline := now.Add(maxReadPause)
	if latest := c.deadline.Add(maxOverrun); readDeadline.After(latest) {
		readDeadline = latest
	}
	if readDeadline.After(c.deadline) {
		err = c.Conn.SetReadDeadline(readDeadline)
	}
	return n, err
}
