package prompt

import (
	"slices"
	"sync"
	"time"
)

const (
	// tick is the resolution of sightings' times.
	tick = 100 * time.Millisecond
	// inlineRefs is how many places an entry names without an overflow list.
	inlineRefs = 2
	// evictSample is how many entries are compared to find one to evict.
	evictSample = 8
	// gapWeight is the weight of the newest gap in the mean gap.
	gapWeight = 0.3
)

// ref names a place; 0 is none.
type ref uint32

// entry is what is known of one mark. A design-size shard holds tens of
// thousands, so it has no pointers and names places by number.
type entry struct {
	last  uint32 // In ticks since Directory.start.
	gap   uint32 // Mean gap in ticks.
	times uint16
	more  bool // There is an overflow list.
	refs  [inlineRefs]ref
}

// place is an engine's hot cache or one object of a store.
type place struct {
	upstream string
	object   *Object
}

// Directory is one shard of the directory of kept state.
//
// It is soft: built from cache events, store listings and finished runs, late
// and with gaps. A wrong entry costs time and never safety, because an import
// names key, generation and checksum and engines match their caches by key.
//
// A place that goes away is only removed from the places table; entries drop
// their refs to it when they are next touched. So forgetting all that one
// engine held costs the same at any size.
type Directory struct {
	mu       sync.Mutex
	start    time.Time
	capacity int
	entries  map[Key]entry
	overflow map[Key][]ref
	places   map[ref]place
	hot      map[string]ref         // Engine to its place.
	stored   map[string]map[Key]ref // Store to its objects.
	lastRef  ref
}

// NewDirectory returns an empty shard of at most capacity marks.
func NewDirectory(capacity int, now time.Time) *Directory {
	return &Directory{
		start:    now,
		capacity: capacity,
		entries:  map[Key]entry{},
		overflow: map[Key][]ref{},
		places:   map[ref]place{},
		hot:      map[string]ref{},
		stored:   map[string]map[Key]ref{},
	}
}

// Observe looks a chain up and records the sighting.
func (d *Directory) Observe(marks []Mark, now time.Time) Match {
	d.mu.Lock()
	defer d.mu.Unlock()
	var m Match
	at := d.ticks(now)
	seen := map[ref]bool{}
	for _, mark := range slices.Backward(marks) {
		e, known := d.entries[mark.Key]
		if known {
			e = d.prune(mark.Key, e)
			d.addHoldings(&m, mark, e, seen)
			m.addSighting(mark, e, at)
		}
		d.put(mark.Key, e.sighted(at))
	}
	return m
}

// Lookup looks a chain up and records nothing.
func (d *Directory) Lookup(marks []Mark, now time.Time) Match {
	d.mu.Lock()
	defer d.mu.Unlock()
	var m Match
	at := d.ticks(now)
	seen := map[ref]bool{}
	for _, mark := range slices.Backward(marks) {
		if e, known := d.entries[mark.Key]; known {
			d.addHoldings(&m, mark, d.prune(mark.Key, e), seen)
			m.addSighting(mark, e, at)
		}
	}
	return m
}

// AddHot records that an engine holds the blocks that end at keys.
func (d *Directory) AddHot(engine string, keys []Key, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.hot[engine]
	if !ok {
		r = d.newPlace(place{upstream: engine})
		d.hot[engine] = r
	}
	for _, k := range keys {
		d.addRef(k, r, now)
	}
}

// RemoveHot records that an engine no longer holds the blocks at keys.
func (d *Directory) RemoveHot(engine string, keys []Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.hot[engine]
	if !ok {
		return
	}
	for _, k := range keys {
		d.removeRef(k, r)
	}
}

// RemoveEngine drops all that an engine held, after a gap in its events.
func (d *Directory) RemoveEngine(engine string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.places, d.hot[engine])
	delete(d.hot, engine)
}

// AddStored records an object of a store under every mark it covers.
func (d *Directory) AddStored(store string, o Object, marks []Mark, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeStored(store, o.Key)
	r := d.newPlace(place{upstream: store, object: &o})
	if d.stored[store] == nil {
		d.stored[store] = map[Key]ref{}
	}
	d.stored[store][o.Key] = r
	for _, m := range marks {
		if m.Chunks <= o.Chunks {
			d.addRef(m.Key, r, now)
		}
	}
}

// RemoveStored records that a store no longer has an object.
func (d *Directory) RemoveStored(store string, key Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeStored(store, key)
}

// RetainStored drops the objects of a store for which keep is false, such as
// those of an earlier boot epoch.
func (d *Directory) RetainStored(store string, keep func(Object) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, r := range d.stored[store] {
		if !keep(*d.places[r].object) {
			d.removeStored(store, key)
		}
	}
}

