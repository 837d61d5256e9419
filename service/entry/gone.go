package entry

import (
	"context"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// goneWatch cancels runs whose callers have gone away. The HTTP server does not
// read a connection while its request is served, so a caller's end of it is
// looked for without taking anything out.
type goneWatch struct {
	mu    sync.Mutex
	conns map[*watchedConn]struct{}
}

type watchedConn struct {
	raw    syscall.RawConn
	cancel context.CancelFunc
}

func newGoneWatch() *goneWatch { return &goneWatch{conns: map[*watchedConn]struct{}{}} }

// add watches a connection until the returned function is called.
func (g *goneWatch) add(conn net.Conn, cancel context.CancelFunc) (remove func()) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return func() {}
	}
	w := &watchedConn{raw: raw, cancel: cancel}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[w] = struct{}{}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.conns, w)
	}
}

// check cancels the runs of callers that have gone; the timer service calls it.
func (g *goneWatch) check(context.Context) {
	g.mu.Lock()
	list := make([]*watchedConn, 0, len(g.conns))
	for w := range g.conns {
		list = append(list, w)
	}
	g.mu.Unlock()
	for _, w := range list {
		if w.gone() {
			w.cancel()
		}
	}
}

// gone peeks at the connection: an end or an error instead of "nothing yet".
func (w *watchedConn) gone() bool {
	gone := false
	err := w.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		gone = (err == nil && n == 0) || (err != nil && err != unix.EAGAIN && err != unix.EINTR)
	})
	return gone || err != nil
}
