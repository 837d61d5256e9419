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
	// methodChanges asks a reader for changes of a table.
	methodChanges = "gateway.table_changes"
	// directMost is how many nodes each do for themselves what one would do for all:
	// what that saves is not worth its failures then. Of the reading it is of all nodes,
	// else of a hall's.
	directMost = 4
	// readDuty names the duty of reading a table for a hall.
	readDuty = "read/"
	// readersTried is how many nodes a reader's duty falls to in turn. With one, its
	// loss sent each node of its hall to the store, where a configuration of 2.5 MB
	// takes a link of 10 Mbit/s two seconds.
	readersTried = 2
	// readerHold is for how long a reader's own call to the store is held, and askHold
	// for how long one to a reader is. They bound how long a cut off or a frozen reader
	// goes unnoticed: a change has to be in force within 2 s at sites of a few nodes, and
	// another node has to be asked in that time.
	readerHold = 900 * time.Millisecond
	askHold    = 600 * time.Millisecond
	// leastHold keeps a reader that has rested from asking at once and again.
	leastHold = 300 * time.Millisecond
	// readerSlack is added for the answer to begin.
	readerSlack = 300 * time.Millisecond
	// readerAge is the age of a reader's knowledge from which on it is not
	// trusted, unless it is receiving: its call to the store should have ended long
	// before.
	readerAge = readerHold + 500*time.Millisecond
	// secondTime is for how long the second reader may take to begin its answer to
	// what the first did not tell.
	secondTime = 500 * time.Millisecond
	// receiveMost is for how long a reader that is receiving a large answer of the store
	// is waited for: 2.5 MB take a link of 10 Mbit/s two seconds, and another reader
	// has to be asked within the time that is left.
	receiveMost = 2200 * time.Millisecond
	// refreshPause is kept after a failed call of this node until one is made for others.
	refreshPause = 500 * time.Millisecond
	// refreshTime is for how long a node that is asked and knows too little may
	// take to ask the store itself.
	refreshTime = time.Second
	// directTerm is for how long a node does without a reader that has failed it.
	directTerm = 3 * time.Second
)

// errReaderBehind says that a reader has not heard from the store for too long.
var errReaderBehind = errors.New("the reader has not heard from the store lately")

// readers is the store as the nodes of a large hall read it together.
type readers struct {
	store   Store
	self    control.Member
	members *control.Members
	client  *peer.Client
	log     *slog.Logger
	alone   bool // Each node reads for itself.

	mu      sync.Mutex
	tables  map[site.Table]*readTable
	doubted map[netip.AddrPort]time.Time // Readers that are not asked until then.
	plan    readerPlan
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
		doubted: map[netip.AddrPort]time.Time{},
		detours: map[site.Table]detour{},
	}
}

// readerPlan is who reads for whom while the members are as in one view.
type readerPlan struct {
	view *control.View
	// shared says that nodes read for each other at all.
	shared bool
	owners map[site.Table][]control.Member // In the order in which they are asked.
}

// planned returns the plan for the members as they are; the caller holds mu.
func (r *readers) planned() *readerPlan {
	view := r.members.View()
	if r.plan.view != view {
		r.plan = r.newPlan(view)
	}
	return &r.plan
}

func (r *readers) newPlan(view *control.View) readerPlan {
	p := readerPlan{view: view, owners: map[site.Table][]control.Member{}}
	p.shared = !r.alone && len(view.Alive) > directMost
	if !p.shared {
		return p
	}
	for _, t := range []site.Table{site.TableOperator, site.TableUpstreams} {
		p.owners[t] = control.Owners(r.readersOf(view), readDuty+tableName(t), readersTried)
	}
	return p
}

// readersOf lists the nodes that may read for this one. They have the widest links: what
// a hall has to be told is more than narrow ones carry, and a hall without a wide one is
// told by nodes of others, as a small hall is. With a reader for each small hall, or none,
// most of what 18 nodes in 5 halls paid for was calls to the store.
func (r *readers) readersOf(view *control.View) []control.Member {
	wide := control.WithWidestLinks(view.Alive)
	if len(view.Hall(r.self.DataHall).Alive) <= directMost {
		return wide
	}
	if near := inHall(wide, r.self.DataHall); len(near) > 0 {
		return near
	}
	return wide
}

// reader is the node that reads a table for this one; ok is false if this node
// reads it itself.
func (r *readers) reader(t site.Table) (addr netip.AddrPort, ok bool) {
	now := boottime.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.planned().owners[t] {
		if m.Name == r.self.Name {
			return addr, false
		}
		if now.After(r.doubted[m.Peer]) {
			return m.Peer, true
		}
	}
	return addr, false
}

// mayBeAsked says whether other nodes may ask this one: they trust it for a time.
func (r *readers) mayBeAsked() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.planned().shared
}

func tableName(t site.Table) string {
	if t == site.TableUpstreams {
		return "upstreams"
	}
	return "operator"
}

// alive lists the nodes that are well.
func alive(m *control.Members) []control.Member { return m.View().Alive }

// hallMembers lists the nodes of a hall that are well.
func hallMembers(m *control.Members, hall string) []control.Member { return m.View().Hall(hall).Alive }

func inHall(list []control.Member, hall string) (near []control.Member) {
	for _, x := range list {
		if x.DataHall == hall {
			near = append(near, x)
		}
	}
	return near
}

