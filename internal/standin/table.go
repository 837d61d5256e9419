package standin

import (
	"net/http"
	"net/netip"
	"sync"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/drumpath/drumpath/pkg/tablestore"
)

// Table stands in for the platform's transactional table service.
type Table struct {
	*httpServer

	mu          sync.Mutex
	rows        map[string]tablestore.Row
	writes      *rate.Limiter
	commitCount int
}

// TableWritesPerSecond is how many transactions per second the table service
// accepts.
const TableWritesPerSecond = 300

// StartTable starts a table service.
func StartTable(addr netip.AddrPort) (*Table, error) {
	h, err := newHTTPServer(addr)
	if err != nil {
		return nil, err
	}
	t := &Table{
		httpServer: h,
		rows:       map[string]tablestore.Row{},
		writes:     rate.NewLimiter(TableWritesPerSecond, TableWritesPerSecond),
	}
	h.router.POST(tablestore.PathCommit, t.commit)
	h.router.POST(tablestore.PathRead, t.read)
	h.start()
	return t, nil
}

// Commits returns how many transactions were committed.
func (t *Table) Commits() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commitCount
}

// Row returns the current row under a key.
func (t *Table) Row(key string) tablestore.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.row(key)
}

func (t *Table) row(key string) tablestore.Row {
	r := t.rows[key]
	r.Key = key
	return r
}

func (t *Table) commit(c *fasthttp.RequestCtx) {
	var txn tablestore.Txn
	if !decode(c, &txn) {
		return
	}
	if !t.writes.Allow() {
		c.Error("too many writes", http.StatusTooManyRequests)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var conflict tablestore.ConflictError
	for _, cond := range txn.Conditions {
		if r := t.row(cond.Key); r.Version != cond.Version {
			conflict.Rows = append(conflict.Rows, r)
		}
	}
	if len(conflict.Rows) > 0 {
		reply(c, http.StatusConflict, conflict)
		return
	}
	for _, p := range txn.Puts {
		t.rows[p.Key] = tablestore.Row{Key: p.Key, Version: t.rows[p.Key].Version + 1, Value: p.Value}
	}
	t.commitCount++
	reply(c, http.StatusOK, struct{}{})
}

func (t *Table) read(c *fasthttp.RequestCtx) {
	var req tablestore.ReadRequest
	if !decode(c, &req) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	answer := tablestore.ReadAnswer{Rows: make([]tablestore.Row, len(req.Keys))}
	for i, key := range req.Keys {
		answer.Rows[i] = t.row(key)
	}
	reply(c, http.StatusOK, answer)
}
