package route

import (
	"net/netip"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/site"
)

// CacheIndex is this node's view of what the stores of kept KV cache hold, and decides
// where parts of prompts are taken from and where they are saved.
//
// A part counts as kept only when the store itself has told that it is whole: a
// part that is still being written must not be read. The events of a store may
// get lost; a part that is not known is read again and saved again, which costs
// time only.
type CacheIndex struct {
	mu     sync.Mutex
	stores map[string]*keptStore
	byKey  map[NameHash]*keptStore
	names  []string
	// engines are by ID; holders says which of them hold a part.
	engines map[string]*heldEngine
	holders map[PartHash][]*heldEngine
	use     *traffic
	without config.DisabledMechanisms
}

type keptStore struct {
	site.Store
	keptLink
	boot int64
	// heard says that the store's events are being followed.
	heard bool
	// settled is from when on parts may be saved: after a restart every node
	// must have noticed it, or one could read as whole what is being written
	// anew.
	settled time.Time
	parts   map[partKey]whole
	used    int // Tokens of parts that are whole.
	saving  map[partKey]saving
}

type partKey struct{ realm, part string }

// whole is a part that a store has told to be whole.
type whole struct {
	tokens int
	since  time.Time
}

const (
	// saveTerm is after how long a save that was not told of counts as lost.
	saveTerm = 4 * time.Second
	// restartTerm is for how long nothing is saved at a store that has
	// restarted: longer than any node takes to notice.
	restartTerm = 3 * time.Second
	// roomShare is the part of a store that is filled; the rest is for saves of
	// other nodes that are not known yet.
	roomShare = 0.97
)

// NewCacheIndex returns a view in which no store has anything.
func NewCacheIndex() *CacheIndex {
	return &CacheIndex{
		stores:  map[string]*keptStore{},
		engines: map[string]*heldEngine{},
		holders: map[PartHash][]*heldEngine{},
		use:     newTraffic(),
	}
}

// Disable switches mechanisms off; it is to be called before the view is used.
func (k *CacheIndex) Disable(w config.DisabledMechanisms) { k.without = w }

// Configure sets which stores there are.
func (k *CacheIndex) Configure(stores []*site.Service) {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.stores
	k.stores = make(map[string]*keptStore, len(stores))
	k.byKey = make(map[NameHash]*keptStore, len(stores))
	k.names = k.names[:0]
	for _, v := range stores {
		s, ok := old[v.Name]
		if !ok || s.Addr != v.Store.Addr {
			s = &keptStore{parts: map[partKey]whole{}, saving: map[partKey]saving{}}
		}
		s.Store = *v.Store
		s.hall, s.rate, s.latency = v.Store.DataHall, v.Store.LinkRate, v.Store.Latency
		k.stores[v.Name] = s
		k.byKey[HashName(v.Name)] = s
		k.names = append(k.names, v.Name)
	}
}

// ApplyStoreChanges takes in changes that a store has told of.
func (k *CacheIndex) ApplyStoreChanges(name string, c site.CacheChanges, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.stores[name]
	if !ok {
		return
	}
	if s.boot != c.Boot {
		if s.boot != 0 {
			s.settled = now.Add(restartTerm)
		}
		s.boot = c.Boot
		s.empty()
	}
	s.heard = true
	for _, v := range c.Changes {
		key := partKey{v.Realm, v.Part}
		s.used += v.Tokens - s.parts[key].tokens
		if v.Tokens > 0 {
			s.parts[key] = whole{tokens: v.Tokens, since: now}
			delete(s.saving, key)
		} else {
			delete(s.parts, key)
		}
	}
}

// StoreTally is what has been done with one store's link.
type StoreTally struct {
	Key   NameHash
	Tally Tally
}

// Tallies lists what this node has done with each store's link, for other nodes to
// hear.
func (k *CacheIndex) Tallies() []StoreTally {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []StoreTally
	for key, s := range k.byKey {
		if !s.own.Empty() {
			list = append(list, StoreTally{Key: key, Tally: s.own})
		}
	}
	return list
}

// AddPeerTally takes in what other nodes have done with a store's link since they last
// told.
func (k *CacheIndex) AddPeerTally(key NameHash, t Tally, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s, ok := k.byKey[key]; ok {
		s.occupy(t.Bytes, now)
		s.shift(t.Late-t.Early, now)
	}
}

