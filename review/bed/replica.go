package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replica is a stand-in of a replica: an engine, or one of the application if it has no model.
type replica struct {
	bed     *bed
	id      string
	service string
	zone    string
	addr    string
	model   string
	http    *http.Server
	began   time.Time

	mu      sync.Mutex
	state   string
	version int64
	busy    bool
	orders  int64
	active  int
	parts   []part // Most recently used last.
	events  []any
	changed chan struct{}
	// unframed is set if streams have neither a length nor chunks and end with their connections, which are in open.
	unframed bool
	open     map[net.Conn]struct{}
	// eventPause is the time between two events, the usual one if it is 0.
	eventPause time.Duration
	// failShare is the share of its requests that the replica fails, with failStatus.
	failShare  float64
	failStatus int
}

// part is a part of a prompt that an engine keeps.
type part struct {
	salt, id string
	tokens   int
}

// Figures of the engines of the sheet.
const (
	engineSlots     = 64
	engineMemory    = 41564
	tokensPerMS     = 56.9
	firstTokenTime  = 13 * time.Millisecond
	tokenTime       = 6 * time.Millisecond
	tokensPerEvent  = 6
	weightsLoadTime = 760 * time.Millisecond
	heartbeat       = 1200 * time.Millisecond
	appSlots        = 6
	appWorkTime     = 30 * time.Millisecond
)

