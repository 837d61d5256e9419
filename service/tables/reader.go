package tables

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/service/peer"
)

// One node reads the platform's store and the others ask it for changes, so that calls to the
// store, which are paid for, don't grow with the number of nodes: each large data hall has its
// own reader, and all small halls share one. A node whose reader doesn't answer, or is behind
// the store, asks another node and then the store itself; this needs no agreement between
// nodes.
const (
	// MethodChanges asks a reader for changes of a table. Nodes of releases before positions
	// have "gateway.table_changes", and read from each other.
	MethodChanges = "gateway.table_changes_at"
	// readersPerTable is how many readers are tried in turn. With only one, its loss sent each
	// node of its hall to the store, where a configuration of 2.5 MB takes a link of 10 Mbit/s
	// two seconds.
	readersPerTable = 2
	// storePollWait is how long a reader's long poll of the store is held, and readerPollWait
	// how long a long poll of a reader is. They limit how long a cut off or frozen reader goes
	// unnoticed: at sites of a few nodes a change has to be in force within 2 s, which
	// includes asking another node.
	storePollWait  = 900 * time.Millisecond
	readerPollWait = 600 * time.Millisecond
	// minStorePollWait keeps a reader that has paused between polls from polling in a tight
	// loop.
	minStorePollWait = 300 * time.Millisecond
	// maxReaderAge is the age of a reader's copy from which it is not trusted, unless the
	// reader is receiving a response: its call to the store should have ended long before.
	maxReaderAge = storePollWait + 500*time.Millisecond
	// secondReaderTimeout limits how long the second reader may take to begin its answer after
	// the first one failed.
	secondReaderTimeout = 500 * time.Millisecond
	// wholeTableTimeout limits how long a reader may take to begin its answer with a whole
	// table, which it may have to read from the store in many calls.
	wholeTableTimeout = 1500 * time.Millisecond
	// maxReceiveTime limits how long peers wait for a reader that is receiving a large
	// response of the store: 2.5 MB take a link of 10 Mbit/s two seconds, and the remaining
	// time has to suffice for asking another reader.
	maxReceiveTime = 2200 * time.Millisecond
	// refreshPause is the pause after a failed call to the store before the next one is made
	// on behalf of peers.
	refreshPause = 500 * time.Millisecond
	// refreshTimeout limits how long a node whose copy is stale may take to read the store
	// when it is asked.
	refreshTimeout = time.Second
	// wholeRefreshTimeout is the same for a whole table.
	wholeRefreshTimeout = 1300 * time.Millisecond
	// newerRowsFrom is from how many nodes one that starts takes newer rows, newerRowsTries how many it
	// asks, as others may have just started as well, and newerRowsTimeout how long that may take.
	newerRowsFrom    = 2
	newerRowsTries   = 8
	newerRowsTimeout = time.Second
	// readerSkipTerm is how long a node stops asking a reader that has failed.
	readerSkipTerm = 3 * time.Second
)

// errReaderBehind means that a reader's copy of a table is missing or too old.
var errReaderBehind = errors.New("the reader has not heard from the store lately")

// Source is what tables are read from: the store itself, or a Reader.
type Source interface {
	List(ctx context.Context, t site.Table) (site.Listing, error)
	// Changes waits for changes after a position. The error wraps site.ErrHistoryGone if
	// the store does not have them.
	Changes(ctx context.Context, t site.Table, after history.Position, wait time.Duration) (site.Listing, error)
}

// Store is the part of the platform's store that a reader calls.
type Store interface {
	Source
	// LastLargeResponse returns when a large response last began to arrive, zero if none
	// has.
	LastLargeResponse() time.Time
	// Eras returns the eras that the store's answers have named.
	Eras() *history.Eras
}

