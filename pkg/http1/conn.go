package http1

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dial connects to an address. The connection fails if the peer does not
// acknowledge sent data for ackTimeout: without that, a peer that has lost power
// blocks the sender for minutes.
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

// PeerClosed reports whether the peer of a TCP connection has closed, half-closed or reset
// it. Unlike a read, it also detects that while received bytes are still unread. It
// returns an error if the connection was closed on this side.
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

// HasUnread reports whether the kernel has received data on a TCP connection that has not been
// read yet.
func HasUnread(conn net.Conn) bool {
	sysConn, ok := conn.(syscall.Conn)
	return ok && hasQueued(sysConn, unix.SIOCINQ)
}

// Abort closes a connection and drops data that the peer has not acknowledged, which
// the kernel would go on sending after a plain close. If there is no such data it
// closes in an orderly way, since a lost FIN is retransmitted and a lost reset is not.
func Abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok && hasQueued(tcp, unix.SIOCOUTQ) {
		_ = tcp.SetLinger(0) // It fails only if the connection is already closed.
	}
	_ = conn.Close() // The connection is not used any more.
}

// AbortUnreachable is Abort for a connection whose peer can't be reached at the moment. The
// kernel goes on telling the peer of the close beyond the connection's ackTimeout, so that
// the peer learns of it once it can be reached.
func AbortUnreachable(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) {
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 0) // The close just lasts shorter.
			})
		}
	}
	Abort(conn)
}

// hasQueued reports whether a TCP connection has data in the kernel's queue that an ioctl
// request names: SIOCINQ for received and not yet read, SIOCOUTQ for not yet acknowledged.
func hasQueued(conn syscall.Conn, request int) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _ = unix.IoctlGetInt(int(fd), uint(request)) // Every TCP socket supports it.
	})
	return err == nil && n > 0
}

// Idle reports whether a connection between two messages is still open and has no
// data to read. It may consume a byte, so a connection that is not idle must be
// closed.
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
