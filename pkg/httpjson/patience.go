package httpjson

import (
	"net"
	"time"
)

const (
	// answerPause is the longest pause within an answer that has begun. A link of
	// 10 Mbit/s that carries a burst of 0.5 MB besides pauses for 0.4 s.
	answerPause = 700 * time.Millisecond
	// answerMost is how much longer than the caller's limit an answer may take
	// in all: 12 MB at 10 Mbit/s.
	answerMost = 10 * time.Second
)

// patientConn takes a call's limit as the time by which its answer must begin: the
// answer then goes on as long as its bytes keep coming. A limit of the whole call
// would have a large answer over a narrow link begin again and again, and never
// arrive: 2 MB take 1.6 s at 10 Mbit/s.
type patientConn struct {
	net.Conn
	due time.Time // Zero without a limit.
}

// SetReadDeadline implements net.Conn.
func (c *patientConn) SetReadDeadline(t time.Time) error {
	c.due = t
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *patientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil || n == 0 || c.due.IsZero() {
		return n, err
	}
	next := time.Now().Add(answerPause)
	if most := c.due.Add(answerMost); next.After(most) {
		next = most
	}
	if next.After(c.due) {
		err = c.Conn.SetReadDeadline(next)
	}
	return n, err
}
