package standin

import (
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/drumpath/drumpath/pkg/upstream"
)

// order carries out an order; unless the engine is unfenced, one that is not
// newer than the last is refused.
func (e *Engine) order(c *fasthttp.RequestCtx) {
	var o upstream.Order
	if !decode(c, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := o.Epoch < e.state.Epoch || (o.Epoch == e.state.Epoch && o.Seq <= e.state.Seq)
	if stale && !e.cfg.Unfenced {
		e.refused++
		refuse(c, upstream.ReasonFence)
		return
	}
	e.state.Epoch, e.state.Seq = o.Epoch, o.Seq
	if o.Action != upstream.OrderLoad || o.Weights == e.state.Weights && o.Model == e.state.Model {
		return
	}
	e.state.Model, e.state.Weights, e.state.Loading = o.Model, o.Weights, true
	// Blocks of the old weights may not serve new runs; runs under way have
	// theirs already.
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
