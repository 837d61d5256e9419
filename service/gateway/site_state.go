package gateway

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
)

// SiteState is what this node holds for true of the site: the configuration, the
// newest weights, and which upstreams there are. None of it ever goes back to
// something older.
type SiteState struct {
	codec      Codec
	hall       string
	returnTime time.Duration
	cacheIndex *route.CacheIndex
	disabled   config.DisabledMechanisms
	regions    map[string]string // Of data halls.
	cold       config.ColdSettings
	coldShares route.ColdShares
	rateLimits route.RateLimits
	// evacuationTime is for how long a data hall is left gradually that is evacuated.
	evacuationTime time.Duration
	// onRestart is told of each replica that has started anew under its ID, and whether it
	// had said before that it leaves.
	onRestart func(id string, planned bool, now time.Time)
	// onDelisted is told of each replica whose entry went though it had not said that it leaves.
	onDelisted func(id string, now time.Time)
	log        *slog.Logger

	snapshot atomic.Pointer[site.Snapshot]

	mu        sync.Mutex
	weights   map[string]modelWeights
	upstreams map[string]*upstreamEntry
	pools     map[string]*route.Pool
	evacuated map[string]*evacuation // By data hall.
	// draining has the starts of replicas that say in answers that they drain, also where the
	// list has none or no longer, and when that was heard.
	draining map[string]time.Time
	// unusableRows counts rows of the list of upstreams that named none.
	unusableRows int64
	// revision counts the changes of the list of upstreams.
	revision int
	// droppedIDs are replicas of which ended has still to be told.
	droppedIDs []string
	// unreachableAt is when the store's list was last not to be had, heard when it was.
	unreachableAt time.Time
	syncedAt      time.Time
}

// modelWeights is the newest version of a model's weights.
type modelWeights struct {
	version int64
	since   time.Time // When this node heard of it.
	// older are the versions before it, the newest last.
	older []modelWeights
}

// maxOlderVersions is how many older versions are remembered.
const maxOlderVersions = 8

type upstreamEntry struct {
	site.Upstream
	version int64 // Of the row.
	// missingSince is when the store dropped the entry, zero if it has it.
	missingSince time.Time
}

// NewSiteState returns beliefs of which none is held yet.
func NewSiteState(c Codec, hall string, returnTime time.Duration, k *route.CacheIndex, log *slog.Logger) *SiteState {
	return &SiteState{
		codec:      c,
		hall:       hall,
		returnTime: returnTime,
		cacheIndex: k,
		log:        log,
		weights:    map[string]modelWeights{},
		upstreams:  map[string]*upstreamEntry{},
		pools:      map[string]*route.Pool{},
		evacuated:  map[string]*evacuation{},
		draining:   map[string]time.Time{},
		onRestart:  func(string, bool, time.Time) {},
		onDelisted: func(string, time.Time) {},
	}
}

// Snapshot is the configuration in force, nil if none is known yet.
func (st *SiteState) Snapshot() *site.Snapshot { return st.snapshot.Load() }

// ApplyOperator takes in rows of the operator's table; with whole they are all that there
// are.
func (st *SiteState) ApplyOperator(rows []site.Row, whole bool, now time.Time) {
	for _, r := range rows {
		if err := st.applyOperator(r, now); err != nil {
			st.log.Error("configuration not usable, the last one stays", "row", r.Key, "version", r.Version, "err", err)
		}
	}
	if whole {
		st.endRemovedEvacuations(rows, now)
	}
}

func (st *SiteState) applyOperator(r site.Row, now time.Time) error {
	if hall, on, ok := st.codec.Evacuation(r); ok {
		st.setEvacuation(hall, on, r.Version, now)
		return nil
	}
	s, err := st.codec.Configuration(r)
	if err != nil {
		return err
	}
	if s != nil {
		for _, v := range s.Stores() {
			v.Store.Region = st.regions[v.Store.DataHall]
		}
		st.configure(s)
		return nil
	}
	model, version, ok, err := st.codec.Weights(r)
	if err != nil || !ok {
		return err
	}
	st.ApplyWeights(model, version, now)
	return nil
}

// configure puts a configuration in force unless a newer one is.
func (st *SiteState) configure(s *site.Snapshot) {
	for {
		old := st.snapshot.Load()
		if old != nil && old.Version >= s.Version {
			return
		}
		if st.snapshot.CompareAndSwap(old, s) {
			break
		}
	}
	st.cacheIndex.Configure(s.Stores())
	st.applyColdLimits(s)
	st.log.Info("configuration in force", "version", s.Version, "routes", len(s.Routes()))
}

// ApplyWeights takes in that a model has weights of a version.
func (st *SiteState) ApplyWeights(model string, version int64, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	old := st.weights[model]
	if version <= old.version {
		return
	}
	n := modelWeights{version: version, since: now}
	if old.version > 0 {
		n.older = append(slices.Clone(old.older), modelWeights{version: old.version, since: old.since})
		n.older = n.older[max(0, len(n.older)-maxOlderVersions):]
	}
	st.weights[model] = n
	st.log.Info("weights named", "model", model, "version", version)
}

