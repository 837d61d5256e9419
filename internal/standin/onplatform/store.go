package onplatform

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Tables of the store.
const (
	TableOperator  = "op"
	TableUpstreams = "servers"
	TableLeases    = "drumpath-leases"
	TableNodes     = "drumpath-nodes"
	TableSoftware  = "drumpath-software"
)

// Row is one row of a table.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"private_key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Gone    bool   `json:"gone,omitempty"`

	// encoded is the row as JSON. It is encoded once, not for each call: rows may be megabytes
	// long, and the store shares the processor with the nodes under test.
	encoded []byte
}

// Mode selects how the store behaves.
type Mode int

// Modes of the store.
const (
	// ModeUp serves all calls.
	ModeUp Mode = iota
	// ModeRefusing answers 503.
	ModeRefusing
	// ModeSilent accepts calls and never answers.
	ModeSilent
	// ModeStale answers reads of whole tables as of the time when the mode was set.
	ModeStale
)

// Store is a stand-in of the platform's store.
type Store struct {
	ln   net.Listener
	http *http.Server

	mu           sync.Mutex
	rows         map[string]map[string]Row
	staleRows    map[string]map[string]Row
	staleVersion int64
	version      int64
	historyStart int64 // The feed no longer has the changes up to this version.
	era          int64
	returnedAt   int64 // The version with which the store last came back from a copy.
	changed      chan struct{}
	mode         Mode
	calls        int
	readDelays   map[string]time.Duration
	failWrites   bool
	startedAt    time.Time
}

// NewStore starts a store without rows.
func NewStore() (*Store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{ln: ln, rows: map[string]map[string]Row{}, changed: make(chan struct{}), version: 1, era: 1, startedAt: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.read)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.write)
	s.http = &http.Server{Handler: s.applyMode(mux)}
	go func() { _ = s.http.Serve(ln) }() // Returns when the server is closed.
	return s, nil
}

// Close stops the store and drops its connections.
func (s *Store) Close() { _ = s.http.Close() }

// Addr returns the address on which the store listens.
func (s *Store) Addr() netip.AddrPort { return s.ln.Addr().(*net.TCPAddr).AddrPort() }

// SetMode changes how the store behaves.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m == ModeStale {
		s.staleRows, s.staleVersion = clone(s.rows), s.version
	}
	s.mode = m
	s.notifyWatchers()
}

// headerEra names the store's era in all its answers.
const headerEra = "Store-Era"

// Copy is the state of a store at one moment.
type Copy struct {
	rows    map[string]map[string]Row
	version int64
}

// Copy returns the store's state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{rows: clone(s.rows), version: s.version}
}

// ReturnFrom has the store come back from an earlier copy, in a new era, and returns the rows of the operator and
// of the replicas that are lost with it, in the order in which they were written. Feeds under way are not
// answered any more.
func (s *Store) ReturnFrom(c Copy) (lost []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, table := range []string{TableOperator, TableUpstreams} {
		for _, r := range s.rows[table] {
			if r.Version > c.version {
				lost = append(lost, r)
			}
		}
	}
	slices.SortFunc(lost, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
	s.rows, s.version, s.returnedAt = clone(c.rows), c.version, c.version
	s.era++
	s.notifyWatchers()
	return lost
}

// WriteAgain writes rows that were lost, unless they have been written since the store came back.
func (s *Store) WriteAgain(rows ...Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		if s.rows[r.Table][r.Key].Version <= s.returnedAt {
			s.put(r)
		}
	}
}

// Era returns the store's era.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Rows returns the rows of a table that are not deleted.
func (s *Store) Rows(table string) (list []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.rows[table] {
		if !r.Gone {
			list = append(list, r)
		}
	}
	return list
}

// TruncateHistory drops the history of changes up to now: feeds from before are answered 410.
func (s *Store) TruncateHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.historyStart = s.version
	s.notifyWatchers()
}

// Calls returns the number of calls made to the store.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row; value is encoded as JSON, unless it is a string.
func (s *Store) Put(table, key string, value any) {
	text, ok := value.(string)
	body := []byte(text)
	if !ok {
		body, _ = json.Marshal(value) // Tests write only values that encode.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(Row{Table: table, Key: key, Value: body})
}

// Delete deletes a row.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(Row{Table: table, Key: key, Gone: true})
}

