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

// newBarrierServer answers calls to /together only once the given number of them is
// open, so that each has its own connection.
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

// All open connections to a server went silent without a reset. The call that timed out
// closed only its own connection, so each further idle one made another call time out:
// with five idle connections five calls failed in a row, although new connections were
// answered at once.
func TestSilentPathTimesOutOnlyOneCall(t *testing.T) {
	const (
		limit     = 200 * time.Millisecond
		idleConns = 5
		slack     = time.Second // For a busy machine.
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
				assert.NilError(t, call("/", slack), "a silent connection was reused")
			}
			assert.Equal(t, proxy.OpenConnections(), 1)
		})
	}
}