// List reads a whole table, from a reader if there is one.
func (r *readers) List(ctx context.Context, t site.Table) (l site.Listing, err error) {
	return r.read(ctx, r.request(t, changesRequest{Whole: true}), 0)
}

// Changes waits for changes of a table, as Store does.
func (r *readers) Changes(ctx context.Context, t site.Table, after int64, wait time.Duration) (l site.Listing, err error) {
	q := changesRequest{After: after, WaitMS: min(wait, askHold).Milliseconds()}
	return r.read(ctx, r.request(t, q), r.ownHold(t, wait))
}

// ownHold is for how long this node's own call for changes is held: what others hear
// from it must not grow older than they trust, though it may have rested since the last.
func (r *readers) ownHold(t site.Table, wait time.Duration) time.Duration {
	if !r.mayBeAsked() {
		return wait
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(wait, max(leastHold, readerHold-boottime.Since(r.tableAt(t).heard)))
}

// request completes a request with the largest value that this node has.
func (r *readers) request(t site.Table, q changesRequest) changesRequest {
	q.Table = t
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range r.tableAt(t).rows {
		if len(row.Value) >= max(baseLeast, len(q.have)) {
			q.Have, q.have = rowRef{Key: row.Key, Version: row.Version}, row.Value
		}
	}
	return q
}

// read asks the readers in turn, and then the store. Only the first is asked to hold the
// call: what it did not tell is wanted at once.
func (r *readers) read(ctx context.Context, q changesRequest, wait time.Duration) (l site.Listing, err error) {
	for range readersTried {
		addr, ok := r.reader(q.Table)
		if !ok {
			break
		}
		begun := boottime.Now()
		l, err = r.ask(ctx, addr, q)
		if err == nil || errors.Is(err, site.ErrHistoryGone) || ctx.Err() != nil {
			return l, err
		}
		r.doubt(q.Table, addr, begun, err)
		q.WaitMS = 0
	}
	return r.fromStore(ctx, q, func(ctx context.Context) (site.Listing, error) { return r.own(ctx, q, wait) })
}

// own reads the store itself.
func (r *readers) own(ctx context.Context, q changesRequest, wait time.Duration) (l site.Listing, err error) {
	before := boottime.Refresh()
	begun := boottime.Now()
	if r.missing(q.Table) {
		wait = 0
	}
	done := r.beginOwn(q.Table)
	defer done()
	if q.Whole {
		l, err = r.store.List(ctx, q.Table)
	} else {
		l, err = r.store.Changes(ctx, q.Table, q.After, wait)
	}
	if err != nil {
		if !errors.Is(err, site.ErrHistoryGone) {
			r.refused(q.Table)
		}
		return l, err
	}
	// An answer may have come before the machine was suspended: it is not new then.
	r.take(q, l, boottime.Refresh()-before < minSuspension)
	r.logRows(q, l, byStore, begun)
	return l, nil
}

// refused notes that this node's own call has failed, before those that wait for it go on.
func (r *readers) refused(t site.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tableAt(t).refused = boottime.Now()
}

// beginOwn notes that this node's own call to the store is under way; the returned
// function ends that.
func (r *readers) beginOwn(t site.Table) func() {
	asking := make(chan struct{})
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.tableAt(t)
	x.asking, x.askedAt = asking, boottime.Now()
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if x.asking == asking {
			x.asking = nil
		}
		close(asking)
	}
}

// byStore names the store where a log line tells who told something.
const byStore = "store"

// logRows logs what came of the operator's table, which is seldom and may be large.
func (r *readers) logRows(q changesRequest, l site.Listing, by string, begun time.Time) {
	if q.Table != site.TableOperator || len(l.Rows) == 0 {
		return
	}
	size := 0
	for _, row := range l.Rows {
		size += len(row.Value)
	}
	r.log.Info("operator rows received", "version", l.Version, "rows", len(l.Rows),
		"bytes", size, "by", by, "after", boottime.Since(begun))
}

// doubt has a reader that has failed by err done without for a while.
func (r *readers) doubt(t site.Table, addr netip.AddrPort, begun time.Time, err error) {
	r.log.Warn("table read through peer failed", "table", tableName(t), "peer", addr, "after", boottime.Since(begun), "err", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.doubted[addr] = boottime.Now().Add(directTerm)
}

func (r *readers) ask(ctx context.Context, addr netip.AddrPort, q changesRequest) (l site.Listing, err error) {
	defer func() { err = eris.Wrap(err, "ask reader") }()
	begun := boottime.Now()
	var a changesAnswer
	within := time.Duration(q.WaitMS)*time.Millisecond + readerSlack
	if q.WaitMS == 0 {
		within = secondTime // It may have to ask the store first.
	}
	if err := r.client.CallWithin(ctx, within, addr, methodChanges, q, &a); err != nil {
		return l, err
	}
	switch {
	case time.Duration(a.AgeMS)*time.Millisecond > q.oldest():
		return l, errReaderBehind
	case a.Gone:
		return l, site.ErrHistoryGone
	}
	var base []byte
	if a.Rows.Base == q.Have {
		base = q.have
	}
	rows, err := a.Rows.unpack(base)
	if err != nil {
		return l, err
	}
	l = site.Listing{Rows: rows, Version: a.Version}
	r.take(q, l, false)
	r.logRows(q, l, addr.String(), begun)
	return l, nil
}
