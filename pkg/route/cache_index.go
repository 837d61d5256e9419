package route

import (
	"net/netip"
	"time"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/rendezvous"
	"github.com/drumpath/drumpath/pkg/site"
)

// CacheIndex indexes which parts of prompts the KV cache stores and the engines hold,
// as known to this node, and decides where parts are fetched from and where they are
// saved.
//
// A part counts as stored only once the store itself has reported it complete: a
// part that is still being written must not be read. Events of a store may get
// lost; a part that is missing from the index is prefilled and saved again, which only
// costs time.
type CacheIndex struct {
	mu     locks.Mutex
	stores map[string]*indexedStore
	byKey  map[NameHash]*indexedStore
	names  []string
	// engines are indexed by ID; holders lists the engines that hold a part.
	engines  map[string]*indexedEngine
	holders  map[PartHash][]*indexedEngine
	usage    *partUsage
	disabled config.DisabledMechanisms
}

type indexedStore struct {
	site.Store
	fetchLink
	nameHash uint64
	boot     int64
	// fresh is set while the store's events are being received.
	fresh bool
	// savesAllowedFrom is when saves to the store may start again after a restart.
	// Until every node has noticed the restart, one of them could read as complete
	// a part that is being written again.
	savesAllowedFrom time.Time
	parts            map[partKey]completePart
	usedTokens       int // Tokens of complete parts.
	pendingSaves     map[partKey]pendingSave
	savesPlanned     int64
	savesLost        int64 // Of these, the ones that were not confirmed in time.
}

type partKey struct{ realm, part string }

// completePart is a part that a store has reported complete.
type completePart struct {
	tokens        int
	completeSince time.Time
}

const (
	// pendingSaveTimeout is the time after which an unconfirmed save counts as lost.
	pendingSaveTimeout = 4 * time.Second
	// RestartSavePause is how long nothing is saved at a restarted store:
	// longer than any node takes to notice the restart.
	RestartSavePause = 3 * time.Second
	// maxFillShare is the share of a store's capacity that is filled; the rest is
	// left for saves of other nodes that are not known yet.
	maxFillShare = 0.97
)

// NewCacheIndex returns an empty index.
func NewCacheIndex() *CacheIndex {
	return &CacheIndex{
		stores:  map[string]*indexedStore{},
		engines: map[string]*indexedEngine{},
		holders: map[PartHash][]*indexedEngine{},
		usage:   newPartUsage(),
	}
}

// Disable switches mechanisms off. It must be called before the index is used.
func (x *CacheIndex) Disable(mechanisms config.DisabledMechanisms) { x.disabled = mechanisms }

// Configure sets the list of stores. Contents of stores that stay at their address are kept.
func (x *CacheIndex) Configure(stores []*site.Service) {
	x.mu.Lock()
	defer x.mu.Unlock()
	old := x.stores
	x.stores = make(map[string]*indexedStore, len(stores))
	x.byKey = make(map[NameHash]*indexedStore, len(stores))
	x.names = x.names[:0]
	for _, v := range stores {
		s, ok := old[v.Name]
		if !ok || s.Addr != v.Store.Addr {
			s = &indexedStore{nameHash: rendezvous.Hash(v.Name), parts: map[partKey]completePart{}, pendingSaves: map[partKey]pendingSave{}}
		}
		s.Store = *v.Store
		s.hall, s.rate, s.latency = v.Store.DataHall, v.Store.LinkRate, v.Store.Latency
		x.stores[v.Name] = s
		x.byKey[HashName(v.Name)] = s
		x.names = append(x.names, v.Name)
	}
}

// ApplyStoreChanges applies changes that a store has reported.
func (x *CacheIndex) ApplyStoreChanges(name string, c site.CacheChanges, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s, ok := x.stores[name]
	if !ok {
		return
	}
	if s.boot != c.Boot {
		if s.boot != 0 {
			s.savesAllowedFrom = now.Add(RestartSavePause)
		}
		s.boot = c.Boot
		s.reset()
	}
	s.fresh = true
	for _, v := range c.Changes {
		key := partKey{v.Realm, v.Part}
		s.usedTokens += v.Tokens - s.parts[key].tokens
		if v.Tokens > 0 {
			s.parts[key] = completePart{tokens: v.Tokens, completeSince: now}
			delete(s.pendingSaves, key)
		} else {
			delete(s.parts, key)
		}
	}
}