// Reader reads the store's tables through other nodes where possible; its List and
// Changes have the store's semantics.
type Reader struct {
	store   Store
	self    control.Member
	members *control.Members
	client  *peer.Client
	log     *slog.Logger
	Direct  bool // Each node reads the store itself.
	// RowNumber returns the number that a row's content has of its own, 0 if it has none.
	RowNumber func(site.Row) int64
	calls     sync.WaitGroup // Calls to the store under way.

	mu           locks.Mutex
	tables       map[site.Table]*cachedTable
	skippedUntil map[netip.AddrPort]time.Time // Readers that have failed, and until when they are not asked.
	plan         readerPlan
	outages      map[site.Table]storeOutage
}

// NewReader returns the reader of a node. It calls the store, and other nodes through client.
func NewReader(store Store, self control.Member, members *control.Members, client *peer.Client, log *slog.Logger) *Reader {
	return &Reader{
		store:        store,
		self:         self,
		members:      members,
		client:       client,
		log:          log,
		tables:       map[site.Table]*cachedTable{},
		skippedUntil: map[netip.AddrPort]time.Time{},
		outages:      map[site.Table]storeOutage{},
		RowNumber:    func(site.Row) int64 { return 0 },
	}
}

// readerPlan is the assignment of readers for one view of the members.
type readerPlan struct {
	view *control.View
	// shared is set if nodes read through others at all.
	shared bool
	owners map[site.Table][]control.Member // In the order in which they are tried.
}

// currentPlan returns the plan for the current members; the caller holds mu.
func (r *Reader) currentPlan() *readerPlan {
	view := r.members.View()
	if r.plan.view != view {
		r.plan = r.newPlan(view)
	}
	return &r.plan
}

func (r *Reader) newPlan(view *control.View) readerPlan {
	p := readerPlan{view: view, owners: map[site.Table][]control.Member{}}
	p.shared = !r.Direct && view.Counts().Alive > control.MaxDirectNodes
	if !p.shared {
		return p
	}
	for _, t := range []site.Table{site.TableOperator, site.TableUpstreams, site.TableNodes} {
		p.owners[t] = control.Owners(r.readerCandidates(view), ReaderDuty(t), readersPerTable)
	}
	return p
}

// readerCandidates lists the nodes that may read for this one. They have the widest links:
// relaying to a whole hall takes more than a narrow link carries. A hall without a wide link,
// like a small hall, reads through nodes of other halls. With a reader for each small hall, or
// none, calls to the store were most of the cost of 18 nodes in 5 halls.
func (r *Reader) readerCandidates(view *control.View) []control.Member {
	if len(view.Hall(r.self.DataHall).Alive) > control.MaxDirectNodes {
		if local := view.HallWithWideLinks(r.self.DataHall); len(local) > 0 {
			return local
		}
	}
	return control.WithWidestLinks(view.Alive())
}

// reader is the node that reads a table for this one; ok is false if this node reads it
// itself.
func (r *Reader) reader(t site.Table) (addr netip.AddrPort, ok bool) {
	now := boottime.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.currentPlan().owners[t] {
		if m.Name == r.self.Name {
			return addr, false
		}
		if now.After(r.skippedUntil[m.Peer]) {
			return m.Peer, true
		}
	}
	return addr, false
}

// servesPeers reports whether peers may ask this node, and so depend on its copy being recent.
func (r *Reader) servesPeers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentPlan().shared
}

// ReaderDuty names the duty of reading a table for others.
func ReaderDuty(t site.Table) string { return "read/" + tableName(t) }

func tableName(t site.Table) string {
	switch t {
	case site.TableUpstreams:
		return "upstreams"
	case site.TableNodes:
		return "nodes"
	default:
		return "operator"
	}
}

// List reads a whole table, through a reader if there is one.
func (r *Reader) List(ctx context.Context, t site.Table) (l site.Listing, err error) {
	return r.read(ctx, r.addBase(t, changesRequest{Whole: true}), 0)
}

// isFirst reports whether this node has no copy of a table yet, nor ever had one.
func (r *Reader) isFirst(t site.Table) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table(t).position == history.Position{}
}

