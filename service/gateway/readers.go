package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/service/peer"
)

// One node reads the platform's store and others ask it for what is new, so that calls
// to the store, which are paid for, don't grow with the nodes: one node of each large
// data hall for that hall, and one of all for those of small halls. Whoever finds the
// reader silent, or behind the store, asks another node and then the store itself;
// nothing has to be agreed for that.
const (
	// methodTableChanges asks a reader for changes of a table.
	methodTableChanges = "gateway.table_changes"
	// maxDirectNodes is how many nodes each do for themselves what one would do for all:
	// what that saves is not worth its failures then. Of the reading it is of all nodes,
	// else of a hall's.
	maxDirectNodes = 4
	// readDuty names the duty of reading a table for a hall.
	readDuty = "read/"
	// readersPerTable is how many nodes a reader's duty falls to in turn. With one, its
	// loss sent each node of its hall to the store, where a configuration of 2.5 MB
	// takes a link of 10 Mbit/s two seconds.
	readersPerTable = 2
	// storePollWait is for how long a reader's own call to the store is held, and askHold
	// for how long one to a reader is. They bound how long a cut off or a frozen reader
	// goes unnoticed: a change has to be in force within 2 s at sites of a few nodes, and
	// another node has to be asked in that time.
	storePollWait  = 900 * time.Millisecond
	readerPollWait = 600 * time.Millisecond
	// minStorePollWait keeps a reader that has rested from asking at once and again.
	minStorePollWait = 300 * time.Millisecond
	// answerSlack is added for the answer to begin.
	answerSlack = 300 * time.Millisecond
	// maxReaderAge is the age of a reader's knowledge from which on it is not
	// trusted, unless it is receiving: its call to the store should have ended long
	// before.
	maxReaderAge = storePollWait + 500*time.Millisecond
	// secondReaderTimeout is for how long the second reader may take to begin its answer to
	// what the first did not tell.
	secondReaderTimeout = 500 * time.Millisecond
	// maxReceiveTime is for how long a reader that is receiving a large answer of the store
	// is waited for: 2.5 MB take a link of 10 Mbit/s two seconds, and another reader
	// has to be asked within the time that is left.
	maxReceiveTime = 2200 * time.Millisecond
	// refreshPause is kept after a failed call of this node until one is made for others.
	refreshPause = 500 * time.Millisecond
	// refreshTimeout is for how long a node that is asked and knows too little may
	// take to ask the store itself.
	refreshTimeout = time.Second
	// readerSkipTerm is for how long a node does without a reader that has failed it.
	readerSkipTerm = 3 * time.Second
)

// errReaderBehind says that a reader has not heard from the store for too long.
var errReaderBehind = errors.New("the reader has not heard from the store lately")

// sharedReader is the store as the nodes of a large hall read it together.
type sharedReader struct {
	store   Store
	self    control.Member
	members *control.Members
	client  *peer.Client
	log     *slog.Logger
	direct  bool // Each node reads for itself.

	mu           sync.Mutex
	tables       map[site.Table]*cachedTable
	skippedUntil map[netip.AddrPort]time.Time // Readers that are not asked until then.
	plan         readerPlan
	outages      map[site.Table]storeOutage
}

func newSharedReader(store Store, self control.Member, members *control.Members, client *peer.Client, log *slog.Logger) *sharedReader {
	return &sharedReader{
		store:        store,
		self:         self,
		members:      members,
		client:       client,
		log:          log,
		tables:       map[site.Table]*cachedTable{},
		skippedUntil: map[netip.AddrPort]time.Time{},
		outages:      map[site.Table]storeOutage{},
	}
}

// readerPlan is who reads for whom while the members are as in one view.
type readerPlan struct {
	view *control.View
	// shared says that nodes read for each other at all.
	shared bool
	owners map[site.Table][]control.Member // In the order in which they are asked.
}

