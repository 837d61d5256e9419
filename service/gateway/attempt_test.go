package gateway

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/http1"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/platform"
)

// A client may leave while the connection to a replica is being made, which takes a
// round trip. The replica must not receive the request then.
func TestNothingIsSentIfClientLeavesDuringDial(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, ln.Close()) }()
	ctx, leave := context.WithCancelCause(t.Context())
	leave(errClientLeft)
	near, far := net.Pipe()
	defer func() { assert.NilError(t, near.Close()) }()
	defer func() { assert.NilError(t, far.Close()) }()
	x := &exchange{
		g:        &Gateway{suspension: newSuspension()},
		deadline: boottime.Now().Add(time.Minute),
		out:      &clientWriter{conn: near},
		head:     &http1.Head{Method: "GET", Target: "/x"},
		info:     site.RequestInfo{ID: "r"},
		route:    &site.Route{},
		cancel:   leave,
	}
	for range 20 {
		a := &attempt{
			conns:     newUpstreamConns(),
			codec:     platform.Codec{},
			choice:    route.Choice{Upstream: site.Upstream{ID: "a", Addr: ln.Addr().(*net.TCPAddr).AddrPort()}},
			writeDone: make(chan struct{}),
		}
		_, _ = a.sendRequest(ctx, x, &site.Dispatch{Instance: "a"}) // What the replica receives is checked below.
		a.releaseConn()
		conn, err := ln.Accept()
		assert.NilError(t, err)
		got, err := io.ReadAll(conn)
		assert.NilError(t, err)
		assert.Equal(t, string(got), "")
		assert.NilError(t, conn.Close())
	}
}
