package gateway

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/route"
)

// packedCacheUpdate is the wire form of route.EngineCacheUpdate, as nodes send it to each
// other.
type packedCacheUpdate struct {
	Engine string `json:"e"`
	Stale  bool   `json:"s,omitempty"`
	Full   bool   `json:"w,omitempty"`
	// Changes holds for each change the part's hash in eight bytes and the cached tokens as a
	// varint: a tenth of the size of the engine's own JSON.
	Changes []byte `json:"c,omitempty"`
}

func packCacheUpdate(c route.EngineCacheUpdate) packedCacheUpdate {
	p := packedCacheUpdate{Engine: c.Engine, Stale: c.Stale, Full: c.Full}
	for _, v := range c.Changes {
		p.Changes = binary.BigEndian.AppendUint64(p.Changes, uint64(v.Part))
		p.Changes = binary.AppendUvarint(p.Changes, uint64(v.Tokens))
	}
	return p
}

func (p packedCacheUpdate) unpack() (route.EngineCacheUpdate, error) {
	c := route.EngineCacheUpdate{Engine: p.Engine, Stale: p.Stale, Full: p.Full}
	const hashBytes = 8
	for rest := p.Changes; len(rest) > 0; {
		if len(rest) <= hashBytes {
			return c, eris.Errorf("cache update of %s is truncated", p.Engine)
		}
		tokens, used := binary.Uvarint(rest[hashBytes:])
		if used <= 0 {
			return c, eris.Errorf("cache update of %s has a malformed token count", p.Engine)
		}
		part := route.PartHash(binary.BigEndian.Uint64(rest))
		c.Changes = append(c.Changes, route.EngineCacheChange{Part: part, Tokens: int(tokens)})
		rest = rest[hashBytes+used:]
	}
	return c, nil
}

// maxLoggedUpdates is how many updates a node keeps for its peers. A peer that asks for older
// ones gets the full contents instead.
const maxLoggedUpdates = 1024

// cacheUpdateLog holds the latest cache updates, in order, for peers that poll this node.
type cacheUpdateLog struct {
	epoch uint64 // A random number that differs after each start.

	mu      locks.Mutex
	entries []cacheUpdateEntry
	next    uint64 // Sequence number of the next entry.
	changed chan struct{}
}

type cacheUpdateEntry struct {
	engine rankedEngine
	update packedCacheUpdate
}

func newCacheUpdateLog() *cacheUpdateLog {
	return &cacheUpdateLog{epoch: rand.Uint64(), next: 1, changed: make(chan struct{})}
}

func (l *cacheUpdateLog) add(e rankedEngine, p packedCacheUpdate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, cacheUpdateEntry{engine: e, update: p})
	if len(l.entries) > maxLoggedUpdates {
		l.entries = slices.Clone(l.entries[len(l.entries)-maxLoggedUpdates/2:])
	}
	l.next++
	close(l.changed)
	l.changed = make(chan struct{})
}

// skip advances the sequence for an update that no peer is polling for, and drops the log.
func (l *cacheUpdateLog) skip() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = nil
	l.next++
}

// since lists the updates from q.From on that q asks for; ok is false if the log no longer
// reaches back that far. changed is closed at the next update.
func (l *cacheUpdateLog) since(q cacheUpdatesRequest) (updates []packedCacheUpdate, next uint64, changed chan struct{}, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.next - uint64(len(l.entries))
	if q.Epoch != l.epoch || q.From < first || q.From > l.next {
		return nil, l.next, l.changed, false
	}
	for _, e := range l.entries[q.From-first:] {
		if q.wants(e.engine.hall, e.engine.rank) {
			updates = append(updates, e.update)
		}
	}
	return updates, l.next, l.changed, true
}