// Stored lists the objects that a store is known to keep.
func (d *Directory) Stored(store string) []Object {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]Object, 0, len(d.stored[store]))
	for _, r := range d.stored[store] {
		list = append(list, *d.places[r].object)
	}
	return list
}

// Stats are the sizes of a shard.
type Stats struct {
	Marks   int `json:"marks"`
	Engines int `json:"engines"`
	Objects int `json:"objects"`
}

// Stats returns the sizes of the shard.
func (d *Directory) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := Stats{Marks: len(d.entries), Engines: len(d.hot)}
	for _, objects := range d.stored {
		s.Objects += len(objects)
	}
	return s
}

func (d *Directory) ticks(now time.Time) uint32 { return uint32(max(0, now.Sub(d.start)/tick)) }

func (d *Directory) newPlace(p place) ref {
	d.lastRef++
	d.places[d.lastRef] = p
	return d.lastRef
}

func (d *Directory) removeStored(store string, key Key) {
	delete(d.places, d.stored[store][key])
	delete(d.stored[store], key)
}

// put writes an entry and keeps the shard within its capacity.
func (d *Directory) put(k Key, e entry) {
	if _, known := d.entries[k]; !known && len(d.entries) >= d.capacity {
		d.evict()
	}
	d.entries[k] = e
}

// evict drops the longest unseen of a few random entries; map iteration starts
// at a random place, and an exact order would cost a list node an entry.
func (d *Directory) evict() {
	var victim Key
	oldest := ^uint32(0)
	n := 0
	for k, e := range d.entries {
		if e.last <= oldest {
			victim, oldest = k, e.last
		}
		if n++; n == evictSample {
			break
		}
	}
	delete(d.entries, victim)
	delete(d.overflow, victim)
}

// prune drops the refs of an entry to places that are gone.
func (d *Directory) prune(k Key, e entry) entry {
	gone := func(r ref) bool {
		_, live := d.places[r]
		return !live
	}
	refs := d.refs(k, e)
	if !slices.ContainsFunc(refs, gone) {
		return e
	}
	e = d.setRefs(k, e, slices.DeleteFunc(slices.Clone(refs), gone))
	d.entries[k] = e
	return e
}

func (d *Directory) refs(k Key, e entry) []ref {
	if e.more {
		return d.overflow[k]
	}
	n := 0
	for n < inlineRefs && e.refs[n] != 0 {
		n++
	}
	return e.refs[:n]
}

func (d *Directory) setRefs(k Key, e entry, refs []ref) entry {
	e.refs = [inlineRefs]ref{}
	e.more = len(refs) > inlineRefs
	if e.more {
		d.overflow[k] = refs
		return e
	}
	delete(d.overflow, k)
	copy(e.refs[:], refs)
	return e
}

func (d *Directory) addRef(k Key, r ref, now time.Time) {
	e, known := d.entries[k]
	if !known {
		e.last = d.ticks(now)
	} else {
		e = d.prune(k, e)
	}
	refs := d.refs(k, e)
	if !slices.Contains(refs, r) {
		e = d.setRefs(k, e, append(slices.Clone(refs), r))
	}
	d.put(k, e)
}

func (d *Directory) removeRef(k Key, r ref) {
	e, known := d.entries[k]
	if !known {
		return
	}
	refs := slices.Clone(d.refs(k, e))
	if i := slices.Index(refs, r); i >= 0 {
		d.entries[k] = d.setRefs(k, e, slices.Delete(refs, i, i+1))
	}
}

// addHoldings adds the places of one mark that a longer mark has not named.
func (d *Directory) addHoldings(m *Match, mark Mark, e entry, seen map[ref]bool) {
	for _, r := range d.refs(mark.Key, e) {
		if seen[r] {
			continue
		}
		seen[r] = true
		p := d.places[r]
		m.Locations = append(m.Locations, CacheLocation{Upstream: p.upstream, Chunks: mark.Chunks, Object: p.object})
	}
}

func (m *Match) addSighting(mark Mark, e entry, at uint32) {
	if e.times == 0 {
		return
	}
	if n := len(m.Occurrences); n > 0 && m.Occurrences[n-1].Count == int(e.times) {
		return
	}
	m.Occurrences = append(m.Occurrences, Occurrence{
		Chunks: mark.Chunks,
		Count:  int(e.times),
		Since:  time.Duration(at-e.last) * tick,
		Gap:    time.Duration(e.gap) * tick,
	})
}

// sighted returns the entry with one more sighting.
func (e entry) sighted(at uint32) entry {
	switch e.times {
	case 0:
	case 1:
		e.gap = at - e.last
	default:
		e.gap = uint32(float64(e.gap)*(1-gapWeight) + float64(at-e.last)*gapWeight)
	}
	if e.times < ^uint16(0) {
		e.times++
	}
	e.last = at
	return e
}
