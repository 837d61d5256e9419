package peer

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"
)

const (
	// writeTimeout bounds how long a write may wait for a peer that does not read,
	// such as a frozen one; the connection ends then.
	writeTimeout = 2 * time.Second
	// writePiece is what is written under one such bound, in bytes: 50 ms of a link
	// of 10 Mbit/s. Under one bound for the whole, a message of 2.5 MB ended its
	// connection there, and each call that was under way on it.
	writePiece = 64 << 10
	// comingPause is the longest pause within a message that is taken to be on its
	// way, and comingMost how much longer than its limit an answer is waited for in
	// all: 6 MB at 10 Mbit/s.
	comingPause = silentTerm
	comingMost  = 5 * time.Second
	// comingLook is how often it is looked whether one still comes.
	comingLook = 100 * time.Millisecond
	// silentTerm is for how long nothing may come of a node that owes an answer
	// until its connection is taken to be dead. A link of 10 Mbit/s that carries a
	// burst of 0.5 MB besides pauses for 0.4 s.
	silentTerm = 700 * time.Millisecond
)

// errSilent ends a call whose peer has said nothing for too long.
var errSilent = errors.New("no answer in time")

// timedConn gives each piece of a write a deadline, and tells when bytes came last.
type timedConn struct {
	net.Conn
	made time.Time    // Has the steady clock, which does not jump.
	came atomic.Int64 // Nanoseconds since made.
	// receiving is set while a message comes in, and decoding while one that has come
	// whole is decoded, which takes longer than comingPause for some MB on a busy
	// machine.
	receiving atomic.Bool
	decoding  atomic.Bool
	// told is when the node said that it is making a large answer, in nanoseconds since made;
	// 0 if that has come, or it said nothing.
	told atomic.Int64
}

func newTimedConn(conn net.Conn) *timedConn { return &timedConn{Conn: conn, made: time.Now()} }

// coming says whether a message is on its way. Other bytes of the connection say
// nothing of an answer that has not begun.
func (c *timedConn) coming() bool {
	if c.receiving.Load() || c.decoding.Load() {
		return true
	}
	told := c.told.Load()
	return told != 0 && time.Since(c.made)-time.Duration(told) < comingMost
}

// tells notes that the node makes a large answer.
func (c *timedConn) tells() { c.told.Store(max(1, int64(time.Since(c.made)))) }

// heard is when bytes came last, or were still being taken in.
func (c *timedConn) heard() time.Time {
	if c.decoding.Load() {
		return time.Now()
	}
	return c.made.Add(time.Duration(c.came.Load()))
}

func (c *timedConn) note() { c.came.Store(int64(time.Since(c.made))) }

// decodes notes that a message is being decoded until the returned function is called.
func (c *timedConn) decodes(large bool) (done func()) {
	c.decoding.Store(true)
	if large {
		c.told.Store(0)
	}
	return func() {
		c.note()
		c.decoding.Store(false)
	}
}

// Read implements net.Conn.
func (c *timedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.note()
	}
	return n, err
}

// Write implements net.Conn.
func (c *timedConn) Write(b []byte) (written int, err error) {
	for {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:min(len(b), written+writePiece)])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// endWhenSilent cancels a call at its limit, or behind that once no message is coming
// in any more: an answer that is large for its link is not given up and asked for again
// while it is on its way. The returned function stops it.
func (c *timedConn) endWhenSilent(cancel context.CancelCauseFunc, limit time.Time) (stop func()) {
	done := make(chan struct{})
	go func() {
		t := time.NewTimer(time.Until(limit))
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case now := <-t.C:
				next := c.heard().Add(comingPause)
				if !c.coming() || !next.After(now) || now.Sub(limit) >= comingMost {
					cancel(errSilent)
					return
				}
				t.Reset(min(comingLook, next.Sub(now)))
			}
		}
	}()
	return func() { close(done) }
}