// adoptNewer replaces the rows of a listing of which other nodes have newer contents, and returns their keys: the
// store may have come back from a copy, and this node has just started.
func (r *Reader) adoptNewer(ctx context.Context, t site.Table, l *site.Listing) (adopted []string) {
	ctx, cancel := context.WithTimeout(ctx, newerRowsTimeout)
	defer cancel()
	answers := 0
	for asked := map[netip.AddrPort]bool{}; answers < newerRowsFrom && len(asked) < newerRowsTries && ctx.Err() == nil; {
		addr, ok := r.pickPeer(len(asked)%2 == 0, asked)
		if !ok {
			break
		}
		asked[addr] = true
		q := changesRequest{Table: t, Era: l.Position.Era, Whole: true, StoreUnreachable: true, Starting: true}
		for _, row := range l.Rows {
			if len(row.Value) >= max(minBaseSize, len(q.haveValue)) {
				q.HaveRef, q.haveValue = rowRef{Key: row.Key, Digest: digestOf(row.Value)}, row.Value
			}
		}
		other, _, err := r.fetchFromNode(ctx, addr, q, secondReaderTimeout)
		if err != nil {
			r.log.Info("newer rows not asked for", "table", tableName(t), "peer", addr, "err", err)
			continue
		}
		answers++
		for _, row := range other.Rows {
			if r.adopt(l, row) {
				adopted = append(adopted, row.Key)
				r.log.Info("newer row taken from peer", "table", tableName(t), "row", row.Key, "peer", addr)
			}
		}
	}
	return adopted
}

// adopt takes a row of another node's copy into a listing if its number is higher.
func (r *Reader) adopt(l *site.Listing, row site.Row) bool {
	own, found := l.Find(row.Key)
	number := r.RowNumber(row)
	if number == 0 || found && r.RowNumber(own) >= number {
		return false
	}
	row.Position = l.Position
	l.Rows = append(slices.DeleteFunc(l.Rows, func(x site.Row) bool { return x.Key == row.Key }), row)
	return true
}

// Changes waits for changes of a table, as Store.Changes does.
func (r *Reader) Changes(ctx context.Context, t site.Table, after history.Position, wait time.Duration) (l site.Listing, err error) {
	if era, _, _ := r.store.Eras().Current(); after.Era < era {
		return l, site.ErrHistoryGone // Without a call, so it does not tell that the store is reached.
	}
	q := changesRequest{After: after, WaitMS: min(wait, readerPollWait).Milliseconds()}
	return r.read(ctx, r.addBase(t, q), r.storeWait(t, wait))
}