// currentPlan returns the plan for the members as they are; the caller holds mu.
func (r *sharedReader) currentPlan() *readerPlan {
	view := r.members.View()
	if r.plan.view != view {
		r.plan = r.newPlan(view)
	}
	return &r.plan
}

func (r *sharedReader) newPlan(view *control.View) readerPlan {
	p := readerPlan{view: view, owners: map[site.Table][]control.Member{}}
	p.shared = !r.direct && len(view.Alive) > maxDirectNodes
	if !p.shared {
		return p
	}
	for _, t := range []site.Table{site.TableOperator, site.TableUpstreams} {
		p.owners[t] = control.Owners(r.readerCandidates(view), readDuty+tableName(t), readersPerTable)
	}
	return p
}

// readerCandidates lists the nodes that may read for this one. They have the widest links: what
// a hall has to be told is more than narrow ones carry, and a hall without a wide one is
// told by nodes of others, as a small hall is. With a reader for each small hall, or none,
// most of what 18 nodes in 5 halls paid for was calls to the store.
func (r *sharedReader) readerCandidates(view *control.View) []control.Member {
	wide := control.WithWidestLinks(view.Alive)
	if len(view.Hall(r.self.DataHall).Alive) <= maxDirectNodes {
		return wide
	}
	if local := membersInHall(wide, r.self.DataHall); len(local) > 0 {
		return local
	}
	return wide
}

// reader is the node that reads a table for this one; ok is false if this node
// reads it itself.
func (r *sharedReader) reader(t site.Table) (addr netip.AddrPort, ok bool) {
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

// servesPeers says whether other nodes may ask this one: they trust it for a time.
func (r *sharedReader) servesPeers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentPlan().shared
}

func tableName(t site.Table) string {
	if t == site.TableUpstreams {
		return "upstreams"
	}
	return "operator"
}

// aliveMembers lists the nodes that are well.
func aliveMembers(m *control.Members) []control.Member { return m.View().Alive }

// hallMembers lists the nodes of a hall that are well.
func hallMembers(m *control.Members, hall string) []control.Member { return m.View().Hall(hall).Alive }

func membersInHall(list []control.Member, hall string) (members []control.Member) {
	for _, x := range list {
		if x.DataHall == hall {
			members = append(members, x)
		}
	}
	return members
}

// List reads a whole table, from a reader if there is one.
func (r *sharedReader) List(ctx context.Context, t site.Table) (l site.Listing, err error) {
	return r.read(ctx, r.addBase(t, changesRequest{Whole: true}), 0)
}

// Changes waits for changes of a table, as Store does.
func (r *sharedReader) Changes(ctx context.Context, t site.Table, after int64, wait time.Duration) (l site.Listing, err error) {
	q := changesRequest{After: after, WaitMS: min(wait, readerPollWait).Milliseconds()}
	return r.read(ctx, r.addBase(t, q), r.storeWait(t, wait))
}

