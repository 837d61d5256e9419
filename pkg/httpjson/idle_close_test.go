package httpjson

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A server ended while connections to it were idle, and the next calls were sent on
// these and failed with "write: broken pipe". They were taken for calls that may have run
// and ended the server: clients got 502 for prompts that no engine had started, and the
// prompts were suspected.
func TestCallIsNotSentOnAConnectionClosedByTheServer(t *testing.T) {
	const (
		idleConns = 5
		largeBody = 1 << 20 // More than one write.
		timeout   = 5 * time.Second
	)
	for name, serverEnds := range map[string]bool{"its connections are closed": false, "the server ends": true} {
		t.Run(name, func(t *testing.T) {
			server := newBarrierServer(idleConns)
			defer server.Close()
			c := NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()))
			defer c.Close()
			call := func(path, body string) error {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				return c.Call(ctx, http.MethodPost, path, body, nil)
			}
			var all sync.WaitGroup
			for range idleConns {
				all.Go(func() { assert.Check(t, call("/together", "x")) })
			}
			all.Wait()
			if serverEnds {
				server.Close()
			} else {
				server.CloseClientConnections()
			}
			time.Sleep(50 * time.Millisecond) // Let the close arrive.
			for range idleConns + 1 {
				err := call("/", strings.Repeat("x", largeBody))
				if !serverEnds {
					assert.NilError(t, err)
					continue
				}
				assert.Assert(t, err != nil && NotSent(err), "%v", err)
				assert.ErrorContains(t, err, "connection refused")
			}
		})
	}
}
