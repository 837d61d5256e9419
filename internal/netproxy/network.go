package netproxy

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/drumpath/drumpath/pkg/timer"
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

// SharedLink simulates a node's network link; all its connections share the rate of each
// direction.
type SharedLink struct {
	in, out  linkDirection
	received atomic.Int64
	frozen   atomic.Bool
}

// NewSharedLink returns a link of some Mbit/s in each direction.
func NewSharedLink(mbit float64) *SharedLink {
	l := &SharedLink{}
	l.SetRate(mbit)
	return l
}

// SetRate sets the rate of both directions in Mbit/s.
func (l *SharedLink) SetRate(mbit float64) {
	for _, d := range []*linkDirection{&l.in, &l.out} {
		d.mu.Lock()
		d.rate = mbit * bytesPerMbit
		d.mu.Unlock()
	}
}

// Received returns how many bytes have come in.
func (l *SharedLink) Received() int64 { return l.received.Load() }

// Freeze has the link carry no more data, though connections stay open and are accepted, like
// those of a stopped process.
func (l *SharedLink) Freeze() { l.frozen.Store(true) }

// linkDirection is one direction of a link.
type linkDirection struct {
	mu        sync.Mutex
	rate      float64   // Bytes per second.
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

// Network forwards connections between nodes that have links.
type Network struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu   sync.Mutex
	open map[io.Closer]struct{}
}

// NewNetwork returns a network without connections.
func NewNetwork() *Network {
	n := &Network{open: map[io.Closer]struct{}{}}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// Close ends all connections and waits.
func (n *Network) Close() {
	n.mu.Lock()
	n.cancel()
	for c := range n.open {
		_ = c.Close() // Its goroutine notices.
	}
	n.mu.Unlock()
	n.wg.Wait()
}

// keep registers c to be closed by Close; ok is false if that has been called.
func (n *Network) keep(c io.Closer) (ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		_ = c.Close() // Nothing uses it yet.
		return false
	}
	n.open[c] = struct{}{}
	return true
}

func (n *Network) drop(c io.Closer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.open, c)
	_ = c.Close() // Both ends see it.
}

// Connect returns an address at which the node at the near link reaches a target behind
// the far one; a nil link is unlimited.
func (n *Network) Connect(near, far *SharedLink, target netip.AddrPort) (addr netip.AddrPort, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return addr, err
	}
	n.keep(ln)
	n.wg.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			n.wg.Go(func() { n.join(conn, near, far, target) })
		}
	})
	return ln.Addr().(*net.TCPAddr).AddrPort(), nil // It is a TCP listener.
}

// join forwards one connection until either end closes it.
func (n *Network) join(from net.Conn, near, far *SharedLink, target netip.AddrPort) {
	to, err := net.Dial("tcp", target.String())
	if err != nil {
		_ = from.Close() // The dialler sees it.
		return
	}
	for _, c := range []net.Conn{from, to} {
		_ = c.(*net.TCPConn).SetReadBuffer(linkBufferBytes) // Only the sender's view depends on it.
		if !n.keep(c) {
			return
		}
	}
	var both sync.WaitGroup
	both.Go(func() { n.carry(to, from, near, far) })
	both.Go(func() { n.carry(from, to, far, near) })
	both.Wait()
}

// carry copies what src sends at the rate of the sender's and the receiver's link.
func (n *Network) carry(dst, src net.Conn, sender, receiver *SharedLink) {
	defer n.drop(src)
	defer n.drop(dst)
	buf := make([]byte, linkChunkBytes)
	for {
		size, err := src.Read(buf)
		if err != nil || !n.pace(size, sender, receiver) {
			return
		}
		if _, err := dst.Write(buf[:size]); err != nil {
			return
		}
	}
}

// pace waits until size bytes have passed both links; ok is false if they never do.
func (n *Network) pace(size int, sender, receiver *SharedLink) (ok bool) {
	now := time.Now()
	due := now
	if sender != nil {
		due = sender.out.reserve(size, now)
	}
	if receiver != nil {
		if in := receiver.in.reserve(size, now); in.After(due) {
			due = in
		}
	}
	timer.Sleep(n.ctx, time.Until(due))
	for _, x := range []*SharedLink{sender, receiver} {
		if x != nil && x.frozen.Load() {
			<-n.ctx.Done()
		}
	}
	if receiver != nil {
		receiver.received.Add(int64(size))
	}
	return n.ctx.Err() == nil
}
