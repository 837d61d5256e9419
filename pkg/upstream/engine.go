package upstream

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/drumpath/drumpath/pkg/httpjson"
)

// Engine is a client of one model engine.
type Engine struct {
	name string
	http *httpjson.Client
}

// NewEngine returns a client of the engine at addr.
func NewEngine(name string, addr netip.AddrPort) *Engine {
	return &Engine{name: name, http: httpjson.NewClient(addr)}
}

// Run starts a run and returns its answer stream, which the caller must close.
// The error is a *NotRunError only if it is certain that nothing ran, otherwise
// a *TruncatedError or *MismatchError.
func (e *Engine) Run(ctx context.Context, r RunRequest) (s *Stream, err error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	if err := e.http.Prepare(req, http.MethodPost, PathRun, r); err != nil {
		return nil, &NotRunError{Upstream: e.name, Reason: err.Error()}
	}
	req.Header.Set(HeaderRequestID, r.RequestID)
	resp := fasthttp.AcquireResponse()
	resp.StreamBody = true
	if err := e.http.Do(ctx, req, resp); err != nil {
		releaseResponse(resp)
		return nil, classify(e.name, err)
	}
	if id := string(resp.Header.Peek(HeaderRequestID)); id != r.RequestID {
		releaseResponse(resp)
		return nil, &MismatchError{Upstream: e.name, Want: r.RequestID, Found: id}
	}
	return newStream(ctx, e.name, r, resp), nil
}

// releaseResponse returns a response to its pool. If part of the body is
// unread, its connection is closed.
func releaseResponse(resp *fasthttp.Response) {
	_ = resp.CloseBodyStream() // The response is discarded.
	fasthttp.ReleaseResponse(resp)
}

// Load returns the engine's load report.
func (e *Engine) Load(ctx context.Context) (r LoadReport, err error) {
	defer func() { err = eris.Wrapf(err, "read load of engine %s", e.name) }()
	err = e.http.Call(ctx, http.MethodGet, PathLoad, nil, &r)
	return r, err
}

// Events returns the cache events after a sequence number.
func (e *Engine) Events(ctx context.Context, after uint64) (ev CacheEvents, err error) {
	defer func() { err = eris.Wrapf(err, "read cache events of engine %s", e.name) }()
	err = e.http.Call(ctx, http.MethodGet, fmt.Sprintf("%s?after=%d", PathCacheEvents, after), nil, &ev)
	return ev, err
}

// Blocks lists the engine's whole cache.
func (e *Engine) Blocks(ctx context.Context) (b CacheBlocks, err error) {
	defer func() { err = eris.Wrapf(err, "list cache blocks of engine %s", e.name) }()
	err = e.http.Call(ctx, http.MethodGet, PathCacheBlocks, nil, &b)
	return b, err
}

// Import has the engine fetch KV blocks from a store. After any error the engine
// has to recompute them.
func (e *Engine) Import(ctx context.Context, o ImportOrder) (a ImportAnswer, err error) {
	defer func() { err = eris.Wrapf(err, "import into engine %s", e.name) }()
	err = classify(e.name, e.http.Call(ctx, http.MethodPost, PathImport, o, &a))
	return a, err
}

// Export has the engine copy KV blocks to a store.
func (e *Engine) Export(ctx context.Context, o ExportOrder) (a ExportAnswer, err error) {
	defer func() { err = eris.Wrapf(err, "export from engine %s", e.name) }()
	err = classify(e.name, e.http.Call(ctx, http.MethodPost, PathExport, o, &a))
	return a, err
}

// Order sends the engine an order. The error is a *NotRunError if the engine
// refused it.
func (e *Engine) Order(ctx context.Context, o Order) (err error) {
	defer func() { err = eris.Wrapf(err, "send order to engine %s", e.name) }()
	return classify(e.name, e.http.Call(ctx, http.MethodPost, PathOrders, o, nil))
}

// State returns what the engine serves.
func (e *Engine) State(ctx context.Context) (s EngineState, err error) {
	defer func() { err = eris.Wrapf(err, "read state of engine %s", e.name) }()
	err = e.http.Call(ctx, http.MethodGet, PathOrders, nil, &s)
	return s, err
}

// Close drops idle connections.
func (e *Engine) Close() { e.http.Close() }
