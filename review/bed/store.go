package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"private_key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Gone    bool   `json:"gone,omitempty"`
}

// store is a stand-in of the platform's store.
type store struct {
	addr  string
	http  *http.Server
	began time.Time

	mu      sync.Mutex
	rows    map[string]map[string]row
	version int64
	changed chan struct{}
}

func newStore(ip string) (*store, error) {
	ln, err := listen(ip)
	if err != nil {
		return nil, err
	}
	s := &store{addr: ln.Addr().String(), began: time.Now(), rows: map[string]map[string]row{}, version: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.tx)
	s.http = &http.Server{Handler: mux}
	go func(ln net.Listener) { _ = s.http.Serve(ln) }(ln) // It returns when the server is closed.
	return s, nil
}

func (s *store) close() { _ = s.http.Close() }

// put writes a row as the operator or a replica does.
func (s *store) put(table, key string, value any) {
	text, _ := json.Marshal(value) // All values here encode.
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: text})
}

// remove drops a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Gone: true})
}

// set sets a row at the current version; the caller holds mu.
func (s *store) set(r row) {
	r.Version = s.version
	if s.rows[r.Table] == nil {
		s.rows[r.Table] = map[string]row{}
	}
	s.rows[r.Table][r.Key] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, rows []row, version int64) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{ // The caller may have left.
		"rows": rows, "more": false, "ver": version, "now_ms": time.Since(s.began).Milliseconds(),
	})
}

// answerTime is how long a call takes.
const answerTime = 4 * time.Millisecond

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	from, end := r.FormValue("from"), r.FormValue("target_version")
	s.mu.Lock()
	list, version := []row{}, s.version
	for _, x := range s.rows[r.FormValue("table")] {
		if !x.Gone && x.Part == r.FormValue("part") && x.Key >= from && (end == "" || x.Key < end) {
			list = append(list, x)
		}
	}
	s.mu.Unlock()
	s.answer(w, list, version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		list, version, changed := []row{}, s.version, s.changed
		for _, x := range s.rows[r.FormValue("table")] {
			if x.Version > after {
				list = append(list, x)
			}
		}
		s.mu.Unlock()
		if len(list) > 0 {
			s.answer(w, list, version)
			return
		}
		select {
		case <-changed:
		case <-end:
			s.answer(w, list, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	time.Sleep(2 * answerTime)
	var tx struct {
		Expected []row `json:"expected"`
		Put      []row `json:"put"`
		Remove   []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for _, e := range tx.Expected {
		known := s.rows[e.Table][e.Key]
		if known.Gone {
			known.Version = 0
		}
		if known.Version != e.Version {
			s.mu.Unlock()
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	s.version++
	for _, p := range tx.Put {
		s.set(p)
	}
	for _, p := range tx.Remove {
		p.Gone, p.Value = true, nil
		s.set(p)
	}
	version := s.version
	s.mu.Unlock()
	s.answer(w, []row{}, version)
}
