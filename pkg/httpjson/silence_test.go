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

// newTogetherServer answers calls of /together only once there are as many, so that each has
// a connection of its own.
func newTogetherServer(calls int) *httptest.Server {
	var together sync.WaitGroup
	together.Add(calls)
	return httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/together" {
			together.Done()
			together.Wait()
		}
	}))
}

// The path to a server lost what was on its open connections, without a reset. The
// call that found out closed its connection, but each other one that rested cost the
// next call its whole limit again: with five at rest, five writes in a row failed and
// the sixth was answered. What settled it: time-outs one after the other while new
// connections to the same server were answered at once.
func TestSilenceCostsOneCallItsLimit(t *testing.T) {
	const (
		limit   = 200 * time.Millisecond
		resting = 5
		busy    = time.Second // For a machine that has other things to do.
	)
	for name, way := range map[string][2]bool{"to": {true, false}, "from": {false, true}, "both": {true, true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := newTogetherServer(resting)
			defer server.Close()
			p, err := netproxy.New(netip.MustParseAddrPort(server.Listener.Addr().String()))
			assert.NilError(t, err)
			defer p.Close()
			c := NewClient(p.Addr())
			defer c.Close()
			call := func(path string, within time.Duration) error {
				ctx, cancel := context.WithTimeout(t.Context(), within)
				defer cancel()
				return c.Call(ctx, http.MethodPost, path, "x", nil)
			}
			var all sync.WaitGroup
			for range resting {
				all.Go(func() { assert.Check(t, call("/together", busy)) })
			}
			all.Wait()
			assert.Equal(t, p.Silence(way[0], way[1], func() bool { return true }), resting)
			begun := time.Now()
			assert.ErrorContains(t, call("/", limit), "timeout")
			assert.Assert(t, time.Since(begun) < limit+busy, "%v", time.Since(begun))
			for range resting {
				assert.NilError(t, call("/", busy), "another silent connection was used")
			}
			assert.Equal(t, p.OpenConnections(), 1)
		})
	}
}
