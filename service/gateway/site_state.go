package gateway

import (
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
)

// SiteState is what this node knows of the site: the configuration, the newest weights and
// the upstreams. None of these ever goes back to an older version.
type SiteState struct {
	codec      Codec
	hall       string
	returnTime time.Duration // After the store's return, in which a missing upstream may return.
	// eras and rewriteTime tell whether a missing row may only not have been written again since
	// the store came back from a copy.
	eras        *history.Eras
	rewriteTime time.Duration
	cacheIndex  *route.CacheIndex
	disabled    config.DisabledMechanisms
	regions     map[string]string // By data hall.
	cold        config.ColdSettings
	coldShares  route.ColdShares
	rateLimits  route.RateLimits
	// requestBytes bounds the bytes of requests in flight at one replica; nil for no bound.
	requestBytes *requestShares
	// evacuationTime is the time over which the replicas of an evacuated data hall are
	// taken out of use.
	evacuationTime time.Duration
	// weightsTerm is the time for which weights may be used after newer ones were named.
	weightsTerm time.Duration
	// onRestart is called for each replica that has restarted under its ID; planned means
	// that it had announced that it was leaving.
	onRestart func(id string, planned bool, now time.Time)
	// onOtherSoftware is called for each replica that is listed with another version of its software than
	// before.
	onOtherSoftware func(id string)
	// onDelisted is called for each replica whose row was removed though it had not
	// announced that it was leaving.
	onDelisted func(id string, now time.Time)
	// onRolloutOrder is called for each order to roll out a version, or its removal; listed is set if it is one of
	// a listing of the whole table.
	onRolloutOrder func(o site.RolloutOrder, listed bool, now time.Time)
	log            *slog.Logger

	snapshot atomic.Pointer[site.Snapshot]
	// weights has the versions of the weights by model. It is replaced with mu held, and read
	// without: picks need it.
	weights atomic.Pointer[map[string]route.WeightHistory]
	// sharing has in which periods organisations share KV cache. It is replaced with mu held, and read without.
	sharing atomic.Pointer[route.SharingHistory]
	// lastShared is the last configuration before the one in force whose period this node knew, nil for none.
	lastShared atomic.Pointer[sharedConfig]

	mu locks.Mutex
	// configuredSince is when this node first knew a configuration, isolation since when organisations are isolated or no longer
	// are, and periodSince since when this node knows the newest period of shared cache.
	configuredSince time.Time
	isolation       map[string]isolationChange
	periodSince     time.Time

	upstreams map[string]*upstreamEntry
	missing   map[string]bool // IDs of upstreams whose rows are gone and may return.
	pools     map[string]*route.Pool
	evacuated map[string]*evacuation // By data hall.
	// draining holds, by start key, the replicas that have said in their rows or in a response
	// that they drain. The upstream list may say otherwise, or no longer have the replica.
	draining map[string]drainReport
	// left holds, by start key, the replicas whose rows are gone, and unconfirmed the rows of such replicas
	// that a copy of the store lists again.
	left        map[string]leftReplica
	unconfirmed map[string]site.Row
	// unusableRows counts rows of the upstream list that could not be decoded.
	unusableRows int64
	// revision counts the changes of the upstream list.
	revision int
	// droppedIDs are the replicas for which onDelisted has yet to be called, upgradedIDs those for which
	// onOtherSoftware has.
	droppedIDs  []string
	upgradedIDs []string
	// unreachableAt is when the platform's upstream list last could not be read, syncedAt
	// when it was last read, reachableAt when it was first read again after a failure, and contactSince since when it has
	// been read without an interruption.
	unreachableAt time.Time
	syncedAt      time.Time
	reachableAt   time.Time
	contactSince  time.Time
	// operatorReadAt is as of when the operator's table was last known, zero before it was.
	operatorReadAt time.Time
	// operatorFailedAt is when it last could not be read, zero if the last call was answered. operatorUnreachableAt
	// is the same while no call was answered in between: one failure may only be of a connection that had ended while the
	// process was stopped.
	operatorFailedAt      time.Time
	operatorUnreachableAt time.Time
}

// upstreamEntry is an upstream and the state of its row.
type upstreamEntry struct {
	site.Upstream
	position history.Position // Of the row.
	// missingSince is when the platform's store removed the row, zero while it has it.
	missingSince time.Time
}

// drainReport is a replica's statement that it drains.
type drainReport struct {
	replica route.ReplicaRef
	at      time.Time
}

