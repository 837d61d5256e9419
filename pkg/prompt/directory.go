package prompt

import (
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/locks"
)

const (
	// tick is the resolution of the times in entries.
	tick = 100 * time.Millisecond
	// inlineLocations is the number of locations that an entry holds without an
	// overflow list.
	inlineLocations = 2
	// evictSample is the number of entries compared to find one to evict.
	evictSample = 8
	// gapWeight is the weight of the newest gap in the mean gap.
	gapWeight = 0.3
)

// locationID identifies a location; 0 is none.
type locationID uint32

// entry holds the occurrences and locations of one mark. A shard of the size
// designed for has tens of thousands of them, so entries have no pointers and
// refer to locations by number.
type entry struct {
	lastSeen    uint32 // In ticks since Directory.start.
	meanGap     uint32 // Mean time between occurrences, in ticks.
	count       uint16 // Occurrences.
	hasOverflow bool   // The locations are in Directory.overflow.
	locations   [inlineLocations]locationID
}

// location is an engine's own cache or one object of a store.
type location struct {
	upstream string
	object   *Object
}

// Directory is one shard of the directory of cached KV state.
//
// Its content is a hint: it is built from cache events, store listings and
// finished runs, which are late and incomplete. A wrong entry costs time but
// never correctness, because an import states key, generation and checksum, and
// engines match their caches by key.
//
// A location that goes away is only removed from the locations map; entries drop
// their references to it when they are next used. So dropping an engine takes
// the same time however much it held.
type Directory struct {
	mu        locks.Mutex
	start     time.Time
	capacity  int
	entries   map[Key]entry
	overflow  map[Key][]locationID
	locations map[locationID]location
	cached    map[string]locationID         // Engines' own caches, by engine.
	stored    map[string]map[Key]locationID // By store and object key.
	lastID    locationID
}

// NewDirectory returns an empty shard of at most capacity marks.
func NewDirectory(capacity int, now time.Time) *Directory {
	return &Directory{
		start:     now,
		capacity:  capacity,
		entries:   map[Key]entry{},
		overflow:  map[Key][]locationID{},
		locations: map[locationID]location{},
		cached:    map[string]locationID{},
		stored:    map[string]map[Key]locationID{},
	}
}

// Observe looks up a chain and records the occurrence.
func (d *Directory) Observe(marks []Mark, now time.Time) Match {
	d.mu.Lock()
	defer d.mu.Unlock()
	var m Match
	at := d.ticks(now)
	seen := map[locationID]bool{}
	for _, mark := range slices.Backward(marks) {
		e, known := d.entries[mark.Key]
		if known {
			e = d.prune(mark.Key, e)
			d.appendLocations(&m, mark, e, seen)
			m.appendOccurrence(mark, e, at)
		}
		d.put(mark.Key, e.withOccurrence(at))
	}
	return m
}

// Lookup looks up a chain without recording an occurrence.
func (d *Directory) Lookup(marks []Mark, now time.Time) Match {
	d.mu.Lock()
	defer d.mu.Unlock()
	var m Match
	at := d.ticks(now)
	seen := map[locationID]bool{}
	for _, mark := range slices.Backward(marks) {
		if e, known := d.entries[mark.Key]; known {
			d.appendLocations(&m, mark, d.prune(mark.Key, e), seen)
			m.appendOccurrence(mark, e, at)
		}
	}
	return m
}

// AddCached records that an engine has the blocks of keys in its cache.
func (d *Directory) AddCached(engine string, keys []Key, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id, ok := d.cached[engine]
	if !ok {
		id = d.newLocation(location{upstream: engine})
		d.cached[engine] = id
	}
	for _, k := range keys {
		d.addLocation(k, id, now)
	}
}

// RemoveCached records that an engine no longer has the blocks of keys.
func (d *Directory) RemoveCached(engine string, keys []Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id, ok := d.cached[engine]
	if !ok {
		return
	}
	for _, k := range keys {
		d.removeLocation(k, id)
	}
}

// RemoveEngine drops all locations of an engine, for example after a gap in its
// cache events.
func (d *Directory) RemoveEngine(engine string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.locations, d.cached[engine])
	delete(d.cached, engine)
}

// AddStored records an object of a store under all marks that it covers.
func (d *Directory) AddStored(store string, o Object, marks []Mark, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeStored(store, o.Key)
	id := d.newLocation(location{upstream: store, object: &o})
	if d.stored[store] == nil {
		d.stored[store] = map[Key]locationID{}
	}
	d.stored[store][o.Key] = id
	for _, m := range marks {
		if m.Chunks <= o.Chunks {
			d.addLocation(m.Key, id, now)
		}
	}
}

// RemoveStored records that a store no longer has an object.
func (d *Directory) RemoveStored(store string, key Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeStored(store, key)
}

// RetainStored drops the objects of a store for which keep returns false, such as
// those of an earlier boot epoch.
func (d *Directory) RetainStored(store string, keep func(Object) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, id := range d.stored[store] {
		if !keep(*d.locations[id].object) {
			d.removeStored(store, key)
		}
	}
}