// newReplica starts a replica and lists it.
func (b *bed) newReplica(id, service, zone, model, ip string) (*replica, error) {
	ln, err := listen(ip)
	if err != nil {
		return nil, err
	}
	r := &replica{bed: b, id: id, service: service, zone: zone, model: model, addr: ln.Addr().String(), state: "ready", version: 1, began: time.Now(), changed: make(chan struct{}), open: map[net.Conn]struct{}{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", id) })
	if model != "" {
		mux.HandleFunc("GET /-/report", r.report)
		mux.HandleFunc("POST /-/order", r.order)
		mux.HandleFunc("GET /-/kv-events", r.kvEvents)
		mux.HandleFunc("GET /-/kv-list", r.kvList)
		mux.HandleFunc("POST /-/kv-move", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
		mux.HandleFunc("/", r.run)
	} else {
		mux.HandleFunc("/", r.work)
	}
	r.http = &http.Server{Handler: mux}
	go func(ln net.Listener) { _ = r.http.Serve(ln) }(ln) // It returns when the server is closed.
	r.list()
	return r, nil
}

// list writes the replica's row.
func (r *replica) list() {
	r.mu.Lock()
	value := map[string]any{
		"service": r.service, "addr": r.addr, "zone": r.zone, "config_version": "v1", "slots": appSlots, "state": r.state,
		"cold_left_ms": 0, "call_seq": r.orders,
	}
	if r.model != "" {
		value["slots"], value["stage"], value["models"] = engineSlots, "both", r.models()
	}
	r.mu.Unlock()
	r.bed.store.put("servers", r.id, value)
}

// models lists the engine's model; the caller holds mu.
func (r *replica) models() any {
	return []map[string]any{{"name": r.model, "config_version": r.version, "adapters": []string{}}}
}

// notRun answers that a request was not run.
func notRun(w http.ResponseWriter, q *http.Request, status int) {
	w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

// misdirected reports whether a request is meant for another replica, and answers it then.
func (r *replica) misdirected(w http.ResponseWriter, q *http.Request) bool {
	if want := q.Header.Get("Expect-Instance"); want == "" || want == r.id {
		return false
	}
	w.Header().Set("Instance-Id", r.id)
	notRun(w, q, http.StatusMisdirectedRequest)
	return true
}

// work serves a request to the application.
func (r *replica) work(w http.ResponseWriter, q *http.Request) {
	if r.misdirected(w, q) {
		return
	}
	r.mu.Lock()
	full := r.active >= 4*appSlots
	if !full {
		r.active++
	}
	r.mu.Unlock()
	if full {
		notRun(w, q, http.StatusServiceUnavailable)
		return
	}
	r.bed.ran(q.Header.Get("Request-Id"), r.id)
	time.Sleep(appWorkTime)
	r.mu.Lock()
	r.active--
	r.mu.Unlock()
	body := []byte(strings.Repeat("x", 800))
	w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
	w.Header().Set("Server-Stamp", r.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // The caller may have left.
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // The caller may have left.
}

func (r *replica) report(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"stage": "both", "state": r.state, "models": r.models(), "busy": r.busy, "call_seq": r.orders, "queued": 0, "active": r.active,
		"kv_used": 0, "kv_total": engineMemory, "handles": 0, "clock_ms": time.Now().UnixMilli(),
	})
}

func (r *replica) order(w http.ResponseWriter, q *http.Request) {
	if r.misdirected(w, q) {
		return
	}
	var o struct {
		Kind     string `json:"op_kind"`
		Version  int64  `json:"config_version"`
		Holder   string `json:"holder"`
		Fence    *int64 `json:"fence_token"`
		Expected *int64 `json:"expected"`
	}
	if json.NewDecoder(q.Body).Decode(&o) != nil || o.Kind != "config_version" || o.Holder == "" || o.Fence == nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.busy, o.Expected != nil && *o.Expected != r.orders:
		reply(w, http.StatusConflict, nil)
	case o.Version == r.version:
		reply(w, http.StatusOK, nil)
	default:
		r.busy = true
		r.orders++
		time.AfterFunc(weightsLoadTime, func() { r.setVersion(o.Version) })
		reply(w, http.StatusAccepted, nil)
	}
}

// setVersion ends the loading of weights.
func (r *replica) setVersion(version int64) {
	r.mu.Lock()
	r.version, r.busy = version, false
	for len(r.parts) > 0 {
		r.evict()
	}
	r.mu.Unlock()
	r.list()
}

// evict drops the part that was used least recently; the caller holds mu.
func (r *replica) evict() {
	p := r.parts[0]
	r.parts = r.parts[1:]
	r.tell("-", p, 0)
}

// tell records an event; the caller holds mu.
func (r *replica) tell(sign string, p part, tokens int) {
	r.events = append(r.events, []any{len(r.events) + 1, sign, p.salt, p.id, tokens, r.model})
	close(r.changed)
	r.changed = make(chan struct{})
}

// keep uses the parts of a prompt and returns how many tokens have to be read; the caller holds mu.
func (r *replica) keep(salt, prompt string) (missing int) {
	for item := range strings.SplitSeq(prompt, ",") {
		id, text, _ := strings.Cut(item, ":")
		tokens, _ := strconv.Atoi(text)
		p, found := part{salt, id, tokens}, false
		for i, known := range r.parts {
			if known == p {
				r.parts = append(append(r.parts[:i:i], r.parts[i+1:]...), p)
				found = true
				break
			}
		}
		if found {
			continue
		}
		missing += tokens
		r.parts = append(r.parts, p)
		r.tell("+", p, tokens)
		for used := r.used(); used > engineMemory; used = r.used() {
			r.evict()
		}
	}
	return missing
}

func (r *replica) used() (tokens int) {
	for _, p := range r.parts {
		tokens += p.tokens
	}
	return tokens
}

func (r *replica) kvEvents(w http.ResponseWriter, q *http.Request) {
	since, _ := strconv.Atoi(q.FormValue("since"))
	wait, _ := strconv.Atoi(q.Header.Get("Wait-Ms"))
	end := time.After(time.Duration(min(wait, 1000)) * time.Millisecond)
	for ended := false; ; {
		r.mu.Lock()
		since = min(max(since, 0), len(r.events))
		list, changed := r.events[since:], r.changed
		if len(list) > 0 || ended {
			reply(w, http.StatusOK, map[string]any{
				"boot_epoch": r.began.UnixMilli(), "next_token": len(r.events), "lost": false, "events": list, "clock_ms": time.Now().UnixMilli(),
			})
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-q.Context().Done():
			return
		}
	}
}

func (r *replica) kvList(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := []any{}
	for _, p := range r.parts {
		held = append(held, []any{p.salt, p.id, p.tokens, r.model})
	}
	reply(w, http.StatusOK, map[string]any{"boot_epoch": r.began.UnixMilli(), "next_token": len(r.events), "held": held, "clock_ms": time.Now().UnixMilli()})
}

// run serves a prompt.
func (r *replica) run(w http.ResponseWriter, q *http.Request) {
	if r.misdirected(w, q) {
		return
	}
	r.mu.Lock()
	version := r.version
	want := q.Header.Get("Expect-Version")
	switch {
	case want != "" && want != strconv.FormatInt(version, 10):
		r.mu.Unlock()
		notRun(w, q, http.StatusMisdirectedRequest)
		return
	case r.busy, r.active >= engineSlots:
		r.mu.Unlock()
		notRun(w, q, http.StatusServiceUnavailable)
		return
	}
	r.active++
	missing := r.keep(q.Header.Get("Cache-Salt"), q.Header.Get("Prefix-Hash"))
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.active--
		r.mu.Unlock()
	}()
	r.bed.ran(q.Header.Get("Request-Id"), r.id)
	if rand.Float64() < r.failShare {
		w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
		w.Header().Set("Server-Stamp", r.id)
		w.WriteHeader(r.failStatus)
		return
	}
	_, out, _ := strings.Cut(q.Header.Get("Token-Usage"), ",")
	tokens, _ := strconv.Atoi(out)
	w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
	w.Header().Set("Server-Stamp", r.id)
	w.Header().Set("Versions", strconv.FormatInt(version, 10))
	w.Header().Set("Content-Type", "text/event-stream")
	pause := firstTokenTime + time.Duration(float64(missing)/tokensPerMS*float64(time.Millisecond))
	send, left, end := r.stream(w, q)
	defer end()
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id")) // 0 without one.
	for i := first + 1; (i-1)*tokensPerEvent < max(1, tokens); i++ {
		select {
		case <-time.After(pause):
		case <-left:
			return
		}
		if send(fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("y", 40))) != nil {
			return
		}
		if pause = r.eventPause; pause == 0 {
			pause = tokensPerEvent * tokenTime
		}
	}
}