// MarkStoreStale records that a store's events can't be followed: nothing is read from
// it or saved there until they can be again.
func (k *CacheIndex) MarkStoreStale(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s, ok := k.stores[name]; ok {
		s.heard = false
	}
}

func (s *keptStore) empty() {
	clear(s.parts)
	clear(s.saving)
	s.used = 0
}

// Plan decides for the shared parts of a prompt that runs at an engine.
func (k *CacheIndex) Plan(realm string, at site.Upstream, shared []site.Part, e *site.Engine, l PlanLimits, now time.Time) *Plan {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := &Plan{
		index:   k,
		Sources: make([]netip.AddrPort, len(shared)+1),
		Saves:   make([]netip.AddrPort, len(shared)+1),
	}
	for i, part := range shared {
		key := partKey{realm, part.ID}
		bytes := int64(part.Tokens) * int64(e.TokenBytes)
		s := k.source(key, at, part.Tokens, bytes, l.CompleteBefore, now)
		lacking := k.lacking(at.ID, key, part.Tokens, e, now)
		wait := time.Duration(lacking * float64(s.wait))
		k.use.note(key, part.Tokens, now)
		if s.link != nil && p.FetchTime+wait < l.MaxFetchTime {
			p.addFetch(i, part.Tokens, s.addr, wait)
			if lacking > mostlyLacking {
				p.fetchLinks = append(p.fetchLinks, s.link)
				s.link.book(bytes, at.DataHall, now)
			}
		}
		if l.Save && !k.without.Saves && (s.store == nil || k.use.often(key, now)) {
			k.save(p, i, key, part.Tokens, bytes, s.store, at.DataHall, &l, now)
		}
	}
	return p
}

// lacking is the chance that an engine lacks a part: by its own word, or else by how
// often the part is used.
func (k *CacheIndex) lacking(engine string, key partKey, tokens int, e *site.Engine, now time.Time) float64 {
	h, ok := k.engines[engine]
	switch {
	case !ok || !h.heard:
		return 1 - k.use.held(key, e.Capacity, now)
	case h.parts[HashPart(key.realm, key.part)] >= tokens:
		return 0
	default:
		return 1
	}
}

// mostlyLacking is the chance that the replica lacks a part from which on its
// fetch is counted on the links.
const mostlyLacking = 0.5

// Realm is the name space of what may be used by a prompt on some version of weights.
type Realm struct {
	Name string
	// CompleteBefore is as in PlanLimits.
	CompleteBefore time.Time
}

// Coverage says for each engine how many of a prompt's shared tokens, from its start on,
// it holds, how many can be fetched to it within longest, and how long that should
// take. realm is that of the version of the weights that an engine has.
func (k *CacheIndex) Coverage(at []site.Upstream, model string, realm func(version int64) Realm, shared []site.Part, e *site.Engine, longest time.Duration, now time.Time) map[string]CacheCoverage {
	k.mu.Lock()
	defer k.mu.Unlock()
	versions := map[int64]*lookUp{}
	offers := make(map[string]CacheCoverage, len(at))
	for _, u := range at {
		v := u.Weights[model]
		if v == 0 {
			continue
		}
		l, ok := versions[v]
		if !ok {
			l = newLookUp(realm(v), shared, longest)
			versions[v] = l
		}
		offers[u.ID] = k.offer(l, u, shared, e, now)
	}
	return offers
}

// lookUp is a look-up of a prompt's shared parts in one realm; sources are by data
// hall, as engines there have the same.
type lookUp struct {
	Realm
	longest time.Duration // That a fetch may take.
	hashes  []PartHash
	sources map[string][]partSource
}

func newLookUp(r Realm, shared []site.Part, longest time.Duration) *lookUp {
	l := &lookUp{Realm: r, longest: longest, hashes: make([]PartHash, len(shared)), sources: map[string][]partSource{}}
	for i, part := range shared {
		l.hashes[i] = HashPart(r.Name, part.ID)
	}
	return l
}

