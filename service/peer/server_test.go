package peer

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"
)

// A server that was closed while a call was being read served it all the same, beside
// what its owner had closed next. The race detector settled it: the wait for the calls
// of a connection ran beside the start of one, twice in 150 runs under load.
func TestCallReadAfterTheEndOfItsConnectionIsNotServed(t *testing.T) {
	served := make(chan struct{}, 1)
	s := &Server{handlers: map[Role]map[string]HandlerFunc{RolePeer: {
		"call": func(context.Context, json.RawMessage) (any, error) { served <- struct{}{}; return nil, nil },
	}}}
	h := &connHandler{server: s, slots: make(chan struct{}, 1), role: RolePeer}
	req := &jsonrpc2.Request{Method: "call", Notif: true}
	h.Handle(t.Context(), nil, req)
	<-served
	h.end()
	h.Handle(t.Context(), nil, req)
	h.wg.Wait()
	assert.Equal(t, len(served), 0)
}