// Get returns a row.
func (s *Store) Get(table, key string) Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[table][key]
}

func (s *Store) put(r Row) {
	s.version++
	r.Version = s.version
	r.encoded, _ = json.Marshal(r) // Cannot fail: a Row has only encodable fields.
	if s.rows[r.Table] == nil {
		s.rows[r.Table] = map[string]Row{}
	}
	s.rows[r.Table][r.Key] = r
	s.notifyWatchers()
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func clone(rows map[string]map[string]Row) map[string]map[string]Row {
	all := map[string]map[string]Row{}
	for table, list := range rows {
		all[table] = map[string]Row{}
		for key, r := range list {
			all[table][key] = r
		}
	}
	return all
}

// applyMode refuses, holds or passes calls according to the mode.
func (s *Store) applyMode(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		mode := s.mode
		w.Header().Set(headerEra, strconv.FormatInt(s.era, 10))
		s.mu.Unlock()
		switch mode {
		case ModeRefusing:
			w.WriteHeader(http.StatusServiceUnavailable)
		case ModeSilent:
			<-r.Context().Done()
		default:
			next.ServeHTTP(w, r)
		}
	})
}

type listing struct {
	Rows    []Row
	Version int64
	Now     int64
}

// FailWrites has all writes by nodes refused, or ends that.
func (s *Store) FailWrites(fail bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failWrites = fail
}

// DelayRead delays answers to reads of a whole table.
func (s *Store) DelayRead(table string, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readDelays == nil {
		s.readDelays = map[string]time.Duration{}
	}
	s.readDelays[table] = delay
}

func (s *Store) readDelay(table string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readDelays[table]
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(s.readDelay(r.FormValue("table"))):
	case <-r.Context().Done():
		return
	}
	s.mu.Lock()
	rows, version := s.rows, s.version
	if s.mode == ModeStale {
		rows, version = s.staleRows, s.staleVersion
	}
	l := listing{Rows: []Row{}, Version: version, Now: time.Since(s.startedAt).Milliseconds()}
	from, end := r.FormValue("from"), r.FormValue("target_version")
	for _, row := range rows[r.FormValue("table")] {
		if !row.Gone && row.Key >= from && (end == "" || row.Key < end) {
			l.Rows = append(l.Rows, row)
		}
	}
	s.mu.Unlock()
	writeListing(w, l)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	after, errAfter := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, errWait := strconv.Atoi(r.FormValue("wait_ms"))
	if errAfter != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	era := s.Era()
	for {
		l, changed, truncated := s.changesSince(r.FormValue("table"), after)
		if truncated {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(l.Rows) > 0 {
			writeListing(w, l)
			return
		}
		select {
		case <-changed:
			if s.isSilent() || s.Era() != era {
				<-r.Context().Done()
				return
			}
		case <-end:
			writeListing(w, l)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode == ModeSilent
}

func (s *Store) changesSince(table string, after int64) (l listing, changed chan struct{}, truncated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l = listing{Rows: []Row{}, Version: s.version, Now: time.Since(s.startedAt).Milliseconds()}
	for _, row := range s.rows[table] {
		if row.Version > after {
			l.Rows = append(l.Rows, row)
		}
	}
	return l, s.changed, after < s.historyStart || after > s.version
}

type transaction struct {
	Expected []Row `json:"expected"`
	Put      []Row `json:"put"`
}

func (s *Store) write(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failWrites {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	for _, e := range tx.Expected {
		if s.rows[e.Table][e.Key].Version != e.Version {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, p := range tx.Put {
		s.put(p)
	}
	writeListing(w, listing{Rows: []Row{}, Version: s.version, Now: time.Since(s.startedAt).Milliseconds()})
}

func writeListing(w http.ResponseWriter, l listing) {
	body := []byte(`{"rows":[`)
	for i, r := range l.Rows {
		if i > 0 {
			body = append(body, ',')
		}
		body = append(body, r.encoded...)
	}
	body = fmt.Appendf(body, `],"more":false,"ver":%d,"now_ms":%d}`, l.Version, l.Now)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // The caller may have disconnected.
}