// storeWait is how long this node's own call for changes is held: its copy must not grow older
// than peers trust, though it may have paused since the last call.
func (r *Reader) storeWait(t site.Table, wait time.Duration) time.Duration {
	if !r.servesPeers() {
		return wait
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(wait, max(minStorePollWait, storePollWait-boottime.Since(r.table(t).storeReadAt)))
}

// addBase adds the largest value that this node has to a request, for the answer to be packed
// against.
func (r *Reader) addBase(t site.Table, q changesRequest) changesRequest {
	q.Table = t
	q.Era, _, _ = r.store.Eras().Current()
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.table(t)
	for key, digest := range x.large {
		if row := x.rows[key]; len(row.Value) >= len(q.haveValue) {
			q.HaveRef, q.haveValue = rowRef{Key: key, Digest: digest}, row.Value
		}
	}
	return q
}

// read asks the readers in turn, and then the store. Only the first call is a long poll: after
// a failure the next answer must come at once.
func (r *Reader) read(ctx context.Context, q changesRequest, wait time.Duration) (l site.Listing, err error) {
	for range readersPerTable {
		addr, ok := r.reader(q.Table)
		if !ok {
			break
		}
		startedAt := boottime.Now()
		l, err = r.askNode(ctx, addr, q)
		if err == nil || errors.Is(err, site.ErrHistoryGone) || ctx.Err() != nil {
			return l, err
		}
		r.skipReader(q.Table, addr, startedAt, err)
		q.WaitMS = 0
	}
	return r.readStoreOrPeer(ctx, q, func(ctx context.Context) (site.Listing, error) { return r.readStore(ctx, q, wait) })
}

// readStore reads the store itself. Changes that it is being asked for on behalf of peers are not asked for again: large
// ones would share the link.
func (r *Reader) readStore(ctx context.Context, q changesRequest, wait time.Duration) (l site.Listing, err error) {
	startedAt := boottime.Now()
	if !q.Whole && r.awaitRefresh(ctx, q.Table) {
		if l, ok := r.changesAfter(q, startedAt); ok {
			return l, nil
		}
	}
	r.mu.Lock()
	done := r.beginStoreCall(q.Table)
	r.mu.Unlock()
	defer done()
	return r.fetchFromStore(ctx, q, wait)
}

// awaitRefresh waits for a call on behalf of peers, and reports whether there was one that has ended. A call whose
// response does not begin soon, as on a silent connection, or takes too long, is not waited for.
func (r *Reader) awaitRefresh(ctx context.Context, t site.Table) (ended bool) {
	r.mu.Lock()
	x := r.table(t)
	call, startedAt := x.refresh, x.storeCallAt
	r.mu.Unlock()
	if call == nil {
		return false
	}
	for _, limit := range []time.Duration{peer.AnswerSlack, maxReceiveTime} {
		select {
		case <-call:
			return true
		case <-ctx.Done():
			return false
		case <-time.After(limit):
		}
		if !r.store.LastLargeResponse().After(startedAt) {
			return false
		}
	}
	return false
}

// changesAfter lists the rows of the copy that have changed since a position; ok is false if none has, or if the store
// has not answered since startedAt.
func (r *Reader) changesAfter(q changesRequest, startedAt time.Time) (l site.Listing, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.table(q.Table)
	if x.rows == nil || !x.storeReadAt.After(startedAt) || q.After.Era != x.position.Era || q.After.Before(x.historyStart) {
		return l, false
	}
	l.Rows, l.Position = x.changedRows(q.After, true), x.position
	return l, len(l.Rows) > 0
}

// fetchFromStore is readStore within a call that beginStoreCall has recorded.
func (r *Reader) fetchFromStore(ctx context.Context, q changesRequest, wait time.Duration) (l site.Listing, err error) {
	before := boottime.Refresh()
	startedAt := boottime.Now()
	if r.storeUnreachable(q.Table) {
		wait = 0
	}
	if q.Whole {
		l, err = r.store.List(ctx, q.Table)
	} else {
		l, err = r.store.Changes(ctx, q.Table, q.After, wait)
	}
	if err != nil {
		if !errors.Is(err, site.ErrHistoryGone) {
			r.recordStoreCallFailed(q.Table)
		}
		return l, err
	}
	var adopted []string
	if q.Whole && q.Table == site.TableOperator && l.Position.Era > 0 && r.isFirst(q.Table) {
		adopted = r.adoptNewer(ctx, q.Table, &l)
	}
	// The response may have arrived before the machine was suspended; then it is not recent.
	recent := boottime.Refresh()-before < boottime.MinSuspension
	r.apply(q, l, recent)
	if recent {
		r.recordKnown(q.Table, startedAt, wait)
	}
	r.markCarried(q.Table, adopted)
	r.logRows(q, l, sourceStore, startedAt)
	return l, nil
}

// recordStoreCallFailed records that this node's own call failed, before the requests that wait
// for it continue.
func (r *Reader) recordStoreCallFailed(t site.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table(t).storeFailedAt = boottime.Now()
}

// beginStoreCall records that this node's own call to the store is in flight; the returned
// function ends that. The caller of beginStoreCall holds mu, that of the function does not.
func (r *Reader) beginStoreCall(t site.Table) func() {
	call := make(chan struct{})
	x := r.table(t)
	x.storeCall, x.storeCallAt = call, boottime.Now()
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if x.storeCall == call {
			x.storeCall = nil
		}
		if x.refresh == call {
			x.refresh = nil
		}
		close(call)
	}
}

