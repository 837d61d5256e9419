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
	kept       *route.CacheIndex
	without    config.DisabledMechanisms
	regions    map[string]string // Of data halls.
	cold       config.ColdSettings
	shares     route.ColdShares
	rates      route.RateLimits
	// leaveTime is for how long a data hall is left gradually that is evacuated.
	leaveTime time.Duration
	// restarted is told of each replica that has started anew under its ID, and whether it
	// had said before that it leaves.
	restarted func(id string, planned bool, now time.Time)
	// ended is told of each replica whose entry went though it had not said that it leaves.
	ended func(id string, now time.Time)
	log   *slog.Logger

	snapshot atomic.Pointer[site.Snapshot]

	mu        sync.Mutex
	weights   map[string]newest
	upstreams map[string]*upstreamEntry
	pools     map[string]*route.Pool
	evacuated map[string]*evacuation // By data hall.
	// draining has the starts of replicas that say in answers that they drain, also where the
	// list has none or no longer, and when that was heard.
	draining map[string]time.Time
	// unusable counts rows of the list of upstreams that named none.
	unusable int64
	// rebuilt counts the changes of the list of upstreams.
	rebuilt int
	// dropped are replicas of which ended has still to be told.
	dropped []string
	// away is when the store's list was last not to be had, heard when it was.
	away  time.Time
	heard time.Time
}

// newest is the newest version of a model's weights.
type newest struct {
	version int64
	since   time.Time // When this node heard of it.
	// older are the versions before it, the newest last.
	older []newest
}

// mostOlder is how many older versions are remembered.
const mostOlder = 8

type upstreamEntry struct {
	site.Upstream
	version int64 // Of the row.
	// gone is when the store dropped the entry, zero if it has it.
	gone time.Time
}

// NewSiteState returns beliefs of which none is held yet.
func NewSiteState(c Codec, hall string, returnTime time.Duration, k *route.CacheIndex, log *slog.Logger) *SiteState {
	return &SiteState{
		codec:      c,
		hall:       hall,
		returnTime: returnTime,
		kept:       k,
		log:        log,
		weights:    map[string]newest{},
		upstreams:  map[string]*upstreamEntry{},
		pools:      map[string]*route.Pool{},
		evacuated:  map[string]*evacuation{},
		draining:   map[string]time.Time{},
		restarted:  func(string, bool, time.Time) {},
		ended:      func(string, time.Time) {},
	}
}

// Snapshot is the configuration in force, nil if none is known yet.
func (b *SiteState) Snapshot() *site.Snapshot { return b.snapshot.Load() }

// ApplyOperator takes in rows of the operator's table; with whole they are all that there
// are.
func (b *SiteState) ApplyOperator(rows []site.Row, whole bool, now time.Time) {
	for _, r := range rows {
		if err := b.applyOperator(r, now); err != nil {
			b.log.Error("configuration not usable, the last one stays", "row", r.Key, "version", r.Version, "err", err)
		}
	}
	if whole {
		b.endEvacuations(rows, now)
	}
}

func (b *SiteState) applyOperator(r site.Row, now time.Time) error {
	if hall, on, ok := b.codec.Evacuation(r); ok {
		b.evacuate(hall, on, r.Version, now)
		return nil
	}
	s, err := b.codec.Configuration(r)
	if err != nil {
		return err
	}
	if s != nil {
		for _, v := range s.Stores() {
			v.Store.Region = b.regions[v.Store.DataHall]
		}
		b.configure(s)
		return nil
	}
	model, version, ok, err := b.codec.Weights(r)
	if err != nil || !ok {
		return err
	}
	b.ApplyWeights(model, version, now)
	return nil
}

// configure puts a configuration in force unless a newer one is.
func (b *SiteState) configure(s *site.Snapshot) {
	for {
		old := b.snapshot.Load()
		if old != nil && old.Version >= s.Version {
			return
		}
		if b.snapshot.CompareAndSwap(old, s) {
			break
		}
	}
	b.kept.Configure(s.Stores())
	b.limitCold(s)
	b.log.Info("configuration in force", "version", s.Version, "routes", len(s.Routes()))
}

// ApplyWeights takes in that a model has weights of a version.
func (b *SiteState) ApplyWeights(model string, version int64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.weights[model]
	if version <= old.version {
		return
	}
	n := newest{version: version, since: now}
	if old.version > 0 {
		n.older = append(slices.Clone(old.older), newest{version: old.version, since: old.since})
		n.older = n.older[max(0, len(n.older)-mostOlder):]
	}
	b.weights[model] = n
	b.log.Info("weights named", "model", model, "version", version)
}

