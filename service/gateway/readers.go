package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/service/peer"
)

// In a large data hall one node reads the platform's store and the others ask it
// for what is new, so that calls to the store grow with the halls and not with the
// nodes. Whoever finds the reader silent, or behind the store, asks the store
// itself; nothing has to be agreed for that.
const (
	// methodChanges asks a reader for changes of a table.
	methodChanges = "gateway.changes"
	// directMost is how many nodes of a hall each read the store for themselves:
	// what one reader saves is not worth its failures then.
	directMost = 4
	// readDuty names the duty of reading a table for a hall.
	readDuty = "read/"
	// readerHold is for how long a call to a reader, and the reader's own to the
	// store, are held. It bounds how long a frozen or cut off reader goes
	// unnoticed.
	readerHold = time.Second
	// readerSlack is added for the answer.
	readerSlack = 400 * time.Millisecond
	// readerAge is the age of a reader's knowledge from which on it is not
	// trusted: its call to the store should have ended long before.
	readerAge = readerHold + 800*time.Millisecond
	// directTerm is for how long a node asks the store itself after its reader
	// has failed it.
	directTerm = 3 * time.Second
)

// errReaderBehind says that a reader has not heard from the store for too long.
var errReaderBehind = errors.New("the reader has not heard from the store lately")

// changesRequest are methodChanges' parameters; Whole asks for the whole table.
type changesRequest struct {
	Table  site.Table `json:"table"`
	After  int64      `json:"after"`
	WaitMS int64      `json:"wait_ms"`
	Whole  bool       `json:"whole"`
	// Detour says that the node that asks does not reach the store, so that
	// older knowledge serves as well.
	Detour bool `json:"detour"`
}

// oldest is the age from which on an answer is not used.
func (q changesRequest) oldest() time.Duration {
	if q.Detour {
		return detourAge
	}
	return readerAge
}

type changesAnswer struct {
	Rows    []site.Row `json:"rows"`
	Version int64      `json:"version"`
	AgeMS   int64      `json:"age_ms"`
	// Gone says that changes since the version asked for are not known here.
	Gone bool `json:"gone"`
}

// readTable is what a node that reads a table has of it.
type readTable struct {
	rows    map[string]site.Row // Dropped rows included.
	base    int64               // Changes since here are known.
	version int64
	heard   time.Time // When the store itself was last heard.
	changed chan struct{}
}

// readers is the store as the nodes of a large hall read it together.
type readers struct {
	store   Store
	self    control.Member
	members *control.Members
	client  *peer.Client
	log     *slog.Logger

	mu      sync.Mutex
	tables  map[site.Table]*readTable
	direct  time.Time // The hall's reader is not asked until then.
	detours map[site.Table]detour
}

func newReaders(s Store, self control.Member, m *control.Members, c *peer.Client, log *slog.Logger) *readers {
	return &readers{
		store:   s,
		self:    self,
		members: m,
		client:  c,
		log:     log,
		tables:  map[site.Table]*readTable{},
		detours: map[site.Table]detour{},
	}
}

// reader is the node that reads a table for this hall; ok is false if this node
// reads it itself.
func (r *readers) reader(t site.Table) (addr netip.AddrPort, ok bool) {
	hall := hallMembers(r.members, r.self.DataHall)
	r.mu.Lock()
	direct := time.Now().Before(r.direct)
	r.mu.Unlock()
	if direct || len(hall) <= directMost {
		return addr, false
	}
	owner, found := control.Owner(control.Widest(hall), readDuty+tableName(t))
	return owner.Peer, found && owner.Name != r.self.Name
}

func tableName(t site.Table) string {
	if t == site.TableUpstreams {
		return "upstreams"
	}
	return "operator"
}

// hallMembers lists the nodes of a hall that are well.
func hallMembers(m *control.Members, hall string) []control.Member {
	var list []control.Member
	for _, x := range m.Working() {
		if x.DataHall == hall && x.State == control.MemberAlive {
			list = append(list, x)
		}
	}
	return list
}

// List reads a whole table, from this hall's reader if there is one.
func (r *readers) List(ctx context.Context, t site.Table) (l site.Listing, err error) {
	q := changesRequest{Table: t, Whole: true}
	if addr, ok := r.reader(t); ok {
		begun := time.Now()
		if l, err = r.ask(ctx, addr, q); err == nil {
			return l, nil
		}
		if ctx.Err() != nil {
			return l, err
		}
		r.doubt(t, addr, begun, err)
	}
	return r.fromStore(ctx, q, func(ctx context.Context) (site.Listing, error) {
		begun := time.Now()
		l, err := r.store.List(ctx, t)
		if err == nil {
			r.take(q, l, true)
			r.tell(q, l, byStore, begun)
		}
		return l, err
	})
}

