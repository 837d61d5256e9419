package origins

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/origin"
	"github.com/drumpath/drumpath/pkg/site"
)

const (
	// MethodVersions asks another node for the lists of versions.
	MethodVersions = "origins.versions"
	// NoteVersions carries a list that its sender has written.
	NoteVersions = "origins.versions_changed"

	registerDuty = "software/"
	// rankDelay times its rank is how long a node waits until it writes a list that is not right, so that
	// only a few nodes write. Nodes of a rank above maxRank wait as long as that one, and for a random
	// time that keeps the calls of a large fleet apart.
	rankDelay          = 300 * time.Millisecond
	maxRank            = 4
	rankSpreadPerNode  = 2 * time.Millisecond
	retireAfter        = time.Minute // Without replicas until a version is retired.
	storeReadTimeout   = 400 * time.Millisecond
	peerReadTimeout    = storeReadTimeout + 100*time.Millisecond
	maxPeersAsked      = 2
	noteResendDelay    = 120 * time.Millisecond
	registerRetryDelay = 500 * time.Millisecond
	// reloadInterval is how often the lists are read also if nothing seems to have changed.
	reloadInterval = origin.Retention / 4
	// versionsTimeout bounds a read for a client that takes a stream up.
	versionsTimeout = 700 * time.Millisecond
	// awaitTimeout is how long a request waits for a version to be listed. After maxFailures in a row to
	// list one it does not wait: a single call may have been slow.
	awaitTimeout = 800 * time.Millisecond
	maxFailures  = 2
)

// register is this node's copy of the lists of versions.
type register struct {
	rows map[string]versionRow // By service; those of the current era of the store.
	era  history.Era
	// before has, by service, the versions known in earlier eras that the lists of this one may lack.
	before map[string]origin.Versions
	// complete is set if this node knew complete lists in an earlier era.
	complete bool
	loaded   bool
	loadAt   time.Time // When to load them again.
	// readAt is when they were last read from the store, whose clock then showed storeNow.
	readAt   time.Time
	storeNow time.Duration
	changed  chan struct{} // Closed at the next change.
	// lastUsed is when a version last had a replica, dueAt when to correct a list.
	lastUsed map[serviceVersion]time.Time
	dueAt    map[string]time.Time
	// failures counts the corrections of this node that have failed since the last one that did not.
	failures int
}

type serviceVersion struct{ service, software string }

// versionRow is the list of a service's versions.
type versionRow struct {
	origin.List
	// Position is that of the row, with version 0 if there is none.
	Position history.Position `json:"position"`
}

// versionsNote is the content of NoteVersions. Relay asks the receiver to forward it in its hall.
type versionsNote struct {
	Rows  map[string]versionRow `json:"rows"`
	Relay bool                  `json:"relay,omitempty"`
}

// versionsRequest holds the parameters of MethodVersions. Fresh asks for lists that are read from the store
// after the call was received.
type versionsRequest struct {
	Fresh bool `json:"fresh"`
}

type versionsAnswer struct {
	Era  history.Era           `json:"era"` // Of the rows.
	Rows map[string]versionRow `json:"rows"`
	// StoreNowMS is the store's clock, as far as the node knows it.
	StoreNowMS int64 `json:"store_now_ms"`
}

var errNotLoaded = errors.New("the lists of versions are not known")

// MayBegin reports whether streams of a service may begin at a version.
func (o *Origins) MayBegin(service, software string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.register.versions(service).Admits(software)
}

