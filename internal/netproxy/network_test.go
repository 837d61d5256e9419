package netproxy

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

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
	l := NewNetwork()
	defer l.Close()
	defer func() { _ = server.Close() }() // No longer needed.
	near := NewSharedLink(mbit)
	addr, err := l.Connect(near, nil, server.Addr().(*net.TCPAddr).AddrPort())
	assert.NilError(t, err)
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
