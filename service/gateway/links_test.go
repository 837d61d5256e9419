package gateway

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// linkChunkBytes is how many bytes pass a link at once, so that connections share it
	// evenly: 3 ms of 10 Mbit/s.
	linkChunkBytes = 4 << 10
	// linkBufferBytes bounds what a connection buffers before the link, so that a sender
	// notices the link's rate.
	linkBufferBytes = 64 << 10
	// maxLinkLag is how much a link makes up for when timers are late.
	maxLinkLag = 10 * time.Millisecond
	// bytesPerMbit converts Mbit/s to bytes per second.
	bytesPerMbit = 1e6 / 8
)

// link simulates a node's network link; all its connections share the rate of each
// direction.
type link struct {
	in, out linkDirection
	// received counts the bytes that have come in.
	received atomic.Int64
	// frozen links carry no more data, though connections stay open and are accepted,
	// like those of a stopped process.
	frozen atomic.Bool
}

func newLink(mbit float64) *link {
	rate := mbit * bytesPerMbit
	return &link{in: linkDirection{rate: rate}, out: linkDirection{rate: rate}}
}

// linkDirection is one direction of a link.
type linkDirection struct {
	rate float64 // Bytes per second.

	mu        sync.Mutex
	busyUntil time.Time // When all bytes reserved so far have passed.
}

// reserve schedules n bytes and returns when they have passed.
func (l *linkDirection) reserve(n int, now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if late := now.Add(-maxLinkLag); l.busyUntil.Before(late) {
		l.busyUntil = late
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	return l.busyUntil
}

// links forwards connections between nodes that have links.
type links struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu   sync.Mutex
	open map[io.Closer]struct{}
}

func newLinks() *links {
	l := &links{open: map[io.Closer]struct{}{}}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// Close ends all connections and waits.
func (l *links) Close() {
	l.mu.Lock()
	l.cancel()
	for c := range l.open {
		_ = c.Close() // Its goroutine notices.
	}
	l.mu.Unlock()
	l.wg.Wait()
}

// keep registers c to be closed by Close; ok is false if that has been called.
func (l *links) keep(c io.Closer) (ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		_ = c.Close() // Nothing uses it yet.
		return false
	}
	l.open[c] = struct{}{}
	return true
}

func (l *links) drop(c io.Closer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	_ = c.Close() // Both ends see it.
}

// connect returns an address at which the node at the near link reaches a target behind
// the far one; a nil link is unlimited.
func (l *links) connect(t testing.TB, near, far *link, target netip.AddrPort) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l.keep(ln)
	l.wg.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			l.wg.Go(func() { l.join(conn, near, far, target) })
		}
	})
	return ln.Addr().(*net.TCPAddr).AddrPort() // It is a TCP listener.
}

// join forwards one connection until either end closes it.
func (l *links) join(from net.Conn, near, far *link, target netip.AddrPort) {
	to, err := net.Dial("tcp", target.String())
	if err != nil {
		_ = from.Close() // The dialler sees it.
		return
	}
	for _, c := range []net.Conn{from, to} {
		_ = c.(*net.TCPConn).SetReadBuffer(linkBufferBytes) // Only the sender's view depends on it.
		if !l.keep(c) {
			return
		}
	}
	var both sync.WaitGroup
	both.Go(func() { l.carry(to, from, near, far) })
	both.Go(func() { l.carry(from, to, far, near) })
	both.Wait()
}

// carry copies what src sends at the rate of the sender's and the receiver's link.
func (l *links) carry(dst, src net.Conn, sender, receiver *link) {
	defer l.drop(src)
	defer l.drop(dst)
	buf := make([]byte, linkChunkBytes)
	for {
		n, err := src.Read(buf)
		if err != nil || !l.pace(n, sender, receiver) {
			return
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

// pace waits until n bytes have passed both links; ok is false if they never do.
func (l *links) pace(n int, sender, receiver *link) (ok bool) {
	now := time.Now()
	due := now
	if sender != nil {
		due = sender.out.reserve(n, now)
	}
	if receiver != nil {
		if in := receiver.in.reserve(n, now); in.After(due) {
			due = in
		}
	}
	sleep(l.ctx, time.Until(due))
	for _, x := range []*link{sender, receiver} {
		if x != nil && x.frozen.Load() {
			<-l.ctx.Done()
		}
	}
	if receiver != nil {
		receiver.received.Add(int64(n))
	}
	return l.ctx.Err() == nil
}

// A link that let more through than its rate would hide the delays that slow links
// cause.
func TestLinkRateIsSharedByAllConnections(t *testing.T) {
	const (
		mbit        = 10
		total       = 500_000
		minDuration = total / (mbit * bytesPerMbit) * float64(time.Second)
	)
	server, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := newLinks()
	defer l.Close()
	defer func() { _ = server.Close() }() // No longer needed.
	near := newLink(mbit)
	addr := l.connect(t, near, nil, server.Addr().(*net.TCPAddr).AddrPort())
	started := time.Now()
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			conn, err := server.Accept()
			assert.Check(t, err)
			_, err = conn.Write(make([]byte, total/2))
			assert.Check(t, err)
			_ = conn.Close() // All is written.
		})
		wg.Go(func() {
			conn, err := net.Dial("tcp", addr.String())
			assert.Check(t, err)
			n, err := io.Copy(io.Discard, conn)
			assert.Check(t, err)
			assert.Check(t, n == total/2)
			_ = conn.Close() // All is read.
		})
	}
	wg.Wait()
	assert.Assert(t, float64(time.Since(started)+2*maxLinkLag) > minDuration, "%v", time.Since(started))
	assert.Equal(t, near.received.Load(), int64(total))
}
