package httpjson

import (
	"net"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
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
}

// SetReadDeadline implements net.Conn.
func (c *patientConn) SetReadDeadline(t time.Time) error {
	c.due, c.got = t, 0
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *patientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
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