// storeWait is for how long this node's own call for changes is held: what others hear
// from it must not grow older than they trust, though it may have rested since the last.
func (r *sharedReader) storeWait(t site.Table, wait time.Duration) time.Duration {
	if !r.servesPeers() {
		return wait
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(wait, max(minStorePollWait, storePollWait-boottime.Since(r.table(t).storeReadAt)))
}

// addBase completes a request with the largest value that this node has.
func (r *sharedReader) addBase(t site.Table, q changesRequest) changesRequest {
	q.Table = t
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range r.table(t).rows {
		if len(row.Value) >= max(minBaseSize, len(q.haveValue)) {
			q.HaveRef, q.haveValue = rowRef{Key: row.Key, Version: row.Version}, row.Value
		}
	}
	return q
}

// read asks the readers in turn, and then the store. Only the first is asked to hold the
// call: what it did not tell is wanted at once.
func (r *sharedReader) read(ctx context.Context, q changesRequest, wait time.Duration) (l site.Listing, err error) {
	for range readersPerTable {
		addr, ok := r.reader(q.Table)
		if !ok {
			break
		}
		begun := boottime.Now()
		l, err = r.askNode(ctx, addr, q)
		if err == nil || errors.Is(err, site.ErrHistoryGone) || ctx.Err() != nil {
			return l, err
		}
		r.skipReader(q.Table, addr, begun, err)
		q.WaitMS = 0
	}
	return r.readStoreOrPeer(ctx, q, func(ctx context.Context) (site.Listing, error) { return r.readStore(ctx, q, wait) })
}

// readStore reads the store itself.
func (r *sharedReader) readStore(ctx context.Context, q changesRequest, wait time.Duration) (l site.Listing, err error) {
	before := boottime.Refresh()
	begun := boottime.Now()
	if r.storeUnreachable(q.Table) {
		wait = 0
	}
	done := r.beginStoreCall(q.Table)
	defer done()
	if q.Whole {
		l, err = r.store.List(ctx, q.Table)
	} else {
		l, err = r.store.Changes(ctx, q.Table, q.After, wait)
	}
	if err != nil {
		if !errors.Is(err, site.ErrHistoryGone) {
			r.noteStoreCallFailed(q.Table)
		}
		return l, err
	}
	// An answer may have come before the machine was suspended: it is not new then.
	r.apply(q, l, boottime.Refresh()-before < leastSuspension)
	r.logRows(q, l, sourceStore, begun)
	return l, nil
}

// noteStoreCallFailed notes that this node's own call has failed, before those that wait for it go on.
func (r *sharedReader) noteStoreCallFailed(t site.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table(t).storeFailedAt = boottime.Now()
}

// beginStoreCall notes that this node's own call to the store is under way; the returned
// function ends that.
func (r *sharedReader) beginStoreCall(t site.Table) func() {
	call := make(chan struct{})
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.table(t)
	x.storeCall, x.storeCallAt = call, boottime.Now()
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if x.storeCall == call {
			x.storeCall = nil
		}
		close(call)
	}
}

// sourceStore names the store where a log line tells who told something.
const sourceStore = "store"

// logRows logs what came of the operator's table, which is seldom and may be large.
func (r *sharedReader) logRows(q changesRequest, l site.Listing, source string, begun time.Time) {
	if q.Table != site.TableOperator || len(l.Rows) == 0 {
		return
	}
	size := 0
	for _, row := range l.Rows {
		size += len(row.Value)
	}
	r.log.Info("operator rows received", "version", l.Version, "rows", len(l.Rows),
		"bytes", size, "by", source, "after", boottime.Since(begun))
}

// skipReader has a reader that has failed by err done without for a while.
func (r *sharedReader) skipReader(t site.Table, addr netip.AddrPort, begun time.Time, err error) {
	r.log.Warn("table read through peer failed", "table", tableName(t), "peer", addr, "after", boottime.Since(begun), "err", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.skippedUntil[addr] = boottime.Now().Add(readerSkipTerm)
}

func (r *sharedReader) askNode(ctx context.Context, addr netip.AddrPort, q changesRequest) (l site.Listing, err error) {
	defer func() { err = eris.Wrap(err, "ask reader") }()
	begun := boottime.Now()
	var answer changesAnswer
	timeout := time.Duration(q.WaitMS)*time.Millisecond + answerSlack
	if q.WaitMS == 0 {
		timeout = secondReaderTimeout // It may have to ask the store first.
	}
	if err := r.client.CallWithin(ctx, timeout, addr, methodTableChanges, q, &answer); err != nil {
		return l, err
	}
	switch {
	case time.Duration(answer.AgeMS)*time.Millisecond > q.maxAge():
		return l, errReaderBehind
	case answer.HistoryGone:
		return l, site.ErrHistoryGone
	}
	var base []byte
	if answer.Rows.Base == q.HaveRef {
		base = q.haveValue
	}
	rows, err := answer.Rows.unpack(base)
	if err != nil {
		return l, err
	}
	l = site.Listing{Rows: rows, Version: answer.Version}
	r.apply(q, l, false)
	r.logRows(q, l, addr.String(), begun)
	return l, nil
}
