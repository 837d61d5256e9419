package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/pkg/upstream"
)

// run serves one prompt: it waits for a slot, prefills what is not cached and
// then generates tokens.
func (e *Engine) run(c *fasthttp.RequestCtx) {
	var req upstream.RunRequest
	if !decode(c, &req) {
		return
	}
	e.mu.Lock()
	state := e.state
	e.mu.Unlock()
	switch {
	case req.Model != state.Model || req.Weights != state.Weights || state.Loading:
		refuse(c, upstream.ReasonWeights)
		return
	case e.slots.waiterCount() >= e.cfg.MaxQueue:
		refuse(c, upstream.ReasonFull)
		return
	}
	if exitText := e.cfg.ExitOnText; exitText != "" && strings.Contains(req.Prompt, exitText) {
		os.Exit(1)
	}
	e.mu.Lock()
	e.runs[req.Prompt]++
	e.mu.Unlock()
	f := e.fault.get()
	id := req.RequestID
	if f.CrossAnswers {
		id = "crossed-" + id
	}
	c.Response.Header.Set(upstream.HeaderRequestID, req.RequestID)
	if load, err := json.Marshal(e.load.get()); err == nil {
		c.Response.Header.SetBytesV(upstream.HeaderLoad, load)
	}
	c.SetContentType("text/event-stream")
	c.Response.ImmediateHeaderFlush = true
	c.SetBodyStreamWriter(func(w *bufio.Writer) {
		r := &engineRun{engine: e, req: req, id: id, breakAfter: f.BreakAfter, w: w}
		ctx, cancel := context.WithCancel(e.ctx)
		defer cancel()
		r.serve(ctx)
	})
}

// engineRun is one run of a prompt on an engine.
type engineRun struct {
	engine     *Engine
	req        upstream.RunRequest
	id         string
	breakAfter int
	w          *bufio.Writer
}

func (r *engineRun) serve(ctx context.Context) {
	e := r.engine
	keys := prompt.Keys(r.req.CacheSalt, r.req.Prompt)
	tokens := prompt.TokenCount(r.req.Prompt)
	e.prefillBacklog.Add(int64(tokens))
	backlog := int64(tokens)
	defer func() { e.prefillBacklog.Add(-backlog) }()
	if !e.slots.acquire(ctx, r.req.Priority) {
		return
	}
	defer e.slots.release()
	e.running.Add(1)
	defer e.running.Add(-1)
	if !e.prefill.acquire(ctx, r.req.Priority) {
		return
	}
	cached := e.cache.matchPrefix(keys) * prompt.ChunkTokens
	e.cache.unhold(r.req.RequestID)
	e.prefillBacklog.Add(int64(-cached))
	backlog -= int64(cached)
	ok := sleep(ctx, time.Duration(float64(tokens-cached)/e.cfg.PrefillRate*float64(time.Second)))
	e.prefill.release()
	e.prefillBacklog.Add(-backlog)
	backlog = 0
	if !ok {
		return
	}
	e.cache.add(r.req.CacheSalt, keys)
	e.mu.Lock()
	e.computedTokens += int64(tokens - cached)
	e.reusedTokens += int64(cached)
	e.mu.Unlock()
	r.decode(ctx, cached)
}

// decode sends the answer's tokens; it ends when the client has disconnected.
func (r *engineRun) decode(ctx context.Context, cached int) {
	promptHash := xxhash.Sum64String(r.req.Prompt)
	interval := time.Duration(r.engine.cfg.DecodeMS * float64(time.Millisecond))
	for i := r.req.ResumeAfter; i < r.req.MaxTokens; i++ {
		if r.breakAfter > 0 && i-r.req.ResumeAfter >= r.breakAfter {
			return
		}
		ev := upstream.Event{RequestID: r.id, Index: i, Text: AnswerToken(promptHash, i)}
		if i == r.req.ResumeAfter {
			ev.CachedTokens = cached
		}
		if !r.send(ev) || !sleep(ctx, interval) {
			return
		}
	}
	r.send(upstream.Event{RequestID: r.id, Index: r.req.MaxTokens, Done: true})
}

func (r *engineRun) send(ev upstream.Event) bool {
	data, err := json.Marshal(ev)
	if err != nil {
		return false
	}
	_, _ = fmt.Fprintf(r.w, "data: %s\n\n", data) // Flush returns the error.
	return r.w.Flush() == nil
}

func (e *Engine) serveEvents(c *fasthttp.RequestCtx) {
	last, events := e.cache.eventsSince(uint64(c.QueryArgs().GetUintOrZero("after")))
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(c, http.StatusOK, upstream.CacheEvents{Boot: e.bootEpoch, Last: last, Events: events})
}

func (e *Engine) serveBlocks(c *fasthttp.RequestCtx) {
	seq, blocks := e.cache.allBlocks()
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(c, http.StatusOK, upstream.CacheBlocks{Boot: e.bootEpoch, Seq: seq, Blocks: blocks})
}
