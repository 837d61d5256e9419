package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the engines of the sheet of corrib-boards; events come more slowly, as at engines with many runs.
const (
	engineSlots    = 64
	engineMemory   = 41564
	tokensPerMS    = 56.9
	firstTokenTime = 13 * time.Millisecond
	tokensPerEvent = 6
	eventTime      = 40 * time.Millisecond
)

// engine is a stand-in of a model replica.
type engine struct {
	bed     *bed
	id      string
	zone    string
	service string
	addr    string

	mu     sync.Mutex
	active int
	kept   map[partKey]string // The tenant whose request made each part that is kept.
	used   int                // Tokens of the parts that are kept.
	runs   []run
}

// partKey names a part that an engine keeps.
type partKey struct{ salt, id string }

// run is a request that an engine ran.
type run struct {
	engine, request, tenant string
	at                      time.Time
	// memoryOf are the tenants whose requests made the memory that the run used.
	memoryOf map[string]string // By part.
}

// startEngine starts an engine and has it write its row about every heartbeat.
func (b *bed) startEngine(number int, service string) (*engine, error) {
	ln, err := net.Listen("tcp", b.ip(100+number)+":0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		bed: b, id: fmt.Sprintf("i-%d", number), zone: zones[number%len(zones)], service: service, addr: ln.Addr().String(),
		kept: map[partKey]string{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", e.id) })
	mux.HandleFunc("GET /-/report", e.report)
	mux.HandleFunc("/", e.serve)
	go func() { _ = http.Serve(ln, mux) }() // It serves until the process ends.
	e.list()
	go e.beat()
	return e, nil
}

func (e *engine) beat() {
	for range time.Tick(heartbeat) {
		e.list()
	}
}

// list writes the engine's row.
func (e *engine) list() {
	e.bed.store.put("servers", e.id, map[string]any{
		"service": e.service, "addr": e.addr, "zone": e.zone, "config_version": "v1", "slots": engineSlots, "state": "ready",
		"cold_left_ms": 0, "stage": "both", "models": models(), "call_seq": 0,
	})
}

func models() any {
	return []any{map[string]any{"name": modelName, "config_version": 1, "adapters": []string{}}}
}

func (e *engine) running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.active
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]any{
		"stage": "both", "models": models(), "busy": false, "call_seq": 0, "queued": 0, "active": e.running(), "kv_used": 0, "kv_total": engineMemory, "handles": 0,
	})
}

// refuse answers that a request was not run.
func refuse(w http.ResponseWriter, q *http.Request, status int) {
	w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

// serve runs a prompt.
func (e *engine) serve(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body) // The body does not matter.
	if want := q.Header.Get("Expect-Instance"); want != "" && want != e.id {
		refuse(w, q, http.StatusMisdirectedRequest)
		return
	}
	if want := q.Header.Get("Expect-Version"); want != "" && want != "1" {
		refuse(w, q, http.StatusMisdirectedRequest)
		return
	}
	missing, ok := e.begin(q)
	if !ok {
		refuse(w, q, http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.active--
	}()
	h := w.Header()
	h.Set("Request-Id", q.Header.Get("Request-Id"))
	h.Set("Server-Stamp", e.id)
	h.Set("Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	_, out, _ := strings.Cut(q.Header.Get("Token-Usage"), ",")
	tokens, _ := strconv.Atoi(out)
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id")) // 0 without one.
	pause := firstTokenTime + time.Duration(float64(missing)/tokensPerMS*float64(time.Millisecond))
	for i := first + 1; (i-1)*tokensPerEvent < max(1, tokens); i++ {
		select {
		case <-time.After(pause):
		case <-q.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("y", 40)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		pause = eventTime
	}
}

// begin takes a slot for a request and reads its prompt: it uses the parts that are kept under the request's salt, as long as
// every part before them is kept as well, and keeps the others. missing is how many tokens are read.
func (e *engine) begin(q *http.Request) (missing int, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.active >= engineSlots {
		return 0, false
	}
	e.active++
	r := run{engine: e.id, request: q.Header.Get("Request-Id"), tenant: q.Header.Get("Tenant"), at: time.Now(), memoryOf: map[string]string{}}
	for item := range strings.SplitSeq(q.Header.Get("Prefix-Hash"), ",") {
		id, text, _ := strings.Cut(item, ":")
		tokens, _ := strconv.Atoi(text)
		key := partKey{q.Header.Get("Cache-Salt"), id}
		if maker, found := e.kept[key]; found && missing == 0 {
			r.memoryOf[id] = maker
			continue
		}
		missing += tokens
		if e.used+tokens <= engineMemory {
			e.kept[key] = r.tenant
			e.used += tokens
		}
	}
	e.runs = append(e.runs, r)
	return missing, true
}

// ran lists the runs of an engine.
func (e *engine) ran() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]run(nil), e.runs...)
}
