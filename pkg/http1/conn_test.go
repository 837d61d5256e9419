package http1

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// With keep-alive probes, TCP_USER_TIMEOUT would decide when they give up, so that a peer that is
// silent for a second while the connection is idle ended it.
func TestDialedConnectionsSendNoKeepAliveProbes(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }() // The test is over.
	conn, err := Dial(ln.Addr().String(), time.Second, 900*time.Millisecond)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }() // The test is over.
	accepted, err := ln.Accept()
	assert.NilError(t, err)
	defer func() { _ = accepted.Close() }() // The test is over.
	assert.Equal(t, option(t, conn, unix.SOL_SOCKET, unix.SO_KEEPALIVE), 0)
	assert.Equal(t, option(t, conn, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT), 900)
	assert.Equal(t, option(t, accepted, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT), 0)
}

// option returns the value of a socket option.
func option(t *testing.T, conn net.Conn, level, name int) (value int) {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	var optErr error
	assert.NilError(t, raw.Control(func(fd uintptr) { value, optErr = unix.GetsockoptInt(int(fd), level, name) }))
	assert.NilError(t, optErr)
	return value
}
