package peer

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"
)

// Guards against a data race of Close: a call that was being read while the server was
// closed was still served, after Close had waited for the connection's calls. The race
// detector reported it twice in 150 runs under load.
func TestCallReadAfterItsConnectionEndedIsNotServed(t *testing.T) {
	served := make(chan struct{}, 1)
	s := &Server{handlers: map[Role]map[string]HandlerFunc{RolePeer: {
		"call": func(context.Context, json.RawMessage) (any, error) { served <- struct{}{}; return nil, nil },
	}}}
	h := &connHandler{server: s, slots: make(chan struct{}, 1), role: RolePeer}
	req := &jsonrpc2.Request{Method: "call", Notif: true}
	h.Handle(t.Context(), nil, req)
	<-served
	h.stop()
	h.Handle(t.Context(), nil, req)
	h.wg.Wait()
	assert.Equal(t, len(served), 0)
}
