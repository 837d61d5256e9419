package gateway

import (
	"errors"
	"log/slog"
	"net"
	"time"
)

// acceptRetryDelay is the pause after accepting has failed. Usually the process is out
// of file descriptors, which connections that end free within milliseconds.
const acceptRetryDelay = 10 * time.Millisecond

// listener retries after a failure to accept. A server that gave up would accept no more
// connections while the node still reports that it is ready.
type listener struct {
	net.Listener
	log *slog.Logger
}

// Accept implements net.Listener. It fails only if the listener is closed.
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