// AwaitVersion waits until streams of a service may begin at one of some versions, and reports whether they
// may. It does not wait while the store, which has to list the version, is silent or takes no writes.
func (o *Origins) AwaitVersion(ctx context.Context, service string, software []string) bool {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	for {
		o.mu.Lock()
		versions, changed, failures := o.register.versions(service), o.register.changed, o.register.failures
		o.mu.Unlock()
		if slices.ContainsFunc(software, versions.Admits) {
			return true
		}
		if failures >= maxFailures || o.fleet.StoreSilent(boottime.Now()) {
			return false
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// HandleSuspension has the lists read again, before streams begin by them, if the machine was suspended
// for so long that versions may have been removed from them.
func (o *Origins) HandleSuspension(suspended time.Duration) {
	if suspended < origin.Retention/2 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.register.rows, o.register.loaded = map[string]versionRow{}, false
	o.register.before, o.register.complete = map[string]origin.Versions{}, false
	o.register.loadAt = time.Time{}
}

// severalVersions reports whether a service is known to have several versions.
func (o *Origins) severalVersions(service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.register.versions(service)) > 1
}

// versionsConfirmed reports whether a service's list is known to be complete.
func (o *Origins) versionsConfirmed(service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.register.confirmed(service)
}

// stepRegister loads the lists, and corrects those that are not right.
func (o *Origins) stepRegister(ctx context.Context, now time.Time) {
	o.mu.Lock()
	loaded, due := o.register.loaded, !now.Before(o.register.loadAt)
	o.mu.Unlock()
	if due {
		o.load(ctx)
	}
	if !loaded {
		return
	}
	for _, service := range o.fleet.Services() {
		if o.correctionDue(service, now) {
			o.correct(ctx, service)
		}
	}
}

// load reads the lists, from other nodes if the store does not answer.
func (o *Origins) load(ctx context.Context) {
	err := o.readStore(ctx)
	if err != nil {
		err = o.readPeer(ctx, false)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	wait := reloadInterval + rand.N(reloadInterval)
	if err != nil {
		wait = registerRetryDelay
	}
	o.register.loadAt = boottime.Now().Add(wait)
}

// correctionDue reports whether a service's list is not right and this node's turn to correct it has come.
func (o *Origins) correctionDue(service string, now time.Time) bool {
	inUse := o.fleet.Software(service)
	view := o.members.View()
	o.mu.Lock()
	defer o.mu.Unlock()
	r := &o.register
	for _, software := range inUse {
		r.lastUsed[serviceVersion{service, software}] = now
	}
	if len(inUse) == 0 {
		return false // Nothing is known of the replicas.
	}
	row := r.rows[service]
	if _, changed := row.Next(o.knowledge(service, inUse, now, r.storeTime(now))); !changed {
		delete(r.dueAt, service)
		return false
	}
	dueAt, known := r.dueAt[service]
	if !known {
		rank := control.Rank(view.Alive(), registerDuty+service, o.self.Name)
		dueAt = now.Add(time.Duration(min(rank, maxRank)) * rankDelay)
		if rank > maxRank {
			dueAt = dueAt.Add(rand.N(max(1, time.Duration(view.Counts().Alive)*rankSpreadPerNode)))
		}
		r.dueAt[service] = dueAt
	}
	return !now.Before(dueAt)
}

// unused returns a function that reports whether a version has had no replica for long; the caller holds
// mu, also while it calls that.
func (o *Origins) unused(service string, now time.Time) func(software string) bool {
	return func(software string) bool {
		v := serviceVersion{service, software}
		last, known := o.register.lastUsed[v]
		if !known {
			o.register.lastUsed[v] = now // This node has known the list for a shorter time.
		}
		return known && now.Sub(last) >= retireAfter
	}
}

// correct writes a service's list as it should be. That another node has written it meanwhile is as good.
func (o *Origins) correct(ctx context.Context, service string) {
	l, err := o.listStore(ctx)
	if err == nil {
		err = o.writeRow(ctx, service, l)
	}
	if errors.Is(err, site.ErrConflict) || errors.Is(err, site.ErrEraEnded) {
		err = o.readStore(ctx)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.register.dueAt, service)
	if err == nil {
		o.register.failures = 0
	} else {
		o.register.failures++
		o.register.dueAt[service] = boottime.Now().Add(registerRetryDelay)
		o.log.Warn("versions of service not written", "service", service, "err", err)
	}
}

// writeRow writes a service's list after its table was read.
func (o *Origins) writeRow(ctx context.Context, service string, l site.Listing) (err error) {
	defer func() { err = eris.Wrap(err, "write versions") }()
	now, inUse := boottime.Now(), o.fleet.Software(service)
	o.mu.Lock()
	row := o.register.rows[service]
	next, changed := row.Next(o.knowledge(service, inUse, now, l.Now))
	o.mu.Unlock()
	if !changed {
		return nil
	}
	value, err := next.Encode()
	if err != nil {
		return err
	}
	o.counts.storeWrites.Add(1)
	stored, _ := l.Find(service)
	written, err := o.store.Put(ctx, site.TableSoftware, service, value, stored.Position)
	if err != nil {
		return err
	}
	o.log.Info("versions of service listed", "service", service, "versions", next.Versions, "position", written.Position)
	rows := map[string]versionRow{service: {List: next, Position: written.Position}}
	o.apply(written.Position.Era, rows, false)
	o.broadcast(0, NoteVersions, func(relay bool) any { return versionsNote{Rows: rows, Relay: relay} })
	time.AfterFunc(noteResendDelay, func() {
		o.broadcast(1, NoteVersions, func(relay bool) any { return versionsNote{Rows: rows, Relay: relay} })
	})
	return nil
}

// apply takes in rows of an era; whole means that they are all. Older rows than the known ones are ignored.
func (o *Origins) apply(era history.Era, rows map[string]versionRow, whole bool) {
	if era > 0 {
		o.store.Eras().Observe(era, boottime.RefreshNow())
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	r := &o.register
	r.beginEra(era)
	if era < r.era {
		return
	}
	for service, row := range rows {
		if !row.Position.Before(r.rows[service].Position) {
			r.rows[service] = row
		}
		if r.confirmed(service) {
			delete(r.before, service)
		}
	}
	r.loaded = r.loaded || whole
	close(r.changed)
	r.changed = make(chan struct{})
}

// HandleVersions handles NoteVersions.
func (o *Origins) HandleVersions(note versionsNote) {
	if note.Relay {
		o.notifier.SendNote(o.notifier.HallPeers(), NoteVersions, versionsNote{Rows: note.Rows})
	}
	for service, row := range note.Rows {
		o.apply(row.Position.Era, map[string]versionRow{service: row}, false)
	}
}

// ServeVersions handles MethodVersions.
func (o *Origins) ServeVersions(ctx context.Context, in versionsRequest) (out versionsAnswer, err error) {
	if in.Fresh {
		if err := o.readBatched(ctx); err != nil {
			return out, err
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.register.loaded {
		return out, errNotLoaded
	}
	out.Era, out.Rows = o.register.era, map[string]versionRow{}
	out.StoreNowMS = o.register.storeTime(boottime.Now()).Milliseconds()
	for service, row := range o.register.rows {
		out.Rows[service] = row
	}
	return out, nil
}

// versionsNow returns a service's versions as the store has them after the call began, and whether they are known to
// be all; ok is false if they can't be read.
func (o *Origins) versionsNow(ctx context.Context, service string) (v origin.Versions, complete, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, versionsTimeout)
	defer cancel()
	if err := o.readBatched(ctx); err != nil {
		if peerErr := o.readPeer(ctx, true); peerErr != nil {
			o.log.Warn("versions of service not read", "service", service, "err", err, "peer_err", peerErr)
			return nil, false, false
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.register.versions(service), o.register.isComplete(service, boottime.Now()), true
}

// readPeer reads the lists through another node.
func (o *Origins) readPeer(ctx context.Context, fresh bool) (err error) {
	err = errNotLoaded
	peers := slices.Clone(o.members.View().Alive())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	asked := 0
	for _, m := range peers {
		if m.Name == o.self.Name {
			continue
		}
		if asked++; asked > maxPeersAsked || ctx.Err() != nil {
			break
		}
		var out versionsAnswer
		if err = o.client.CallWithin(ctx, peerReadTimeout, m.Peer, MethodVersions, versionsRequest{Fresh: fresh}, &out); err == nil {
			o.apply(out.Era, out.Rows, true)
			o.recordStoreTime(out.Era, time.Duration(out.StoreNowMS)*time.Millisecond)
			return nil
		}
	}
	return eris.Wrap(err, "read versions through another node")
}

// readBatch collects the callers that wait for the next read of the store.
type readBatch struct {
	waiting []chan error
	running bool
}

// readBatched reads the lists from the store. The read begins after the call; callers that come while one
// is under way share the next one.
func (o *Origins) readBatched(ctx context.Context) error {
	done := make(chan error, 1)
	o.mu.Lock()
	o.reads.waiting = append(o.reads.waiting, done)
	if !o.reads.running {
		o.reads.running = true
		o.wg.Go(o.runReads)
	}
	o.mu.Unlock()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (o *Origins) runReads() {
	for {
		o.mu.Lock()
		waiting := o.reads.waiting
		o.reads.waiting = nil
		if len(waiting) == 0 {
			o.reads.running = false
			o.mu.Unlock()
			return
		}
		o.mu.Unlock()
		err := o.readStore(o.ctx)
		for _, done := range waiting {
			done <- err
		}
	}
}

// readStore reads the lists from the store once.
func (o *Origins) readStore(ctx context.Context) error {
	_, err := o.listStore(ctx)
	return err
}

var errStoreSilent = errors.New("the store has not answered lately")

func (o *Origins) listStore(ctx context.Context) (l site.Listing, err error) {
	defer func() { err = eris.Wrap(err, "read versions") }()
	if !o.breaker.Allow(boottime.Now()) {
		return l, errStoreSilent
	}
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	suspended := boottime.Refresh()
	o.counts.storeReads.Add(1)
	l, err = o.store.List(ctx, site.TableSoftware)
	o.breaker.Done(err, boottime.Now())
	if err != nil {
		return l, err
	}
	if boottime.Refresh() != suspended {
		return l, eris.New("the machine was suspended meanwhile")
	}
	rows := map[string]versionRow{}
	for _, r := range l.Rows {
		list, err := origin.DecodeList(r.Value)
		if err != nil {
			return l, err
		}
		rows[r.Key] = versionRow{List: list, Position: r.Position}
	}
	o.apply(l.Position.Era, rows, true)
	o.recordStoreTime(l.Position.Era, l.Now)
	return l, nil
}

// recordStoreTime records the store's clock.
func (o *Origins) recordStoreTime(era history.Era, storeNow time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if era == o.register.era {
		o.register.readAt, o.register.storeNow = boottime.Now(), storeNow
	}
}
