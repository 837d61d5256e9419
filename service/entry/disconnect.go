package entry

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/drumpath/drumpath/pkg/locks"
)

// disconnectWatcher cancels runs whose clients have disconnected. The HTTP server does
// not read a connection while its request is served, so the watcher peeks at the
// connection, which consumes no data.
type disconnectWatcher struct {
	mu    locks.Mutex
	conns map[*watchedConn]struct{}
}

type watchedConn struct {
	raw    syscall.RawConn
	cancel context.CancelFunc
}

func newDisconnectWatcher() *disconnectWatcher {
	return &disconnectWatcher{conns: map[*watchedConn]struct{}{}}
}

// add watches a connection until the returned function is called.
func (d *disconnectWatcher) add(conn net.Conn, cancel context.CancelFunc) (remove func()) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return func() {}
	}
	w := &watchedConn{raw: raw, cancel: cancel}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[w] = struct{}{}
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.conns, w)
	}
}

// cancelDisconnected cancels the runs of disconnected clients; the timer service calls it.
func (d *disconnectWatcher) cancelDisconnected(context.Context) {
	d.mu.Lock()
	conns := make([]*watchedConn, 0, len(d.conns))
	for w := range d.conns {
		conns = append(conns, w)
	}
	d.mu.Unlock()
	for _, w := range conns {
		if w.closed() {
			w.cancel()
		}
	}
}

// closed reports whether the client has closed the connection: peeking then returns an end
// of file or an error, instead of EAGAIN.
func (w *watchedConn) closed() bool {
	closed := false
	err := w.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = (err == nil && n == 0) || (err != nil && err != unix.EAGAIN && err != unix.EINTR)
	})
	return closed || err != nil
}
