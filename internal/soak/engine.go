package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

const (
	engineService = "llm"
	model         = "m0"
	engineSlots   = 16
	// loadTime is how long an engine takes to load weights, and maxQueueTime bounds how long a prompt waits
	// in its queue.
	loadTime     = 300 * time.Millisecond
	maxQueueTime = 300 * time.Millisecond
	// minOrderDelay and maxOrderDelay bound the delay of an order that is carried out late, as the platform's
	// pages tell it.
	minOrderDelay = 2 * time.Second
	maxOrderDelay = 12 * time.Second
)

// orderMode is what an engine does with orders to load weights.
type orderMode int

const (
	ordersFollowed orderMode = iota
	ordersLate               // Not answered, and carried out later.
	ordersLost               // Not answered, and never carried out.
)

// engine is a replica that runs prompts on the weights that it was last ordered to load.
type engine struct {
	*onplatform.Replica
	soak *soak

	mu      sync.Mutex
	mode    orderMode
	weights int64
	orders  int64 // Orders taken.
	loading bool
	closed  chan struct{}
	delayed sync.WaitGroup // Orders that are carried out later.
}

func (s *soak) newEngine(id string) (e *engine, err error) {
	e = &engine{soak: s, weights: firstWeights, closed: make(chan struct{})}
	if e.Replica, err = onplatform.NewReplica(id); err != nil {
		return nil, err
	}
	e.Script(e.answer)
	e.writeRow()
	return e, nil
}

func (e *engine) close() {
	e.Close() // No order is taken any more.
	close(e.closed)
	e.delayed.Wait()
}

// writeRow lists the engine in the store. The caller holds mu, or nobody else has the engine.
func (e *engine) writeRow() {
	row := onplatform.UpstreamRow(engineService, e.Addr(), engineSlots, "ready")
	row["models"] = []map[string]any{{"name": model, "config_version": e.weights}}
	row["call_seq"] = e.orders
	e.soak.store.Put(onplatform.TableUpstreams, e.ID, row)
}

// reset gives the engine weights, and sets what it does with orders from now on.
func (e *engine) reset(weights int64, mode orderMode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.weights, e.mode, e.loading = weights, mode, false
	e.orders++ // Delayed orders have no effect any more.
	e.writeRow()
}

func (e *engine) answer(w io.Writer, q *onplatform.Request) bool {
	switch {
	case q.Target == "/-/report":
		return e.report(w)
	case q.Target == "/-/order":
		return e.takeOrder(w, q)
	case strings.HasPrefix(q.Target, "/-/"):
		return onplatform.NotExecuted(503)(w, q)
	}
	return e.runPrompt(w, q)
}

func (e *engine) report(w io.Writer) bool {
	e.mu.Lock()
	body, _ := json.Marshal(map[string]any{ // Cannot fail: it has only encodable values.
		"state": "ready", "busy": e.loading, "call_seq": e.orders, "queued": 0, "active": 0,
		"models": []map[string]any{{"name": model, "config_version": e.weights}},
	})
	e.mu.Unlock()
	return writeJSON(w, 200, string(body))
}

func writeJSON(w io.Writer, status int, body string) bool {
	_, err := fmt.Fprintf(w, "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	return err == nil
}

// weightsOrder is an order to load weights.
type weightsOrder struct {
	Version  int64 `json:"config_version"`
	Expected int64 `json:"expected"` // Of the orders taken before.
}

func (e *engine) takeOrder(w io.Writer, q *onplatform.Request) bool {
	var o weightsOrder
	if json.Unmarshal([]byte(q.Body), &o) != nil || q.Header.Get("Expect-Instance") != e.ID {
		return writeJSON(w, 400, "{}")
	}
	e.mu.Lock()
	mode := e.mode
	e.mu.Unlock()
	if mode == ordersFollowed {
		return writeJSON(w, e.load(o), "{}")
	}
	if mode == ordersLate {
		e.delayed.Go(func() { e.loadLater(o) })
	}
	return onplatform.Hang(w, q)
}

func (e *engine) loadLater(o weightsOrder) {
	select {
	case <-time.After(minOrderDelay + rand.N(maxOrderDelay-minOrderDelay)):
		e.load(o)
	case <-e.closed:
	}
}

// load begins to load weights, and returns the status of the answer to the order.
func (e *engine) load(o weightsOrder) (status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.Version == e.weights:
		return 200
	case e.loading || o.Expected != e.orders:
		return 409
	}
	e.orders++
	e.loading = true
	taken := e.orders
	e.delayed.Go(func() { e.finishLoad(o.Version, taken) })
	return 202
}

// finishLoad ends the loading of weights, unless the engine was reset meanwhile.
func (e *engine) finishLoad(version, taken int64) {
	time.Sleep(loadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orders == taken {
		e.weights, e.loading = version, false
		e.writeRow()
	}
}

// runPrompt begins a prompt after some time in the queue.
func (e *engine) runPrompt(w io.Writer, q *onplatform.Request) bool {
	arrived := time.Now()
	select {
	case <-time.After(rand.N(maxQueueTime)):
	case <-q.Disconnected:
		return false
	}
	e.mu.Lock()
	weights, loading := e.weights, e.loading
	e.mu.Unlock()
	if want := q.Header.Get("Expect-Version"); want != "" && want != strconv.FormatInt(weights, 10) {
		return onplatform.NotExecuted(421)(w, q)
	}
	if loading {
		return onplatform.NotExecuted(503)(w, q)
	}
	e.soak.checker.recordRun(q.ID())
	if n := e.soak.nodeByName(q.Header.Get(headerNode)); n != nil {
		e.soak.weights.recordPrompt(e.ID, n, weights, arrived, time.Now())
	}
	return onplatform.Stream(expectedEvents(q.ID()), workTime, true)(w, q)
}