// PauseSaves has nothing saved at a store until a time.
func (x *CacheIndex) PauseSaves(name string, until time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if s, ok := x.stores[name]; ok && until.After(s.savesAllowedFrom) {
		s.savesAllowedFrom = until
	}
}

// StoreTally counts the transfers over one store's link.
type StoreTally struct {
	Key   NameHash
	Tally Tally
}

// Tallies lists this node's transfers over each store's link, to be sent to other
// nodes.
func (x *CacheIndex) Tallies() []StoreTally {
	x.mu.Lock()
	defer x.mu.Unlock()
	var list []StoreTally
	for key, s := range x.byKey {
		if !s.tally.Empty() {
			list = append(list, StoreTally{Key: key, Tally: s.tally})
		}
	}
	return list
}

// AddPeerTally adds the transfers that other nodes have made over a store's link since
// their last report.
func (x *CacheIndex) AddPeerTally(key NameHash, t Tally, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if s, ok := x.byKey[key]; ok {
		s.occupy(t.Bytes, now)
		s.adjustLateness(t.Late-t.Early, now)
	}
}

// MarkStoreStale records that a store's events can't be received: nothing is fetched
// from it or saved there until they can be again.
func (x *CacheIndex) MarkStoreStale(name string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if s, ok := x.stores[name]; ok {
		s.fresh = false
	}
}

func (s *indexedStore) reset() {
	clear(s.parts)
	clear(s.pendingSaves)
	s.usedTokens = 0
}

// Plan decides, for each shared part of a prompt that runs at an engine, where it is
// fetched from and where it is saved.
func (x *CacheIndex) Plan(realm string, engine site.Upstream, shared []site.Part, profile *site.Engine, limits PlanLimits, now time.Time) *Plan {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := &Plan{
		index:   x,
		Sources: make([]netip.AddrPort, len(shared)+1),
		Saves:   make([]netip.AddrPort, len(shared)+1),
	}
	for i, part := range shared {
		key := partKey{realm, part.ID}
		bytes := int64(part.Tokens) * int64(profile.TokenBytes)
		source := x.bestSource(key, engine, part.Tokens, bytes, limits.SourceRules, now)
		missing := x.missProbability(engine.ID, key, part.Tokens, profile, now)
		wait := time.Duration(missing * float64(source.wait))
		x.usage.record(key, part.Tokens, now)
		if source.link != nil && p.FetchTime+wait < limits.MaxFetchTime {
			p.addFetch(i, part.Tokens, source.addr, wait)
			if missing > likelyMissing {
				p.fetchLinks = append(p.fetchLinks, source.link)
				source.link.book(bytes, engine.DataHall, now)
			}
		}
		if limits.Save && !x.disabled.StoreSaves && (source.store == nil || x.usage.frequentlyUsed(key, now)) {
			x.planSave(p, i, key, part.Tokens, bytes, source.store, engine.DataHall, &limits, now)
		}
	}
	return p
}

// missProbability is the probability that an engine doesn't hold a part: from the
// engine's own events, or else from how often the part is used.
func (x *CacheIndex) missProbability(engine string, key partKey, tokens int, profile *site.Engine, now time.Time) float64 {
	h, ok := x.engines[engine]
	switch {
	case !ok || !h.fresh:
		return 1 - x.usage.cachedProbability(key, profile.Capacity, now)
	case h.parts[HashPart(key.realm, key.part)] >= tokens:
		return 0
	default:
		return 1
	}
}

// likelyMissing is the missProbability above which a part's fetch is booked on the
// link.
const likelyMissing = 0.5

// Realm is the namespace of the parts that a prompt may use on a version of the weights.
type Realm struct {
	Name string
	SourceRules
}