// NewSiteState returns an empty site state.
func NewSiteState(codec Codec, hall string, returnTime time.Duration, cacheIndex *route.CacheIndex, log *slog.Logger) *SiteState {
	return &SiteState{
		codec:      codec,
		hall:       hall,
		returnTime: returnTime,
		eras:       &history.Eras{},
		cacheIndex: cacheIndex,
		log:        log,
		upstreams:  map[string]*upstreamEntry{},
		missing:    map[string]bool{},
		pools:      map[string]*route.Pool{},
		evacuated:  map[string]*evacuation{},
		draining:   map[string]drainReport{},
		left:       map[string]leftReplica{},
		isolation:  map[string]isolationChange{},

		unconfirmed: map[string]site.Row{},
		onRestart:   func(string, bool, time.Time) {},
		onDelisted:  func(string, time.Time) {},

		onOtherSoftware: func(string) {},

		onRolloutOrder: func(site.RolloutOrder, bool, time.Time) {},
	}
}

// Snapshot returns the configuration in force, nil if none is known yet.
func (st *SiteState) Snapshot() *site.Snapshot { return st.snapshot.Load() }

// limits returns the limits in force for clients' requests.
func (st *SiteState) limits() site.Limits {
	if s := st.Snapshot(); s != nil {
		return s.Limits
	}
	return site.DefaultLimits()
}

// ApplyOperator applies rows of the operator's table; whole means that rows is the complete
// table.
func (st *SiteState) ApplyOperator(rows []site.Row, whole bool, now time.Time) {
	for _, r := range rows {
		if err := st.applyOperator(r, whole, now); err != nil {
			st.log.Error("configuration not usable, the last one stays", "row", r.Key, "position", r.Position, "err", err)
		}
	}
	if whole {
		st.endRemovedEvacuations(rows, now)
	}
}

func (st *SiteState) applyOperator(r site.Row, listed bool, now time.Time) error {
	if hall, on, ok := st.codec.Evacuation(r); ok {
		st.setEvacuation(hall, on, r.Position, now)
		return nil
	}
	if o, ok, err := st.codec.RolloutOrder(r); ok || err != nil {
		if ok {
			st.onRolloutOrder(o, listed, now)
		}
		return err
	}
	s, err := st.codec.Configuration(r)
	if err != nil {
		return err
	}
	if s != nil {
		for _, v := range s.Stores() {
			v.Store.Region = st.regions[v.Store.DataHall]
		}
		st.configure(s, now)
		return nil
	}
	model, version, ok, err := st.codec.Weights(r)
	if err != nil || !ok {
		return err
	}
	st.hearWeights(model, version, listed, now)
	return nil
}

// configure puts a configuration in force unless that one or a newer one already is.
func (st *SiteState) configure(next *site.Snapshot, now time.Time) {
	for {
		old := st.snapshot.Load()
		if old != nil && old.Version >= next.Version {
			return
		}
		if old != nil {
			st.keepPeriod(old)
		}
		if st.snapshot.CompareAndSwap(old, next) {
			break
		}
	}
	st.recordIsolation(next, now)
	st.cacheIndex.Configure(next.Stores())
	st.applyColdLimits(next)
	st.log.Info("configuration in force", "version", next.Version, "routes", len(next.Routes()))
}

// MarkStoreUnreachable records that the upstream list can't be read.
func (st *SiteState) MarkStoreUnreachable(now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.unreachableAt = now
}

// MarkStoreSynced records that the upstream list is as the platform's store has it, and reports whether it could not be read
// before.
func (st *SiteState) MarkStoreSynced(now time.Time) (returned bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	returned = st.unreachable()
	if returned {
		st.reachableAt = now
	}
	if returned || st.contactSince.IsZero() || now.Sub(st.syncedAt) > maxListGap {
		st.contactSince = now
	}
	st.syncedAt = now
	return returned
}

// unreachable reports whether the upstream list could not be read when it was last tried. The caller holds mu.
func (st *SiteState) unreachable() bool { return st.unreachableAt.After(st.syncedAt) }

// mayReturn reports whether upstreams whose rows are gone may still write them again: the rows may have expired
// while the store was away, or be lost with its last era. The time runs from the store's return, so an
// upstream that leaves later on is not used any longer. The caller holds mu.
func (st *SiteState) mayReturn(now time.Time) bool {
	returned := !st.reachableAt.IsZero() && now.Sub(st.reachableAt) < st.returnTime
	return st.unreachable() || returned || !st.eras.IsSettled(now, st.returnTime)
}