// Changes waits for changes of a table, as Store does.
func (r *readers) Changes(ctx context.Context, t site.Table, after int64, wait time.Duration) (l site.Listing, err error) {
	hall := len(hallMembers(r.members, r.self.DataHall))
	if hall > directMost {
		wait = min(wait, readerHold)
	}
	q := changesRequest{Table: t, After: after, WaitMS: min(wait, readerHold).Milliseconds()}
	if addr, ok := r.reader(t); ok {
		begun := time.Now()
		l, err = r.ask(ctx, addr, q)
		if err == nil || errors.Is(err, site.ErrHistoryGone) || ctx.Err() != nil {
			return l, err
		}
		r.doubt(t, addr, begun, err)
	}
	return r.fromStore(ctx, q, func(ctx context.Context) (site.Listing, error) {
		if r.missing(t) {
			wait = 0
		}
		begun := time.Now()
		l, err := r.store.Changes(ctx, t, after, wait)
		if err == nil {
			r.take(q, l, true)
			r.tell(q, l, byStore, begun)
		}
		return l, err
	})
}

// byStore names the store where a log line tells who told something.
const byStore = "store"

// tell logs what came of the operator's table, which is seldom and may be large.
func (r *readers) tell(q changesRequest, l site.Listing, by string, begun time.Time) {
	if q.Table != site.TableOperator || len(l.Rows) == 0 {
		return
	}
	size := 0
	for _, row := range l.Rows {
		size += len(row.Value)
	}
	r.log.Info("operator's rows heard", "version", l.Version, "rows", len(l.Rows),
		"bytes", size, "by", by, "after", time.Since(begun))
}

// doubt has the store itself asked for a while, as the reader has failed by err.
func (r *readers) doubt(t site.Table, addr netip.AddrPort, begun time.Time, err error) {
	r.log.Warn("reader passed over", "table", tableName(t), "peer", addr, "after", time.Since(begun), "err", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.direct = time.Now().Add(directTerm)
}

func (r *readers) ask(ctx context.Context, addr netip.AddrPort, q changesRequest) (l site.Listing, err error) {
	defer func() { err = eris.Wrap(err, "ask reader") }()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.WaitMS)*time.Millisecond+readerSlack)
	defer cancel()
	begun := time.Now()
	var a changesAnswer
	if err := r.client.Call(ctx, addr, methodChanges, q, &a); err != nil {
		return l, err
	}
	switch {
	case time.Duration(a.AgeMS)*time.Millisecond > q.oldest():
		return l, errReaderBehind
	case a.Gone:
		return l, site.ErrHistoryGone
	default:
		l = site.Listing{Rows: a.Rows, Version: a.Version}
		r.take(q, l, false)
		r.tell(q, l, addr.String(), begun)
		return l, nil
	}
}

// take notes an answer for those that ask this node, whoever gave it: with changes
// left out that came from others, what it tells on would have gaps. own says that
// the store itself has answered.
func (r *readers) take(q changesRequest, l site.Listing, own bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.tables[q.Table]
	if x == nil {
		x = &readTable{changed: make(chan struct{})}
		r.tables[q.Table] = x
	}
	switch {
	case q.Whole && l.Version < x.version:
		// The store is behind what it has told before. Taken in, its older rows
		// would hide newer ones from nodes that ask for changes since then.
		return
	case q.Whole:
		x.rows, x.base = map[string]site.Row{}, l.Version
	case q.After > x.version:
		x.rows = nil // What lies between was never heard.
	}
	if own {
		x.heard = time.Now()
	}
	if x.rows == nil {
		return
	}
	for _, row := range l.Rows {
		x.rows[row.Key] = row
	}
	x.version = max(x.version, l.Version)
	if len(l.Rows) > 0 || q.Whole {
		close(x.changed)
		x.changed = make(chan struct{})
	}
}

// serve answers a node that asks; it waits for changes as the store does.
func (r *readers) serve(ctx context.Context, params json.RawMessage) (any, error) {
	var q changesRequest
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, eris.Wrap(err, "bad parameters")
	}
	end := time.After(min(readerHold, time.Duration(q.WaitMS)*time.Millisecond))
	for {
		a, changed, ok := r.answer(q)
		if !ok {
			return nil, errReaderBehind
		}
		if q.Whole || a.Gone || len(a.Rows) > 0 {
			return a, nil
		}
		select {
		case <-changed:
		case <-end:
			a, _, _ = r.answer(q)
			return a, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (r *readers) answer(q changesRequest) (a changesAnswer, changed chan struct{}, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.tables[q.Table]
	if x == nil || x.rows == nil {
		return a, nil, false
	}
	a = changesAnswer{Version: x.version, AgeMS: time.Since(x.heard).Milliseconds(), Gone: !q.Whole && q.After < x.base}
	if a.Gone {
		return a, x.changed, true
	}
	for _, row := range x.rows {
		if q.Whole && !row.Gone || !q.Whole && row.Version > q.After {
			a.Rows = append(a.Rows, row)
		}
	}
	slices.SortFunc(a.Rows, func(p, q site.Row) int { return int(p.Version - q.Version) })
	return a, x.changed, true
}
