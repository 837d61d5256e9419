package httpjson

import (
	"errors"
	"net"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/http1"
)

const (
	// answerPause is the longest pause within an answer that has begun. A link of
	// 10 Mbit/s that carries a burst of 0.5 MB besides pauses for 0.4 s.
	answerPause = 700 * time.Millisecond
	// answerMost is how much longer than the caller's limit an answer may take
	// in all: 5 MB at 10 Mbit/s. It is well under the time that a stop has.
	answerMost = 4 * time.Second
)

// largeAnswer is from how many bytes on an answer is taken to be a large one: 50 ms of a
// link of 10 Mbit/s.
const largeAnswer = 64 << 10

// patientConn takes a call's limit as the time by which its answer must begin: the
// answer then goes on as long as its bytes keep coming. A limit of the whole call
// would have a large answer over a narrow link begin again and again, and never
// arrive: 2 MB take 1.6 s at 10 Mbit/s.
type patientConn struct {
	net.Conn
	c   *Client
	due time.Time // Zero without a limit.
	got int       // Bytes of this answer.
	// rested says that it has answered before and nothing has been sent since.
	rested bool
}

// errClosedAtRest is a connection that its server had closed before anything of the call
// was sent on it.
var errClosedAtRest = errors.New("connection was closed while it rested")

// Write implements net.Conn. Sent on a connection that its server has closed, a call would
// seem to have been lost underway: prompts were answered 502 that no engine had begun, and
// engines that had ended before were counted as ended under them.
func (c *patientConn) Write(b []byte) (int, error) {
	if c.rested {
		if left, err := http1.PeerClosed(c.Conn); left || err != nil {
			return 0, errClosedAtRest
		}
	}
	c.rested = false
	return c.Conn.Write(b)
}

// SetReadDeadline implements net.Conn.
func (c *patientConn) SetReadDeadline(t time.Time) error {
	c.due, c.got = t, 0
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *patientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.rested = true
	if err != nil || n == 0 || c.due.IsZero() {
		return n, err
	}
	now := time.Now()
	if c.got < largeAnswer && c.got+n >= largeAnswer {
		large := boottime.Now()
		c.c.large.Store(&large)
	}
	c.got += n
	next := now.Add(answerPause)
	if most := c.due.Add(answerMost); next.After(most) {
		next = most
	}
	if next.After(c.due) {
		err = c.Conn.SetReadDeadline(next)
	}
	return n, err
}
