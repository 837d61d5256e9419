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

type rowID struct{ table, part, key string }

func (r *row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// store is a stand-in of the platform's store.
type store struct {
	addr  string
	http  *http.Server
	began time.Time

	mu      sync.Mutex
	rows    map[rowID]row
	version int64
	changed chan struct{} // Closed at each change.
}

// storeTime is how long a call takes.
const storeTime = 4 * time.Millisecond

func newStore(ip string) (*store, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: ln.Addr().String(), began: time.Now(), rows: map[rowID]row{}, version: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.tx)
	s.http = &http.Server{Handler: mux}
	go func() { _ = s.http.Serve(ln) }() // It returns when the server is closed.
	return s, nil
}

func (s *store) close() { _ = s.http.Close() }

// put writes a row as the operator or a replica does.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // All values here encode.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: text})
}

// set sets a row at the current version; the caller holds mu.
func (s *store) set(r row) {
	r.Version = s.version
	s.rows[r.id()] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, rows []row, version int64) {
	writeJSON(w, http.StatusOK, map[string]any{"rows": rows, "more": false, "ver": version, "now_ms": time.Since(s.began).Milliseconds()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeTime)
	from, end := r.FormValue("from"), r.FormValue("target_version")
	s.mu.Lock()
	list, version := []row{}, s.version
	for id, x := range s.rows {
		if id.table == r.FormValue("table") && id.part == r.FormValue("part") && !x.Gone && id.key >= from && (end == "" || id.key < end) {
			list = append(list, x)
		}
	}
	s.mu.Unlock()
	s.answer(w, list, version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeTime)
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		list, version, changed := []row{}, s.version, s.changed
		for id, x := range s.rows {
			if id.table == r.FormValue("table") && x.Version > after {
				list = append(list, x)
			}
		}
		s.mu.Unlock()
		if len(list) > 0 || ended {
			s.answer(w, list, version)
			return
		}
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	time.Sleep(2 * storeTime)
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
	defer s.mu.Unlock()
	for _, e := range tx.Expected {
		known := s.rows[e.id()]
		if known.Gone {
			known.Version = 0
		}
		if known.Version != e.Version {
			writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": []row{known}, "ver": s.version, "now_ms": time.Since(s.began).Milliseconds()})
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
	s.answer(w, []row{}, s.version)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // The caller may have left.
}