func (k *CacheIndex) offer(l *lookUp, at site.Upstream, shared []site.Part, e *site.Engine, now time.Time) (o CacheCoverage) {
	sources, ok := l.sources[at.DataHall]
	if !ok {
		sources = make([]partSource, len(shared))
		for i, part := range shared {
			bytes := int64(part.Tokens) * int64(e.TokenBytes)
			sources[i] = k.source(partKey{l.Name, part.ID}, site.Upstream{DataHall: at.DataHall}, part.Tokens, bytes, l.CompleteBefore, now)
		}
		l.sources[at.DataHall] = sources
	}
	h, ok := k.engines[at.ID]
	o.Known = ok && h.heard
	for i, part := range shared {
		if o.Known && h.parts[l.hashes[i]] >= part.Tokens {
			o.Held += part.Tokens
			continue
		}
		if sources[i].link == nil {
			return o
		}
		lacking := 1.0
		if !o.Known {
			lacking -= k.use.held(partKey{l.Name, part.ID}, e.Capacity, now)
		}
		wait := time.Duration(lacking * float64(sources[i].wait))
		if o.Wait+wait >= l.longest {
			return o
		}
		o.Fetched += part.Tokens
		o.Wait += wait
	}
	return o
}

// partSource is where a part is fetched from; link is nil if there is none.
type partSource struct {
	link *keptLink
	addr netip.AddrPort
	wait time.Duration
	// store is a store that has the part, nil if none has: an engine may drop it
	// any time.
	store *keptStore
}

// source finds where a part comes from soonest: engines only give what no store has, as
// they drop it within a second or two. With engines and stores alike, shared tokens read
// again rose by a quarter under load. Engines give nothing once newer
// weights have been named: a run that was begun on the older ones may have made the
// rest of a part on the newer.
func (k *CacheIndex) source(key partKey, at site.Upstream, tokens int, bytes int64, before, now time.Time) (best partSource) {
	if tokens == 0 {
		return best
	}
	better := func(l *keptLink, addr netip.AddrPort) {
		if w := l.fetchTime(bytes, at.DataHall, now); best.link == nil || w < best.wait {
			best.link, best.addr, best.wait = l, addr, w
		}
	}
	for _, name := range k.names {
		s := k.stores[name]
		w := s.parts[key]
		if k.without.StoreFetches || !s.heard || w.tokens < tokens || !before.IsZero() && w.since.After(before) {
			continue
		}
		if better(&s.keptLink, s.Addr); best.addr == s.Addr {
			best.store = s
		}
	}
	if !before.IsZero() || best.store != nil || k.without.EngineFetches {
		return best
	}
	hash := HashPart(key.realm, key.part)
	for _, h := range k.holders[hash] {
		if h.ID != at.ID && h.gives(hash, tokens, now) {
			better(&h.keptLink, h.Addr)
		}
	}
	return best
}

// nearShare is how much fuller a store in the replica's own data hall may be than
// others for a part to be saved there.
const nearShare = 0.3

// UnusedParts lists up to most parts of a store for which drop says that they will
// not be used again, with the start of the store that they belong to.
func (k *CacheIndex) UnusedParts(name string, most int, drop func(realm string) bool) (list []site.PartRef, boot int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.stores[name]
	if !ok || !s.heard {
		return nil, 0
	}
	judged := map[string]bool{}
	for key := range s.parts {
		useless, known := judged[key.realm]
		if !known {
			useless = drop(key.realm)
			judged[key.realm] = useless
		}
		if useless {
			list = append(list, site.PartRef{Realm: key.realm, Part: key.part})
		}
		if len(list) == most {
			break
		}
	}
	return list, s.boot
}

// RemoveFreed notes that a store has dropped parts: its own word of that may get lost.
func (k *CacheIndex) RemoveFreed(name string, boot int64, list []site.PartRef) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.stores[name]
	if !ok || s.boot != boot {
		return
	}
	for _, f := range list {
		key := partKey{f.Realm, f.Part}
		s.used -= s.parts[key].tokens
		delete(s.parts, key)
	}
}

// StoreStatus is what a dump shows of one store.
type StoreStatus struct {
	Name      string `json:"name"`
	Connected bool   `json:"heard"`
	Boot      int64  `json:"boot"`
	Parts     int    `json:"parts"`
	Used      int    `json:"used_tokens"`
	Capacity  int    `json:"capacity_tokens"`
	Saving    int    `json:"saving"`
}

// Status lists all stores, by name.
func (k *CacheIndex) Status() []StoreStatus {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make([]StoreStatus, 0, len(k.names))
	for _, name := range k.names {
		s := k.stores[name]
		list = append(list, StoreStatus{
			Name:      name,
			Connected: s.heard,
			Boot:      s.boot,
			Parts:     len(s.parts),
			Used:      s.used,
			Capacity:  s.Capacity,
			Saving:    len(s.saving),
		})
	}
	return list
}
