package httpjson

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/netproxy"
)

// newBarrierServer answers calls of /together only once there are as many, so that each has
// a connection of its own.
func newBarrierServer(calls int) *httptest.Server {
	var barrier sync.WaitGroup
	barrier.Add(calls)
	return httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/together" {
			barrier.Done()
			barrier.Wait()
		}
	}))
}

// The path to a server lost what was on its open connections, without a reset. The
// call that found out closed its connection, but each other one that rested cost the
// next call its whole limit again: with five at rest, five writes in a row failed and
// the sixth was answered. What settled it: time-outs one after the other while new
// connections to the same server were answered at once.
func TestSilentPathTimesOutOnlyOneCall(t *testing.T) {
	const (
		limit     = 200 * time.Millisecond
		idleConns = 5
		slack     = time.Second // For a machine that has other things to do.
	)
	for name, silenced := range map[string][2]bool{"to": {true, false}, "from": {false, true}, "both": {true, true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := newBarrierServer(idleConns)
			defer server.Close()
			proxy, err := netproxy.New(netip.MustParseAddrPort(server.Listener.Addr().String()))
			assert.NilError(t, err)
			defer proxy.Close()
			c := NewClient(proxy.Addr())
			defer c.Close()
			call := func(path string, timeout time.Duration) error {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				return c.Call(ctx, http.MethodPost, path, "x", nil)
			}
			var all sync.WaitGroup
			for range idleConns {
				all.Go(func() { assert.Check(t, call("/together", slack)) })
			}
			all.Wait()
			assert.Equal(t, proxy.Silence(silenced[0], silenced[1], func() bool { return true }), idleConns)
			start := time.Now()
			assert.ErrorContains(t, call("/", limit), "timeout")
			assert.Assert(t, time.Since(start) < limit+slack, "%v", time.Since(start))
			for range idleConns {
				assert.NilError(t, call("/", slack), "another silent connection was used")
			}
			assert.Equal(t, proxy.Open(), 1)
		})
	}
}
