package route

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/drumpath/drumpath/pkg/site"
)

// PartHash stands for a part in a realm where knowledge of what engines hold is kept
// and told: engines hold many parts, and its eight bytes are a tenth of their names.
type PartHash uint64

// HashPart returns the hash of a part in a realm.
func HashPart(realm, part string) PartHash {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(realm)  // It never fails.
	_, _ = d.WriteString("\x00") // Nor does it appear in a realm.
	_, _ = d.WriteString(part)
	return PartHash(d.Sum64())
}

// EngineCacheChange says that an engine holds more or less of a part: Tokens are those held
// now, 0 for none.
type EngineCacheChange struct {
	Part   PartHash
	Tokens int
}

// EngineCacheUpdate is news of what one engine holds.
type EngineCacheUpdate struct {
	Engine string
	// Stale says that the engine's own word can't be heard: what is known of it is
	// not to be used until it can be again.
	Stale bool
	// Full says that the changes are all that it holds, and that what was known
	// before is void.
	Full    bool
	Changes []EngineCacheChange
}

// heldEngine is what this node knows of what one engine holds. It is the engine's own
// word, some hundred milliseconds old.
type heldEngine struct {
	site.Upstream
	keptLink
	heard bool
	known bool             // All that it held was told once.
	parts map[PartHash]int // Tokens held.
	// doubted is until when nothing is fetched from the engine.
	doubted time.Time
}

// SetEngines sets which engines of a service there are; what is known of those that
// stay is kept.
func (k *CacheIndex) SetEngines(service string, list []site.Upstream, e *site.Engine) {
	k.mu.Lock()
	defer k.mu.Unlock()
	there := make(map[string]bool, len(list))
	for _, u := range list {
		there[u.ID] = true
		h, ok := k.engines[u.ID]
		if !ok {
			h = &heldEngine{parts: map[PartHash]int{}}
			k.engines[u.ID] = h
		}
		h.Upstream = u
		h.hall, h.rate = u.DataHall, e.LinkRate
	}
	for id, h := range k.engines {
		if h.Service == service && !there[id] {
			k.clear(h)
			delete(k.engines, id)
		}
	}
}

// ApplyEngineUpdate takes in news of what an engine holds.
func (k *CacheIndex) ApplyEngineUpdate(c EngineCacheUpdate) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h, ok := k.engines[c.Engine]
	if !ok {
		return
	}
	h.known = h.known || c.Full // Changes alone don't tell what was held before them.
	h.heard = !c.Stale && h.known
	if c.Full {
		k.clear(h)
	}
	for _, v := range c.Changes {
		k.hold(h, v)
	}
}

// hold notes a change, also in the index of who holds a part; the caller holds mu.
func (k *CacheIndex) hold(h *heldEngine, c EngineCacheChange) {
	holders := k.holders[c.Part]
	at := slices.Index(holders, h)
	switch {
	case c.Tokens > 0:
		h.parts[c.Part] = c.Tokens
		if at < 0 {
			k.holders[c.Part] = append(holders, h)
		}
		return
	case at < 0:
		return
	case len(holders) == 1:
		delete(k.holders, c.Part)
	default:
		k.holders[c.Part] = slices.Delete(holders, at, at+1)
	}
	delete(h.parts, c.Part)
}

// clear forgets all that an engine holds; the caller holds mu.
func (k *CacheIndex) clear(h *heldEngine) {
	for part := range maps.Clone(h.parts) {
		k.hold(h, EngineCacheChange{Part: part})
	}
}

// EngineContents lists all that an engine is known to hold, for other nodes to hear.
func (k *CacheIndex) EngineContents(id string) EngineCacheUpdate {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := EngineCacheUpdate{Engine: id, Full: true, Stale: true}
	if h, ok := k.engines[id]; ok {
		c.Stale = !h.heard
		for part, tokens := range h.parts {
			c.Changes = append(c.Changes, EngineCacheChange{Part: part, Tokens: tokens})
		}
	}
	return c
}

// AvoidEngine has nothing fetched from an engine for a while: it was not reached, or
// its answer was lost, and a dead one costs whoever fetches from it more than reading
// does.
func (k *CacheIndex) AvoidEngine(id string, until time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h, ok := k.engines[id]; ok && until.After(h.doubted) {
		h.doubted = until
	}
}

// gives says whether a part can be fetched from an engine to another.
func (h *heldEngine) gives(part PartHash, tokens int, now time.Time) bool {
	return h.heard && !h.Draining && !h.Evacuated && !now.Before(h.doubted) && h.parts[part] >= tokens
}

// ResetEngine forgets what an engine held: it has started anew, and holds nothing of before.
func (k *CacheIndex) ResetEngine(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h, ok := k.engines[id]; ok {
		k.clear(h)
	}
}

// RecordPrefill notes that an engine has read, or fetched, the shared parts of a prompt, so
// that the next prompt needn't wait for the engine's own word.
func (k *CacheIndex) RecordPrefill(id, realm string, shared []site.Part) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h, ok := k.engines[id]
	if !ok || !h.heard {
		return
	}
	for _, part := range shared {
		if part.Tokens > 0 {
			k.hold(h, EngineCacheChange{Part: HashPart(realm, part.ID), Tokens: part.Tokens})
		}
	}
}
