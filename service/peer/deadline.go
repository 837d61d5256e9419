package peer

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"
)

const (
	// writeTimeout is how long a write may wait for a peer that does not read, such as
	// a frozen process; the connection breaks after that.
	writeTimeout = 2 * time.Second
	// writeChunk is how many bytes are written under one writeTimeout; a link of
	// 10 Mbit/s takes 50 ms for them. With one timeout for a whole message, a message of
	// 2.5 MB broke its connection on such a link, and all calls in flight on it.
	writeChunk = 64 << 10
	// maxReceivePause is the longest pause within an answer before its call is given up.
	maxReceivePause = silenceTimeout
	// maxExtraWait is how long after its start deadline an answer may still arrive;
	// 6 MB pass at 10 Mbit/s in that time.
	maxExtraWait = 5 * time.Second
	// receivePollInterval is how often a call past its start deadline checks that its
	// answer is still arriving.
	receivePollInterval = 100 * time.Millisecond
	// silenceTimeout is how long a node that owes an answer may send nothing before its
	// connection is considered lost. A link of 10 Mbit/s pauses for 0.4 s while it
	// carries a burst of 0.5 MB of other traffic.
	silenceTimeout = 700 * time.Millisecond
)

// errSilent is the error of a call whose peer has sent nothing for too long.
var errSilent = errors.New("no answer in time")

// timedConn sets a deadline for each chunk of a write, and records when bytes were last
// received.
type timedConn struct {
	net.Conn
	createdAt  time.Time    // Has a monotonic clock reading, which clock changes do not affect.
	receivedAt atomic.Int64 // Last receipt of bytes, in nanoseconds since createdAt.
	// receiving is set while a message is being read, and decoding while a complete one
	// is being decoded, which takes longer than maxReceivePause for a few MB on a busy
	// machine.
	receiving atomic.Bool
	decoding  atomic.Bool
	// announcedAt is when the peer announced a large answer, in nanoseconds since createdAt.
	// It is 0 if none was announced or the answer has arrived.
	announcedAt atomic.Int64
}

func newTimedConn(conn net.Conn) *timedConn { return &timedConn{Conn: conn, createdAt: time.Now()} }

// answerComing reports whether a message is being received or a large answer was announced.
// Bytes of earlier messages are no sign of an answer that has not begun.
func (c *timedConn) answerComing() bool {
	if c.receiving.Load() || c.decoding.Load() {
		return true
	}
	announcedAt := c.announcedAt.Load()
	return announcedAt != 0 && time.Since(c.createdAt)-time.Duration(announcedAt) < maxExtraWait
}

// recordAnnouncement records that the peer announced a large answer.
func (c *timedConn) recordAnnouncement() { c.announcedAt.Store(max(1, int64(time.Since(c.createdAt)))) }

// lastReceived returns when bytes were last received; that is now while a message is being
// decoded.
func (c *timedConn) lastReceived() time.Time {
	if c.decoding.Load() {
		return time.Now()
	}
	return c.createdAt.Add(time.Duration(c.receivedAt.Load()))
}

// recordReceived records that bytes were received now.
func (c *timedConn) recordReceived() { c.receivedAt.Store(int64(time.Since(c.createdAt))) }

// startDecoding records that a message is being decoded until the returned function is called.
func (c *timedConn) startDecoding(large bool) (done func()) {
	c.decoding.Store(true)
	if large {
		c.announcedAt.Store(0)
	}
	return func() {
		c.recordReceived()
		c.decoding.Store(false)
	}
}

// Read implements net.Conn.
func (c *timedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.recordReceived()
	}
	return n, err
}

// Write implements net.Conn.
func (c *timedConn) Write(b []byte) (written int, err error) {
	for {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:min(len(b), written+writeChunk)])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// cancelWhenSilent cancels a call at its deadline, or if its answer is arriving then, once
// that stops: a large answer on a slow link is not given up and requested again while it is
// being received. The returned function ends the monitoring.
func (c *timedConn) cancelWhenSilent(cancel context.CancelCauseFunc, deadline time.Time) (stop func()) {
	done := make(chan struct{})
	go func() {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case now := <-t.C:
				silentAt := c.lastReceived().Add(maxReceivePause)
				if !c.answerComing() || !silentAt.After(now) || now.Sub(deadline) >= maxExtraWait {
					cancel(errSilent)
					return
				}
				t.Reset(min(receivePollInterval, silentAt.Sub(now)))
			}
		}
	}()
	return func() { close(done) }
}
