package gateway

import (
	"errors"
	"log/slog"
	"net"
	"time"
)

// acceptRetryDelay is kept after accepting has failed: most often the process is out of
// descriptors, which connections that end give back within some milliseconds.
const acceptRetryDelay = 10 * time.Millisecond

// listener goes on after a failure to accept. A server that ended at one would take no
// connection any more, and the node would still say that it is ready.
type listener struct {
	net.Listener
	log *slog.Logger
}

// Accept implements net.Listener; the only error is that of a listener that is closed.
func (l *listener) Accept() (net.Conn, error) {
	for failed := false; ; failed = true {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		if !failed {
			l.log.Warn("accept failed", "listen", l.Addr(), "err", err)
		}
		time.Sleep(acceptRetryDelay)
	}
}