// SourceRules limit where parts may be fetched from.
type SourceRules struct {
	// CompleteBefore, if set, is by when a part must have been complete. While weights are replaced, later
	// parts may have been computed with either version.
	CompleteBefore time.Time
	// NoManagedStores is set if nothing may be fetched from managed stores, which may free it.
	NoManagedStores bool
}

// Coverage returns for each engine how many of a prompt's shared tokens, from the start
// on, it holds, how many it can fetch within maxFetchTime, and how long the fetch should
// take. Engines with unknown weights are left out; realms has the realm of each version of the
// weights that the others have.
func (x *CacheIndex) Coverage(engines []site.Upstream, model string, realms map[int64]Realm, shared []site.Part, profile *site.Engine, maxFetchTime time.Duration, now time.Time) map[string]CacheCoverage {
	x.mu.Lock()
	defer x.mu.Unlock()
	lookups := map[int64]*partLookup{}
	coverage := make(map[string]CacheCoverage, len(engines))
	for _, u := range engines {
		v := u.Weights[model]
		if v == 0 {
			continue
		}
		lookup, ok := lookups[v]
		if !ok {
			lookup = newPartLookup(realms[v], shared, maxFetchTime)
			lookups[v] = lookup
		}
		coverage[u.ID] = x.engineCoverage(lookup, u, shared, profile, now)
	}
	return coverage
}

// partLookup is the lookup of a prompt's shared parts in one realm. sources are cached
// by data hall: engines in the same hall have the same sources.
type partLookup struct {
	Realm
	maxFetchTime time.Duration
	hashes       []PartHash
	sources      map[string][]partSource
}

func newPartLookup(r Realm, shared []site.Part, maxFetchTime time.Duration) *partLookup {
	l := &partLookup{Realm: r, maxFetchTime: maxFetchTime, hashes: make([]PartHash, len(shared)), sources: map[string][]partSource{}}
	for i, part := range shared {
		l.hashes[i] = HashPart(r.Name, part.ID)
	}
	return l
}

func (x *CacheIndex) engineCoverage(lookup *partLookup, engine site.Upstream, shared []site.Part, profile *site.Engine, now time.Time) (coverage CacheCoverage) {
	sources, ok := lookup.sources[engine.DataHall]
	if !ok {
		sources = make([]partSource, len(shared))
		for i, part := range shared {
			bytes := int64(part.Tokens) * int64(profile.TokenBytes)
			sources[i] = x.bestSource(partKey{lookup.Name, part.ID}, site.Upstream{DataHall: engine.DataHall}, part.Tokens, bytes, lookup.SourceRules, now)
		}
		lookup.sources[engine.DataHall] = sources
	}
	h, ok := x.engines[engine.ID]
	coverage.Known = ok && h.fresh
	for i, part := range shared {
		if coverage.Known && h.parts[lookup.hashes[i]] >= part.Tokens {
			coverage.Cached += part.Tokens
			continue
		}
		if sources[i].link == nil {
			return coverage
		}
		missing := 1.0
		if !coverage.Known {
			missing -= x.usage.cachedProbability(partKey{lookup.Name, part.ID}, profile.Capacity, now)
		}
		wait := time.Duration(missing * float64(sources[i].wait))
		if coverage.Wait+wait >= lookup.maxFetchTime {
			return coverage
		}
		coverage.Fetched += part.Tokens
		coverage.Wait += wait
	}
	return coverage
}

// partSource is where a part is fetched from; link is nil if there is none.
type partSource struct {
	link *fetchLink
	addr netip.AddrPort
	wait time.Duration
	// store is a store that has the part, nil if none has. An engine doesn't count,
	// as it may drop the part any time.
	store *indexedStore
}