// Ages returns the version of the configuration in force, the time since the upstream list
// was last read, and the time since it last could not be read, 0 for never.
func (st *SiteState) Ages(now time.Time) (config int64, sinceSync, sinceUnreachable time.Duration) {
	if s := st.snapshot.Load(); s != nil {
		config = s.Version
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	sinceSync = now.Sub(st.syncedAt)
	if !st.unreachableAt.IsZero() {
		sinceUnreachable = now.Sub(st.unreachableAt)
	}
	return config, sinceSync, sinceUnreachable
}

// ApplyUpstreams applies rows of the upstream list; whole means that rows is the complete
// list.
func (st *SiteState) ApplyUpstreams(rows []site.Row, whole bool, now time.Time) {
	// Without mu: of this lock and the index's, neither is taken with the other held.
	for id, planned := range st.applyUpstreams(rows, whole, now) {
		st.cacheIndex.ResetEngine(id)
		st.onRestart(id, planned, now)
	}
	st.notifyListed(now)
}

// notifyListed calls onDelisted and onOtherSoftware for the replicas concerned, without holding mu.
func (st *SiteState) notifyListed(now time.Time) {
	st.mu.Lock()
	list, upgraded := st.droppedIDs, st.upgradedIDs
	st.droppedIDs, st.upgradedIDs = nil, nil
	st.mu.Unlock()
	for _, id := range upgraded {
		st.onOtherSoftware(id)
	}
	for _, id := range list {
		st.onDelisted(id, now)
	}
}

// applyUpstreams returns the replicas that have restarted under their IDs, each with
// whether it had announced that it was leaving.
func (st *SiteState) applyUpstreams(rows []site.Row, whole bool, now time.Time) (restarted map[string]bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	restarted = map[string]bool{}
	seen := map[string]bool{}
	first := len(st.upstreams) == 0
	if whole {
		clear(st.unconfirmed)
	}
	for _, r := range rows {
		seen[r.Key] = true
		planned := st.upstreams[r.Key] != nil && st.upstreams[r.Key].Draining
		if whole && st.holdBack(r, now) {
			continue
		}
		delete(st.unconfirmed, r.Key)
		if st.applyUpstream(r, first, now) {
			restarted[r.Key] = planned
		}
	}
	if first && len(rows) > 0 {
		st.log.Info("upstream list received", "rows", len(rows), "upstreams", len(st.upstreams))
	}
	if whole {
		for id := range st.upstreams {
			if !seen[id] {
				st.drop(id, now)
			}
		}
	}
	return restarted
}

// applyUpstream applies one row and reports whether the replica has restarted under its
// ID. Rows older than the known one are ignored; a row that can't be decoded removes the
// replica it replaces. The rows of the first list are not logged one by one, as there may be
// thousands.
func (st *SiteState) applyUpstream(r site.Row, first bool, now time.Time) (restarted bool) {
	old, known := st.upstreams[r.Key]
	if known && r.Position.Before(old.position) {
		return false
	}
	if r.Gone {
		st.drop(r.Key, now)
		return false
	}
	u, err := st.codec.Upstream(r)
	if err != nil {
		st.unusableRows++
		if known {
			st.deleteUpstream(r.Key, old)
		}
		st.log.Error("upstream row invalid, ignored", "row", r.Key, "position", r.Position, "err", err)
		return false
	}
	if known && u.StartedBefore(&old.Upstream) {
		return false
	}
	restarted = st.recordUpstream(u, r.Position, now)
	if !first && (!known || restarted || old.Draining != u.Draining) {
		st.log.Info("upstream listed", "upstream", u.ID, "service", u.Service, "addr", u.Addr, "draining", u.Draining,
			"started", u.Started, "cold", u.Cold, "restarted", restarted)
	}
	return restarted
}

// recordUpstream records a decoded row and reports whether it is of a new start. The time
// for which the replica counts as cold begins when its row is first seen; the same row
// seen again does not extend it.
func (st *SiteState) recordUpstream(u site.Upstream, at history.Position, now time.Time) (restarted bool) {
	old, known := st.upstreams[u.ID]
	restarted = known && old.StartedBefore(&u)
	if known && !restarted && st.reportedDraining(old.StartKey()) {
		// The same start, with or without its time in the row.
		st.recordDrain(&u, now)
	}
	if u.Draining {
		st.recordDrain(&u, now)
	}
	u.Region = st.regions[u.DataHall]
	u.Draining = u.Draining || st.reportedDraining(u.StartKey())
	if u.Cold > 0 {
		u.ColdUntil = now.Add(u.Cold)
	}
	switch {
	case !known || restarted || at.Version == 0:
	case at == old.position, at.MayPrecede(old.position) && old.ColdUntil.Before(u.ColdUntil):
		u.ColdUntil = old.ColdUntil
	}
	if known && old.Software != u.Software {
		st.upgradedIDs = append(st.upgradedIDs, u.ID)
	}
	if known && old.Service != u.Service {
		st.deleteUpstream(u.ID, old)
	}
	e := &upstreamEntry{Upstream: u, position: at}
	st.upstreams[u.ID] = e
	delete(st.missing, u.ID)
	delete(st.left, u.StartKey())
	st.updatePool(e, now)
	return restarted
}

// drainingRetention is how long a report of draining is kept for a start of a replica that
// isn't in the upstream list.
const drainingRetention = 10 * time.Minute

// ApplyDraining records that a replica reported in a response that it drains, and reports
// whether a listed replica was not known to drain. It holds until this start of the
// replica ends, whatever the upstream list says: a row may be late or missing, and a
// draining replica does not become ready again.
func (st *SiteState) ApplyDraining(replica route.ReplicaRef, now time.Time) (first bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	reported := site.Upstream{ID: replica.ID, Started: replica.Started}
	if st.reportedDraining(reported.StartKey()) {
		return false
	}
	st.recordDrain(&reported, now)
	e, known := st.upstreams[replica.ID]
	if !known || e.StartKey() != reported.StartKey() || e.Draining {
		return false
	}
	e.Draining = true
	st.log.Info("replica reports draining", "upstream", e.ID, "service", e.Service, "list_age", now.Sub(st.syncedAt))
	st.updatePool(e, now)
	return true
}

// recordDrain records that this start of a replica drains, and forgets the starts that have not been
// listed for long. The caller holds mu.
func (st *SiteState) recordDrain(u *site.Upstream, now time.Time) {
	for start, report := range st.draining {
		if !st.lists(report.replica.ID, start) && now.Sub(report.at) >= drainingRetention {
			delete(st.draining, start)
		}
	}
	st.draining[u.StartKey()] = drainReport{replica: route.RefOf(u), at: now}
}

// DrainingReplicas lists the starts of replicas that have said that they drain, also those that were listed until
// lately.
func (st *SiteState) DrainingReplicas(now time.Time) (list []route.ReplicaRef) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for start, report := range st.draining {
		if st.lists(report.replica.ID, start) || now.Sub(report.at) < leftRetention {
			list = append(list, report.replica)
		}
	}
	return list
}