// stream begins a stream. left is closed when the caller has left; end ends the stream.
func (r *replica) stream(w http.ResponseWriter, q *http.Request) (send func(event string) error, left <-chan struct{}, end func()) {
	if !r.unframed {
		send = func(event string) error {
			_, err := io.WriteString(w, event)
			w.(http.Flusher).Flush()
			return err
		}
		return send, q.Context().Done(), func() {}
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return func(string) error { return err }, nil, func() {}
	}
	r.mu.Lock()
	r.open[conn] = struct{}{}
	r.mu.Unlock()
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	for name, values := range w.Header() {
		head += name + ": " + values[0] + "\r\n"
	}
	_, _ = io.WriteString(conn, head+"\r\n") // If it fails, so does the next write.
	gone := make(chan struct{})
	go func() {
		_, _ = conn.Read(make([]byte, 1)) // The caller sends nothing more: it returns when the connection ends.
		close(gone)
	}()
	send = func(event string) error {
		_, err := io.WriteString(conn, event)
		return err
	}
	return send, gone, func() {
		_ = conn.Close() // The stream has ended.
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.open, conn)
	}
}

// crash has the replica end without a word; its row goes after three heartbeats.
func (r *replica) crash() {
	_ = r.http.Close() // The replica has ended in any case.
	time.Sleep(3 * heartbeat)
	r.bed.store.remove("servers", r.id)
}

// drain has the replica leave as planned: it says that it drains, serves on for a time, and ends.
func (r *replica) drain(servesOn time.Duration) {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.list()
	time.Sleep(servesOn)
	_ = r.http.Close() // The replica has ended in any case.
	r.mu.Lock()
	for conn := range r.open {
		_ = conn.Close() // As the end of a process does.
	}
	r.mu.Unlock()
	r.bed.store.remove("servers", r.id)
}
