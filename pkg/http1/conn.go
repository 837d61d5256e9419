package http1

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dial connects to an address. A peer that acknowledges nothing for unacked
// ends the connection: without that, one that has lost power holds a sender for
// minutes.
func Dial(addr string, timeout, ackTimeout time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout:   timeout,
		KeepAlive: -1,
		Control: func(_, _ string, c syscall.RawConn) error {
			var sockErr error
			err := c.Control(func(fd uintptr) {
				sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockErr
		},
	}
	return d.Dial("tcp", addr)
}

// PeerClosed says whether the peer of a TCP connection has closed it, or its own side of
// it, or reset it. It tells so also while bytes that came before are unread, where
// reading would not. The error says that the connection was closed here.
func PeerClosed(conn net.Conn) (closed bool, err error) {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return false, nil
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return false, err
	}
	err = raw.Control(func(fd uintptr) {
		info, sockErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = sockErr == nil && info.State != unix.BPF_TCP_ESTABLISHED
	})
	return closed, err
}

// Abort closes a connection and drops what its peer has not acknowledged: after a mere
// close the system goes on sending that. Where there is nothing to drop the close is an
// orderly one, which is told again if it is lost, as a reset is not.
func Abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok && hasUnacknowledged(tcp) {
		_ = tcp.SetLinger(0) // A connection that has been closed has nothing to drop.
	}
	_ = conn.Close() // Nothing is left to be done with it.
}

func hasUnacknowledged(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) // A socket of TCP has it.
	})
	return err == nil && n > 0
}

// Idle says whether a connection that rests between two messages is still open
// and has nothing to be read; it may take a byte out, so one that is not quiet
// has to be closed.
func Idle(conn net.Conn) bool {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := unix.Read(int(fd), b[:])
		idle = n < 0 && err == unix.EAGAIN
		return true
	})
	return err == nil && idle
}
