package route

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/drumpath/drumpath/pkg/site"
)

// PartHash identifies a part in a realm wherever the contents of engines are stored or
// sent: engines hold many parts, and eight bytes are a tenth of a part's name.
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

// EngineCacheChange is a change of how much of a part an engine holds: Tokens is the
// new amount, 0 for none.
type EngineCacheChange struct {
	Part   PartHash
	Tokens int
}

// EngineCacheUpdate is an update of what one engine holds.
type EngineCacheUpdate struct {
	Engine string
	// Stale is set if the engine's events can't be received: what is known of its
	// cache must not be used until they can be again.
	Stale bool
	// Full is set if the changes list everything that the engine holds, and replace
	// what was known before.
	Full    bool
	Changes []EngineCacheChange
}

// indexedEngine is what this node knows of the contents of one engine, from the engine's
// own events, some hundred milliseconds old.
type indexedEngine struct {
	site.Upstream
	fetchLink
	fresh            bool             // Set while the engine's events are being received.
	snapshotReceived bool             // A full update has arrived.
	parts            map[PartHash]int // Tokens held.
	// avoidUntil is when parts may be fetched from the engine again.
	avoidUntil time.Time
}

// SetEngines sets the list of a service's engines. Contents of engines that stay are kept.
func (x *CacheIndex) SetEngines(service string, list []site.Upstream, profile *site.Engine) {
	x.mu.Lock()
	defer x.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, u := range list {
		listed[u.ID] = true
		h, ok := x.engines[u.ID]
		if !ok {
			h = &indexedEngine{parts: map[PartHash]int{}}
			x.engines[u.ID] = h
		}
		h.Upstream = u
		h.hall, h.rate = u.DataHall, profile.LinkRate
	}
	for id, h := range x.engines {
		if h.Service == service && !listed[id] {
			x.forgetParts(h)
			delete(x.engines, id)
		}
	}
}

// ApplyEngineUpdate applies an update of what an engine holds.
func (x *CacheIndex) ApplyEngineUpdate(c EngineCacheUpdate) {
	x.mu.Lock()
	defer x.mu.Unlock()
	h, ok := x.engines[c.Engine]
	if !ok {
		return
	}
	h.snapshotReceived = h.snapshotReceived || c.Full // Without a full update the earlier contents are unknown.
	h.fresh = !c.Stale && h.snapshotReceived
	if c.Full {
		x.forgetParts(h)
	}
	for _, v := range c.Changes {
		x.recordCachedPart(h, v)
	}
}

// recordCachedPart applies a change to an engine and to holders; the caller holds mu.
func (x *CacheIndex) recordCachedPart(h *indexedEngine, c EngineCacheChange) {
	holders := x.holders[c.Part]
	position := slices.Index(holders, h)
	switch {
	case c.Tokens > 0:
		h.parts[c.Part] = c.Tokens
		if position < 0 {
			x.holders[c.Part] = append(holders, h)
		}
		return
	case position < 0:
		return
	case len(holders) == 1:
		delete(x.holders, c.Part)
	default:
		x.holders[c.Part] = slices.Delete(holders, position, position+1)
	}
	delete(h.parts, c.Part)
}

// forgetParts removes all parts of an engine; the caller holds mu.
func (x *CacheIndex) forgetParts(h *indexedEngine) {
	for part := range maps.Clone(h.parts) {
		x.recordCachedPart(h, EngineCacheChange{Part: part})
	}
}

// EngineContents lists all that an engine is known to hold, to be sent to other nodes.
func (x *CacheIndex) EngineContents(id string) EngineCacheUpdate {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := EngineCacheUpdate{Engine: id, Full: true, Stale: true}
	if h, ok := x.engines[id]; ok {
		c.Stale = !h.fresh
		for part, tokens := range h.parts {
			c.Changes = append(c.Changes, EngineCacheChange{Part: part, Tokens: tokens})
		}
	}
	return c
}

// AvoidEngine stops fetches from an engine for a while after it could not be reached or
// its answer was lost: a fetch from a dead engine costs more than prefilling.
func (x *CacheIndex) AvoidEngine(id string, until time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if h, ok := x.engines[id]; ok && until.After(h.avoidUntil) {
		h.avoidUntil = until
	}
}

// canServe reports whether another engine can fetch a part from this one.
func (h *indexedEngine) canServe(part PartHash, tokens int, now time.Time) bool {
	return h.fresh && !h.Draining && !h.Evacuated && !now.Before(h.avoidUntil) && h.parts[part] >= tokens
}

// ResetEngine removes all parts of an engine that has restarted.
func (x *CacheIndex) ResetEngine(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if h, ok := x.engines[id]; ok {
		x.forgetParts(h)
	}
}

// RecordPrefill records that an engine has prefilled or fetched the shared parts of a
// prompt, so that they are known before the engine's own event arrives.
func (x *CacheIndex) RecordPrefill(id, realm string, shared []site.Part) {
	x.mu.Lock()
	defer x.mu.Unlock()
	h, ok := x.engines[id]
	if !ok || !h.fresh {
		return
	}
	for _, part := range shared {
		if part.Tokens > 0 {
			x.recordCachedPart(h, EngineCacheChange{Part: HashPart(realm, part.ID), Tokens: part.Tokens})
		}
	}
}
