package httpjson

import (
	"errors"
	"net"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/http1"
)

const (
	// maxReadPause is the longest allowed pause within an answer. An answer pauses
	// for 0.4 s while a link of 10 Mbit/s carries another burst of 0.5 MB.
	maxReadPause = 700 * time.Millisecond
	// maxOverrun is how long after the deadline an answer may end: the time of 5 MB
	// at 10 Mbit/s. It is well below the time allowed for a shutdown.
	maxOverrun = 4 * time.Second
)

// largeResponseBytes is the size from which an answer counts as large: 50 ms on a
// link of 10 Mbit/s.
const largeResponseBytes = 64 << 10

// progressConn applies a call's deadline to the beginning of its answer, which may
// then go on as long as bytes keep arriving. With a deadline for the whole call, a
// large answer over a slow link would be retried again and again and never complete:
// 2 MB take 1.6 s at 10 Mbit/s.
type progressConn struct {
	net.Conn
	client   *Client
	deadline time.Time // Zero if there is none.
	received int       // Bytes received of this answer.
	// idle is set by reads and cleared by writes: a write to an idle connection
	// begins a new call.
	idle bool
}

// errClosedWhileIdle means that the server had closed the connection before anything
// of the call was sent on it.
var errClosedWhileIdle = errors.New("connection was closed while it rested")

// Write implements net.Conn. It first checks whether the server has closed an idle
// connection: a call sent on it would fail as if it might have run. Prompts that no
// engine had started got status 502, and engines that had ended earlier were counted
// as ended while running them.
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
		reachedAt := boottime.Now()
		c.client.lastLarge.Store(&reachedAt)
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