// Weights is the newest version of a model's weights, and since when it is known.
func (st *SiteState) Weights(model string) (version int64, since time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	n := st.weights[model]
	return n.version, n.since
}

// WeightsBefore is the newest version of a model's weights that was known at a
// time, 0 for none.
func (st *SiteState) WeightsBefore(model string, at time.Time) int64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	n := st.weights[model]
	if n.version > 0 && !n.since.After(at) {
		return n.version
	}
	for _, o := range slices.Backward(n.older) {
		if !o.since.After(at) {
			return o.version
		}
	}
	return 0
}

// ReplacedAt is when the first version behind one of a model's weights was named,
// zero if it is the newest.
func (st *SiteState) ReplacedAt(model string, version int64) time.Time {
	st.mu.Lock()
	defer st.mu.Unlock()
	n := st.weights[model]
	if n.version <= version {
		return time.Time{}
	}
	at := n.since
	for _, o := range slices.Backward(n.older) {
		if o.version <= version {
			break
		}
		at = o.since
	}
	return at
}

// NewestWeights lists the newest versions of all models.
func (st *SiteState) NewestWeights() map[string]int64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	list := make(map[string]int64, len(st.weights))
	for model, n := range st.weights {
		list[model] = n.version
	}
	return list
}

// MarkStoreUnreachable records that the list of upstreams can't be had.
func (st *SiteState) MarkStoreUnreachable(now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.unreachableAt = now
}

// MarkStoreSynced records that the list of upstreams is as the store has it.
func (st *SiteState) MarkStoreSynced(now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.syncedAt = now
}

// Ages tells how old the beliefs are: the version of the configuration in force,
// since when the store's list was not heard of, and how long ago it was last not
// to be had, 0 for never.
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

// unreachableGrace is how long after an absence of the store an entry that is dropped
// may be one that lapsed meanwhile.
const unreachableGrace = 4 * time.Second

// ApplyUpstreams takes in rows of the list of upstreams; with whole they are all
// that there are.
func (st *SiteState) ApplyUpstreams(rows []site.Row, whole bool, now time.Time) {
	// What was held before is forgotten without the lock: look-ups of it ask the beliefs
	// with a lock of their own.
	for id, planned := range st.applyUpstreams(rows, whole, now) {
		st.cacheIndex.ResetEngine(id)
		st.onRestart(id, planned, now)
	}
	st.notifyDropped(now)
}

// notifyDropped tells of replicas that were dropped, without the lock.
func (st *SiteState) notifyDropped(now time.Time) {
	st.mu.Lock()
	list := st.droppedIDs
	st.droppedIDs = nil
	st.mu.Unlock()
	for _, id := range list {
		st.onDelisted(id, now)
	}
}

// applyUpstreams lists the replicas that have started anew under their IDs, with whether
// they had said before that they leave.
func (st *SiteState) applyUpstreams(rows []site.Row, whole bool, now time.Time) (restarted map[string]bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	restarted = map[string]bool{}
	seen := map[string]bool{}
	for _, r := range rows {
		seen[r.Key] = true
		planned := st.upstreams[r.Key] != nil && st.upstreams[r.Key].Draining
		if st.applyUpstream(r, now) {
			restarted[r.Key] = planned
		}
	}
	if whole {
		for id := range st.upstreams {
			if !seen[id] {
				st.drop(id, now)
			}
		}
	}
	st.rebuildPools(now)
	return restarted
}

// applyUpstream takes in one row. What is older than what is known is passed over; a row
// that can't be used names no replica, whatever stood there before. It says whether the
// replica has started anew under its ID.
func (st *SiteState) applyUpstream(r site.Row, now time.Time) (restarted bool) {
	old, known := st.upstreams[r.Key]
	if known && r.Version < old.version {
		return false
	}
	if r.Gone {
		st.drop(r.Key, now)
		return false
	}
	u, err := st.codec.Upstream(r)
	if err != nil {
		st.unusableRows++
		delete(st.upstreams, r.Key)
		st.log.Error("upstream row invalid, ignored", "row", r.Key, "version", r.Version, "err", err)
		return false
	}
	if known && u.StartedBefore(&old.Upstream) {
		return false
	}
	return st.recordUpstream(u, r.Version, now)
}

