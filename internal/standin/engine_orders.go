package standin

import (
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/drumpath/drumpath/pkg/upstream"
)

// executeOrder executes an order; unless the engine is unfenced, it refuses an
// order that is not newer than the last.
func (e *Engine) executeOrder(c *fasthttp.RequestCtx) {
	var o upstream.Order
	if !decode(c, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := o.Epoch < e.state.Epoch || (o.Epoch == e.state.Epoch && o.Seq <= e.state.Seq)
	if stale && !e.cfg.Unfenced {
		e.refusedOrders++
		refuse(c, upstream.ReasonFence)
		return
	}
	e.state.Epoch, e.state.Seq = o.Epoch, o.Seq
	if o.Action != upstream.OrderLoad || o.Weights == e.state.Weights && o.Model == e.state.Model {
		return
	}
	e.state.Model, e.state.Weights, e.state.Loading = o.Model, o.Weights, true
	// New runs must not use blocks of the old weights; runs in progress
	// already have theirs.
	e.cache.clear()
	weights := o.Weights
	time.AfterFunc(time.Duration(e.cfg.LoadMS)*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.state.Weights == weights {
			e.state.Loading = false
		}
	})
}

func (e *Engine) serveState(c *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(c, http.StatusOK, e.state)
}