// Weights is the newest version of a model's weights, and since when it is known.
func (b *SiteState) Weights(model string) (version int64, since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.weights[model]
	return n.version, n.since
}

// WeightsBefore is the newest version of a model's weights that was known at a
// time, 0 for none.
func (b *SiteState) WeightsBefore(model string, at time.Time) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.weights[model]
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
func (b *SiteState) ReplacedAt(model string, version int64) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.weights[model]
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
func (b *SiteState) NewestWeights() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make(map[string]int64, len(b.weights))
	for model, n := range b.weights {
		list[model] = n.version
	}
	return list
}

// MarkStoreUnreachable records that the list of upstreams can't be had.
func (b *SiteState) MarkStoreUnreachable(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.away = now
}

// MarkStoreSynced records that the list of upstreams is as the store has it.
func (b *SiteState) MarkStoreSynced(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heard = now
}

// Ages tells how old the beliefs are: the version of the configuration in force,
// since when the store's list was not heard of, and how long ago it was last not
// to be had, 0 for never.
func (b *SiteState) Ages(now time.Time) (config int64, heard, away time.Duration) {
	if s := b.snapshot.Load(); s != nil {
		config = s.Version
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	heard = now.Sub(b.heard)
	if !b.away.IsZero() {
		away = now.Sub(b.away)
	}
	return config, heard, away
}

// awayTerm is how long after an absence of the store an entry that is dropped
// may be one that lapsed meanwhile.
const awayTerm = 4 * time.Second

// ApplyUpstreams takes in rows of the list of upstreams; with whole they are all
// that there are.
func (b *SiteState) ApplyUpstreams(rows []site.Row, whole bool, now time.Time) {
	// What was held before is forgotten without the lock: look-ups of it ask the beliefs
	// with a lock of their own.
	for id, planned := range b.applyUpstreams(rows, whole, now) {
		b.kept.ResetEngine(id)
		b.restarted(id, planned, now)
	}
	b.tellDropped(now)
}

// tellDropped tells of replicas that were dropped, without the lock.
func (b *SiteState) tellDropped(now time.Time) {
	b.mu.Lock()
	list := b.dropped
	b.dropped = nil
	b.mu.Unlock()
	for _, id := range list {
		b.ended(id, now)
	}
}

// applyUpstreams lists the replicas that have started anew under their IDs, with whether
// they had said before that they leave.
func (b *SiteState) applyUpstreams(rows []site.Row, whole bool, now time.Time) (restarted map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	restarted = map[string]bool{}
	seen := map[string]bool{}
	for _, r := range rows {
		seen[r.Key] = true
		planned := b.upstreams[r.Key] != nil && b.upstreams[r.Key].Draining
		if b.applyUpstream(r, now) {
			restarted[r.Key] = planned
		}
	}
	if whole {
		for id := range b.upstreams {
			if !seen[id] {
				b.drop(id, now)
			}
		}
	}
	b.rebuild(now)
	return restarted
}

// applyUpstream takes in one row. What is older than what is known is passed over; a row
// that can't be used names no replica, whatever stood there before. It says whether the
// replica has started anew under its ID.
func (b *SiteState) applyUpstream(r site.Row, now time.Time) (restarted bool) {
	old, known := b.upstreams[r.Key]
	if known && r.Version < old.version {
		return false
	}
	if r.Gone {
		b.drop(r.Key, now)
		return false
	}
	u, err := b.codec.Upstream(r)
	if err != nil {
		b.unusable++
		delete(b.upstreams, r.Key)
		b.log.Error("upstream row invalid, ignored", "row", r.Key, "version", r.Version, "err", err)
		return false
	}
	if known && u.StartedBefore(&old.Upstream) {
		return false
	}
	return b.take(u, r.Version, now)
}

// take notes a row that can be used, and says whether it is of a new start. Its cold term
// counts from when the row was written, so a row that is heard again does not begin it anew.
func (b *SiteState) take(u site.Upstream, version int64, now time.Time) (restarted bool) {
	old, known := b.upstreams[u.ID]
	restarted = known && old.StartedBefore(&u)
	if known && !restarted && b.saysDraining(old.StartKey()) {
		b.draining[u.StartKey()] = now // The same start, told with its time or without.
	}
	if !known || restarted || old.Draining != u.Draining {
		b.log.Info("upstream listed", "upstream", u.ID, "service", u.Service, "addr", u.Addr, "draining", u.Draining,
			"started", u.Started, "cold", u.Cold, "restarted", restarted)
	}
	u.Region = b.regions[u.DataHall]
	u.Draining = u.Draining || b.saysDraining(u.StartKey())
	switch {
	case known && version > 0 && version == old.version:
		u.ColdUntil = old.ColdUntil
	case u.Cold > 0:
		u.ColdUntil = now.Add(u.Cold)
	}
	b.upstreams[u.ID] = &upstreamEntry{Upstream: u, version: version}
	return restarted
}

// drainingKept is for how long after it said so a start of a replica is remembered as
// draining that isn't listed.
const drainingKept = 10 * time.Minute

// ApplyDraining takes in that a start of a replica says in answers that it drains, and says
// whether that is news. It holds until the replica ends, whatever the list says: a row may be
// late, or not have been written, and a replica that drains does not go back on it.
func (b *SiteState) ApplyDraining(w route.ReplicaRef, now time.Time) (first bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	told := site.Upstream{ID: w.ID, Started: w.Started}
	if b.saysDraining(told.StartKey()) {
		return false
	}
	listed := map[string]bool{}
	for _, e := range b.upstreams {
		listed[e.StartKey()] = true
	}
	for start, at := range b.draining {
		if !listed[start] && now.Sub(at) >= drainingKept {
			delete(b.draining, start)
		}
	}
	b.draining[told.StartKey()] = now
	e, known := b.upstreams[w.ID]
	if !known || e.StartKey() != told.StartKey() || e.Draining {
		return false
	}
	e.Draining = true
	b.log.Info("replica reports draining", "upstream", e.ID, "service", e.Service, "list_age", now.Sub(b.heard))
	b.rebuild(now)
	return true
}

// saysDraining says whether a start of a replica has said in an answer that it drains.
func (b *SiteState) saysDraining(start string) bool {
	_, says := b.draining[start]
	return says
}

// drop takes an upstream out, at once unless the store was away: an entry may
// then have run out for want of a heartbeat, and is given time to come back.
func (b *SiteState) drop(id string, now time.Time) {
	e, known := b.upstreams[id]
	if !known || !e.gone.IsZero() {
		return
	}
	if now.Sub(b.away) < awayTerm && !b.away.IsZero() && !e.Draining {
		e.gone = now
		return
	}
	b.forget(id, e)
	b.log.Info("upstream dropped", "upstream", id, "service", e.Service)
}

// forget takes an entry out; the caller holds mu.
func (b *SiteState) forget(id string, e *upstreamEntry) {
	delete(b.upstreams, id)
	if !e.Draining {
		b.dropped = append(b.dropped, id)
	}
}

// Expire drops upstreams whose entries have not come back; the timer service
// calls it.
func (b *SiteState) Expire(now time.Time) {
	defer b.tellDropped(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := false
	for id, e := range b.upstreams {
		if !e.gone.IsZero() && now.Sub(e.gone) >= b.returnTime {
			b.forget(id, e)
			changed = true
			b.log.Info("upstream dropped", "upstream", id, "service", e.Service, "missing", now.Sub(e.gone))
		}
	}
	if changed || b.leaving(now) {
		b.rebuild(now)
	}
}

func (b *SiteState) rebuild(now time.Time) {
	b.rebuilt++
	lists := map[string][]site.Upstream{}
	for _, e := range b.upstreams {
		e.Evacuated = b.evacuates(&e.Upstream, now)
		lists[e.Service] = append(lists[e.Service], e.Upstream)
	}
	for service := range lists {
		if b.pools[service] == nil {
			b.pools[service] = route.NewPool(b.hall, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
			b.pools[service].SetRateLimits(b.rates)
			b.pools[service].Disable(b.without)
			b.limitPool(b.snapshot.Load(), service)
		}
	}
	for service, p := range b.pools {
		p.Configure(lists[service], now)
	}
}

// Pool returns the replicas of a service, nil if it never had any.
func (b *SiteState) Pool(service string) *route.Pool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pools[service]
}

// Pools lists all pools by service.
func (b *SiteState) Pools() map[string]*route.Pool {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make(map[string]*route.Pool, len(b.pools))
	for service, p := range b.pools {
		list[service] = p
	}
	return list
}

// Revision counts the changes of the list of upstreams so far.
func (b *SiteState) Revision() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rebuilt
}

// UpstreamCount is how many upstreams are known.
func (b *SiteState) UpstreamCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.upstreams)
}