// recordUpstream notes a row that can be used, and says whether it is of a new start. Its cold term
// counts from when the row was written, so a row that is heard again does not begin it anew.
func (st *SiteState) recordUpstream(u site.Upstream, version int64, now time.Time) (restarted bool) {
	old, known := st.upstreams[u.ID]
	restarted = known && old.StartedBefore(&u)
	if known && !restarted && st.reportedDraining(old.StartKey()) {
		st.draining[u.StartKey()] = now // The same start, told with its time or without.
	}
	if !known || restarted || old.Draining != u.Draining {
		st.log.Info("upstream listed", "upstream", u.ID, "service", u.Service, "addr", u.Addr, "draining", u.Draining,
			"started", u.Started, "cold", u.Cold, "restarted", restarted)
	}
	u.Region = st.regions[u.DataHall]
	u.Draining = u.Draining || st.reportedDraining(u.StartKey())
	switch {
	case known && version > 0 && version == old.version:
		u.ColdUntil = old.ColdUntil
	case u.Cold > 0:
		u.ColdUntil = now.Add(u.Cold)
	}
	st.upstreams[u.ID] = &upstreamEntry{Upstream: u, version: version}
	return restarted
}

// drainingRetention is for how long after it said so a start of a replica is remembered as
// draining that isn't listed.
const drainingRetention = 10 * time.Minute

// ApplyDraining takes in that a start of a replica says in answers that it drains, and says
// whether that is news. It holds until the replica ends, whatever the list says: a row may be
// late, or not have been written, and a replica that drains does not go back on it.
func (st *SiteState) ApplyDraining(replica route.ReplicaRef, now time.Time) (first bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	reported := site.Upstream{ID: replica.ID, Started: replica.Started}
	if st.reportedDraining(reported.StartKey()) {
		return false
	}
	listed := map[string]bool{}
	for _, e := range st.upstreams {
		listed[e.StartKey()] = true
	}
	for start, at := range st.draining {
		if !listed[start] && now.Sub(at) >= drainingRetention {
			delete(st.draining, start)
		}
	}
	st.draining[reported.StartKey()] = now
	e, known := st.upstreams[replica.ID]
	if !known || e.StartKey() != reported.StartKey() || e.Draining {
		return false
	}
	e.Draining = true
	st.log.Info("replica reports draining", "upstream", e.ID, "service", e.Service, "list_age", now.Sub(st.syncedAt))
	st.rebuildPools(now)
	return true
}

// reportedDraining says whether a start of a replica has said in an answer that it drains.
func (st *SiteState) reportedDraining(start string) bool {
	_, reported := st.draining[start]
	return reported
}

// drop takes an upstream out, at once unless the store was away: an entry may
// then have run out for want of a heartbeat, and is given time to come back.
func (st *SiteState) drop(id string, now time.Time) {
	e, known := st.upstreams[id]
	if !known || !e.missingSince.IsZero() {
		return
	}
	if now.Sub(st.unreachableAt) < unreachableGrace && !st.unreachableAt.IsZero() && !e.Draining {
		e.missingSince = now
		return
	}
	st.removeUpstream(id, e)
	st.log.Info("upstream dropped", "upstream", id, "service", e.Service)
}

// removeUpstream takes an entry out; the caller holds mu.
func (st *SiteState) removeUpstream(id string, e *upstreamEntry) {
	delete(st.upstreams, id)
	if !e.Draining {
		st.droppedIDs = append(st.droppedIDs, id)
	}
}

// Expire drops upstreams whose entries have not come back; the timer service
// calls it.
func (st *SiteState) Expire(now time.Time) {
	defer st.notifyDropped(now)
	st.mu.Lock()
	defer st.mu.Unlock()
	changed := false
	for id, e := range st.upstreams {
		if !e.missingSince.IsZero() && now.Sub(e.missingSince) >= st.returnTime {
			st.removeUpstream(id, e)
			changed = true
			st.log.Info("upstream dropped", "upstream", id, "service", e.Service, "missing", now.Sub(e.missingSince))
		}
	}
	if changed || st.evacuationRunning(now) {
		st.rebuildPools(now)
	}
}

func (st *SiteState) rebuildPools(now time.Time) {
	st.revision++
	lists := map[string][]site.Upstream{}
	for _, e := range st.upstreams {
		e.Evacuated = st.isEvacuated(&e.Upstream, now)
		lists[e.Service] = append(lists[e.Service], e.Upstream)
	}
	for service := range lists {
		if st.pools[service] == nil {
			st.pools[service] = route.NewPool(st.hall, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
			st.pools[service].SetRateLimits(st.rateLimits)
			st.pools[service].Disable(st.disabled)
			st.applyColdLimit(st.snapshot.Load(), service)
		}
	}
	for service, p := range st.pools {
		p.Configure(lists[service], now)
	}
}

// Pool returns the replicas of a service, nil if it never had any.
func (st *SiteState) Pool(service string) *route.Pool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pools[service]
}

// Pools lists all pools by service.
func (st *SiteState) Pools() map[string]*route.Pool {
	st.mu.Lock()
	defer st.mu.Unlock()
	list := make(map[string]*route.Pool, len(st.pools))
	for service, p := range st.pools {
		list[service] = p
	}
	return list
}

// Revision counts the changes of the list of upstreams so far.
func (st *SiteState) Revision() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.revision
}

// UpstreamCount is how many upstreams are known.
func (st *SiteState) UpstreamCount() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.upstreams)
}