// bestSource picks the source with the shortest fetch time. Engines are used only for
// parts that no store has, as they drop parts within a second or two: with engines and
// stores treated alike, shared tokens prefilled again rose by a quarter under load.
// Engines are not used at all once newer weights have been announced: a run begun on
// the older weights may have computed the rest of a part on the newer ones.
func (x *CacheIndex) bestSource(key partKey, engine site.Upstream, tokens int, bytes int64, rules SourceRules, now time.Time) (best partSource) {
	if tokens == 0 {
		return best
	}
	consider := func(l *fetchLink, addr netip.AddrPort) {
		if wait := l.fetchTime(bytes, engine.DataHall, now); best.link == nil || wait < best.wait {
			best.link, best.addr, best.wait = l, addr, wait
		}
	}
	for _, name := range x.names {
		s := x.stores[name]
		stored := s.parts[key]
		if x.disabled.StoreFetches || rules.NoManagedStores && s.Managed || !s.fresh || stored.tokens < tokens ||
			!rules.CompleteBefore.IsZero() && stored.completeSince.After(rules.CompleteBefore) {
			continue
		}
		if consider(&s.fetchLink, s.Addr); best.addr == s.Addr {
			best.store = s
		}
	}
	if !rules.CompleteBefore.IsZero() || best.store != nil || x.disabled.EngineFetches {
		return best
	}
	hash := HashPart(key.realm, key.part)
	for _, h := range x.holders[hash] {
		if h.ID != engine.ID && h.canServe(hash, tokens, now) {
			consider(&h.fetchLink, h.Addr)
		}
	}
	return best
}

// sameHallBonus is how much fuller, as a share of its capacity, a store in the
// replica's own data hall may be than others and still be preferred for a save.
const sameHallBonus = 0.3

// StoreRealms returns the realms of which a store has parts.
func (x *CacheIndex) StoreRealms(name string) map[string]bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	realms := map[string]bool{}
	if s, ok := x.stores[name]; ok {
		for key := range s.parts {
			realms[key.realm] = true
		}
	}
	return realms
}

// PartsOf lists up to limit parts that a store has of some realms, with the boot of the store to
// which they belong.
func (x *CacheIndex) PartsOf(name string, realms map[string]bool, limit int) (list []site.PartRef, boot int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s, ok := x.stores[name]
	if !ok || !s.fresh {
		return nil, 0
	}
	for key := range s.parts {
		if realms[key.realm] {
			list = append(list, site.PartRef{Realm: key.realm, Part: key.part})
		}
		if len(list) == limit {
			break
		}
	}
	return list, s.boot
}

// RemoveFreed removes parts that a store has freed, as its own events may get lost.
func (x *CacheIndex) RemoveFreed(name string, boot int64, list []site.PartRef) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s, ok := x.stores[name]
	if !ok || s.boot != boot {
		return
	}
	for _, f := range list {
		key := partKey{f.Realm, f.Part}
		s.usedTokens -= s.parts[key].tokens
		delete(s.parts, key)
	}
}

// StoreStatus is the state of one store as shown in dumps.
type StoreStatus struct {
	Name      string `json:"name"`
	Connected bool   `json:"heard"`
	Boot      int64  `json:"boot"`
	Parts     int    `json:"parts"`
	Used      int    `json:"used_tokens"`
	Capacity  int    `json:"capacity_tokens"`
	Saving    int    `json:"saving"`
	// SavesPlanned counts the saves that this node asked for, SavesLost those that the store
	// has not confirmed in time.
	SavesPlanned int64 `json:"saves_planned"`
	SavesLost    int64 `json:"saves_lost"`
}

// Status lists all stores, by name.
func (x *CacheIndex) Status() []StoreStatus {
	x.mu.Lock()
	defer x.mu.Unlock()
	list := make([]StoreStatus, 0, len(x.names))
	for _, name := range x.names {
		s := x.stores[name]
		list = append(list, StoreStatus{
			Name:      name,
			Connected: s.fresh,
			Boot:      s.boot,
			Parts:     len(s.parts),
			Used:      s.usedTokens,
			Capacity:  s.Capacity,
			Saving:    len(s.pendingSaves),

			SavesPlanned: s.savesPlanned,
			SavesLost:    s.savesLost,
		})
	}
	return list
}