// lists reports whether a start of a replica is listed. The caller holds mu.
func (st *SiteState) lists(id, start string) bool {
	e, ok := st.upstreams[id]
	return ok && e.StartKey() == start
}

// LeftReplicas lists the replicas whose rows have gone lately.
func (st *SiteState) LeftReplicas(now time.Time) (list []leftReplica) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, l := range st.left {
		if now.Sub(l.at) < leftRetention {
			list = append(list, l)
		}
	}
	return list
}

// reportedDraining reports whether this start of a replica has said that it drains.
func (st *SiteState) reportedDraining(start string) bool {
	_, reported := st.draining[start]
	return reported
}

// drop removes an upstream whose row is gone, unless it may return.
func (st *SiteState) drop(id string, now time.Time) {
	e, known := st.upstreams[id]
	if !known || !e.missingSince.IsZero() {
		return
	}
	if st.mayReturn(now) && !e.Draining {
		e.missingSince = now
		st.missing[id] = true
		return
	}
	st.removeUpstream(id, e, now)
	st.log.Info("upstream dropped", "upstream", id, "service", e.Service)
}

// removeUpstream removes an entry. The caller holds mu.
func (st *SiteState) removeUpstream(id string, e *upstreamEntry, now time.Time) {
	st.deleteUpstream(id, e)
	if e.Draining {
		return
	}
	st.recordLeft(&e.Upstream, e.position, now)
	st.droppedIDs = append(st.droppedIDs, id)
	if p := st.pools[e.Service]; p != nil {
		p.RecordLoss(id, now)
	}
}

// leftReplica is a replica whose row is gone.
type leftReplica struct {
	replica  route.ReplicaRef
	position history.Position // Of its last row.
	at       time.Time
}

// leftRetention is how long it is known that a replica's row is gone: longer than a copy of the store is old.
const leftRetention = time.Minute