// sourceStore stands for the store as the source in log lines.
const sourceStore = "store"

// logRows logs received rows of the operator's table, which changes seldom and may be large.
func (r *Reader) logRows(q changesRequest, l site.Listing, source string, startedAt time.Time) {
	if q.Table != site.TableOperator || len(l.Rows) == 0 {
		return
	}
	size := 0
	for _, row := range l.Rows {
		size += len(row.Value)
	}
	r.log.Info("operator rows received", "position", l.Position, "rows", len(l.Rows),
		"bytes", size, "by", source, "after", boottime.Since(startedAt))
}

// skipReader stops asking a reader that failed with err, for readerSkipTerm.
func (r *Reader) skipReader(t site.Table, addr netip.AddrPort, startedAt time.Time, err error) {
	r.log.Warn("table read through peer failed", "table", tableName(t), "peer", addr, "after", boottime.Since(startedAt), "err", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.skippedUntil[addr] = boottime.Now().Add(readerSkipTerm)
}

// askNode reads through another node.
func (r *Reader) askNode(ctx context.Context, addr netip.AddrPort, q changesRequest) (l site.Listing, err error) {
	startedAt := boottime.Now()
	timeout := time.Duration(q.WaitMS)*time.Millisecond + peer.AnswerSlack
	switch {
	case q.Whole:
		timeout = wholeTableTimeout
	case q.WaitMS == 0:
		timeout = secondReaderTimeout // The node may have to read the store first.
	}
	l, age, err := r.fetchFromNode(ctx, addr, q, timeout)
	if err != nil {
		return l, err
	}
	r.apply(q, l, false)
	r.recordHeard(q.Table, l.Position.Era, startedAt.Add(-age))
	r.logRows(q, l, addr.String(), startedAt)
	return l, nil
}

// recordHeard records when the store answered the node that a copy was read through.
func (r *Reader) recordHeard(t site.Table, era history.Era, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x := r.table(t); x.position.Era == era && at.After(x.heardAt) {
		x.heardAt = at
	}
}

// recordKnown records as of when this node knows a table by the store's answer to a call. If the answer took longer than
// the store held the call, the process may have been stopped after the answer had come.
func (r *Reader) recordKnown(t site.Table, startedAt time.Time, wait time.Duration) {
	now := boottime.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.table(t)
	if x.knownAt = now; now.Sub(startedAt) > wait+maxAnswerDelay {
		x.knownAt = startedAt
	}
}

// maxAnswerDelay is how much later than it is sent an answer of the store is expected at most.
const maxAnswerDelay = 300 * time.Millisecond

// KnownAt returns as of when this node's copy of a table is known, by the store's last answer to this node or to the one
// that it reads through; zero before the first.
func (r *Reader) KnownAt(t site.Table) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.table(t)
	if x.heardAt.After(x.knownAt) {
		return x.heardAt
	}
	return x.knownAt
}

// fetchFromNode asks another node for rows; age is for how long the store had not answered that node.
func (r *Reader) fetchFromNode(ctx context.Context, addr netip.AddrPort, q changesRequest, timeout time.Duration) (l site.Listing, age time.Duration, err error) {
	defer func() { err = eris.Wrap(err, "ask reader") }()
	var answer changesAnswer
	if err := r.client.CallWithin(ctx, timeout, addr, MethodChanges, q, &answer); err != nil {
		return l, 0, err
	}
	current := r.store.Eras().Observe(answer.Position.Era, boottime.RefreshNow())
	age = time.Duration(answer.AgeMS) * time.Millisecond
	switch {
	case !current, age > q.maxAge():
		return l, age, errReaderBehind
	case answer.HistoryGone:
		return l, age, site.ErrHistoryGone
	}
	var base []byte
	if answer.Rows.Base == q.HaveRef {
		base = q.haveValue
	}
	rows, err := answer.Rows.unpack(base)
	if err != nil {
		return l, age, err
	}
	return site.Listing{Rows: rows, Position: answer.Position}, age, nil
}