// Stored lists the known objects of a store.
func (d *Directory) Stored(store string) []Object {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]Object, 0, len(d.stored[store]))
	for _, id := range d.stored[store] {
		list = append(list, *d.locations[id].object)
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
	s := Stats{Marks: len(d.entries), Engines: len(d.cached)}
	for _, objects := range d.stored {
		s.Objects += len(objects)
	}
	return s
}

func (d *Directory) ticks(now time.Time) uint32 { return uint32(max(0, now.Sub(d.start)/tick)) }

func (d *Directory) newLocation(loc location) locationID {
	d.lastID++
	d.locations[d.lastID] = loc
	return d.lastID
}

func (d *Directory) removeStored(store string, key Key) {
	delete(d.locations, d.stored[store][key])
	delete(d.stored[store], key)
}

// put writes an entry and evicts another if the shard is full.
func (d *Directory) put(k Key, e entry) {
	if _, known := d.entries[k]; !known && len(d.entries) >= d.capacity {
		d.evict()
	}
	d.entries[k] = e
}

// evict drops the least recently seen of a few random entries. Map iteration starts
// at a random entry; an exact LRU order would cost a list node for each entry.
func (d *Directory) evict() {
	var victim Key
	oldest := ^uint32(0)
	n := 0
	for k, e := range d.entries {
		if e.lastSeen <= oldest {
			victim, oldest = k, e.lastSeen
		}
		if n++; n == evictSample {
			break
		}
	}
	delete(d.entries, victim)
	delete(d.overflow, victim)
}

// prune drops the references of an entry to locations that have been removed.
func (d *Directory) prune(k Key, e entry) entry {
	gone := func(id locationID) bool {
		_, live := d.locations[id]
		return !live
	}
	ids := d.locationIDs(k, e)
	if !slices.ContainsFunc(ids, gone) {
		return e
	}
	e = d.setLocations(k, e, slices.DeleteFunc(slices.Clone(ids), gone))
	d.entries[k] = e
	return e
}

func (d *Directory) locationIDs(k Key, e entry) []locationID {
	if e.hasOverflow {
		return d.overflow[k]
	}
	n := 0
	for n < inlineLocations && e.locations[n] != 0 {
		n++
	}
	return e.locations[:n]
}

func (d *Directory) setLocations(k Key, e entry, ids []locationID) entry {
	e.locations = [inlineLocations]locationID{}
	e.hasOverflow = len(ids) > inlineLocations
	if e.hasOverflow {
		d.overflow[k] = ids
		return e
	}
	delete(d.overflow, k)
	copy(e.locations[:], ids)
	return e
}

func (d *Directory) addLocation(k Key, id locationID, now time.Time) {
	e, known := d.entries[k]
	if !known {
		e.lastSeen = d.ticks(now)
	} else {
		e = d.prune(k, e)
	}
	ids := d.locationIDs(k, e)
	if !slices.Contains(ids, id) {
		e = d.setLocations(k, e, append(slices.Clone(ids), id))
	}
	d.put(k, e)
}

func (d *Directory) removeLocation(k Key, id locationID) {
	e, known := d.entries[k]
	if !known {
		return
	}
	ids := slices.Clone(d.locationIDs(k, e))
	if i := slices.Index(ids, id); i >= 0 {
		d.entries[k] = d.setLocations(k, e, slices.Delete(ids, i, i+1))
	}
}

// appendLocations adds the locations of one mark that no mark of a longer prefix has added.
func (d *Directory) appendLocations(m *Match, mark Mark, e entry, seen map[locationID]bool) {
	for _, id := range d.locationIDs(mark.Key, e) {
		if seen[id] {
			continue
		}
		seen[id] = true
		loc := d.locations[id]
		m.Locations = append(m.Locations, CacheLocation{Upstream: loc.upstream, Chunks: mark.Chunks, Object: loc.object})
	}
}

func (m *Match) appendOccurrence(mark Mark, e entry, at uint32) {
	if e.count == 0 {
		return
	}
	if n := len(m.Occurrences); n > 0 && m.Occurrences[n-1].Count == int(e.count) {
		return
	}
	m.Occurrences = append(m.Occurrences, Occurrence{
		Chunks: mark.Chunks,
		Count:  int(e.count),
		Since:  time.Duration(at-e.lastSeen) * tick,
		Gap:    time.Duration(e.meanGap) * tick,
	})
}

// withOccurrence returns the entry with one more occurrence.
func (e entry) withOccurrence(at uint32) entry {
	switch e.count {
	case 0:
	case 1:
		e.meanGap = at - e.lastSeen
	default:
		e.meanGap = uint32(float64(e.meanGap)*(1-gapWeight) + float64(at-e.lastSeen)*gapWeight)
	}
	if e.count < ^uint16(0) {
		e.count++
	}
	e.lastSeen = at
	return e
}