// recordLeft records that a replica's row is gone. The caller holds mu.
func (st *SiteState) recordLeft(u *site.Upstream, last history.Position, now time.Time) {
	for start, l := range st.left {
		if now.Sub(l.at) >= leftRetention {
			delete(st.left, start)
		}
	}
	st.left[u.StartKey()] = leftReplica{replica: route.RefOf(u), position: last, at: now}
}

// AssumeLeft records that another node knows a replica's row to be gone. The store's copy may list it.
func (st *SiteState) AssumeLeft(replica route.ReplicaRef, last history.Position, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if _, listed := st.upstreams[replica.ID]; !listed {
		st.recordLeft(&site.Upstream{ID: replica.ID, Started: replica.Started}, last, now)
	}
}

// holdBack reports whether a row of a listing is not used yet: its replica had left the list, and the store may only
// have come back from a copy that still has it. A replica that lives writes the row again, or it stays until
// the era is settled. The caller holds mu.
func (st *SiteState) holdBack(r site.Row, now time.Time) bool {
	if _, known := st.upstreams[r.Key]; known || len(st.left) == 0 || st.eras.IsSettled(now, st.rewriteTime) {
		return false
	}
	u, err := st.codec.Upstream(r)
	if err != nil {
		return false
	}
	l, left := st.left[u.StartKey()]
	if !left || !r.Position.MayPrecede(l.position) {
		return false
	}
	st.unconfirmed[r.Key] = r
	st.log.Info("upstream listed again, not used yet", "upstream", u.ID, "service", u.Service, "position", r.Position, "left", now.Sub(l.at))
	return true
}

// applyUnconfirmed uses the rows that were held back and are still there. The caller holds mu.
func (st *SiteState) applyUnconfirmed(now time.Time) {
	if len(st.unconfirmed) == 0 || !st.eras.IsSettled(now, st.rewriteTime) {
		return
	}
	for _, r := range st.unconfirmed {
		st.applyUpstream(r, false, now)
	}
	clear(st.unconfirmed)
}

// Expire removes upstreams whose rows have not returned in time; the timer service calls
// it.
func (st *SiteState) Expire(now time.Time) {
	defer st.notifyListed(now)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.applyUnconfirmed(now)
	if len(st.missing) > 0 && !st.mayReturn(now) {
		for id := range st.missing {
			e := st.upstreams[id]
			st.removeUpstream(id, e, now)
			st.log.Info("upstream dropped", "upstream", id, "service", e.Service, "missing", now.Sub(e.missingSince))
		}
	}
	if st.endUnconfirmedEvacuations(now) || st.evacuationRunning(now) {
		st.updateAllPools(now)
	}
}

// deleteUpstream deletes an entry and its replica. The caller holds mu.
func (st *SiteState) deleteUpstream(id string, e *upstreamEntry) {
	delete(st.upstreams, id)
	delete(st.missing, id)
	st.revision++
	if p := st.pools[e.Service]; p != nil {
		p.Remove(id)
	}
}

// updatePool updates one replica in the pool of its service. The caller holds mu.
func (st *SiteState) updatePool(e *upstreamEntry, now time.Time) {
	st.revision++
	e.Evacuated = st.isEvacuated(&e.Upstream, now)
	p := st.pools[e.Service]
	if p == nil {
		p = route.NewPool(st.hall, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		p.SetRateLimits(st.rateLimits)
		if st.coldShares != nil {
			p.SetSlotShares(st.coldShares)
		}
		if st.requestBytes != nil {
			p.SetRequestBytes(st.requestBytes)
		}
		p.Disable(st.disabled)
		p.SetService(e.Service)
		st.pools[e.Service] = p
		st.applyColdLimit(st.snapshot.Load(), e.Service)
	}
	p.Put(e.Upstream, now)
}

// updateAllPools updates all replicas, as after an operator's change of a data hall. The
// caller holds mu.
func (st *SiteState) updateAllPools(now time.Time) {
	for _, e := range st.upstreams {
		st.updatePool(e, now)
	}
}

// Pool returns the replicas of a service, nil if it never had any.
func (st *SiteState) Pool(service string) *route.Pool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pools[service]
}

// Pools returns all pools by service.
func (st *SiteState) Pools() map[string]*route.Pool {
	st.mu.Lock()
	defer st.mu.Unlock()
	list := make(map[string]*route.Pool, len(st.pools))
	for service, p := range st.pools {
		list[service] = p
	}
	return list
}

// Revision returns the number of changes of the upstream list so far.
func (st *SiteState) Revision() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.revision
}

// UpstreamCount returns the number of known upstreams.
func (st *SiteState) UpstreamCount() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.upstreams)
}
