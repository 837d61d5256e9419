package gateway

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/route"
)

// heldNews is news of what one engine holds, as nodes tell it to each other.
type heldNews struct {
	Engine string `json:"e"`
	Silent bool   `json:"s,omitempty"`
	Whole  bool   `json:"w,omitempty"`
	// Changes has for each change the part's hash, in eight bytes, and the tokens
	// held, as a varint: a tenth of what the engine's own words take.
	Changes []byte `json:"c,omitempty"`
}

func packHeld(c route.EngineCacheUpdate) heldNews {
	n := heldNews{Engine: c.Engine, Silent: c.Stale, Whole: c.Full}
	for _, v := range c.Changes {
		n.Changes = binary.BigEndian.AppendUint64(n.Changes, uint64(v.Part))
		n.Changes = binary.AppendUvarint(n.Changes, uint64(v.Tokens))
	}
	return n
}

func (n heldNews) unpack() (route.EngineCacheUpdate, error) {
	c := route.EngineCacheUpdate{Engine: n.Engine, Stale: n.Silent, Full: n.Whole}
	const hashBytes = 8
	for rest := n.Changes; len(rest) > 0; {
		if len(rest) <= hashBytes {
			return c, eris.Errorf("news of %s cut short", n.Engine)
		}
		tokens, used := binary.Uvarint(rest[hashBytes:])
		if used <= 0 {
			return c, eris.Errorf("news of %s not understood", n.Engine)
		}
		part := route.PartHash(binary.BigEndian.Uint64(rest))
		c.Changes = append(c.Changes, route.EngineCacheChange{Part: part, Tokens: int(tokens)})
		rest = rest[hashBytes+used:]
	}
	return c, nil
}

// heldMostKept is how many news a node keeps for others. Who asks for older ones is
// told all that is held instead.
const heldMostKept = 1024

// heldLog has the latest news for nodes that ask, in order.
type heldLog struct {
	epoch uint64 // Another after each start.

	mu      sync.Mutex
	entries []heldEntry
	next    uint64 // Number of the next entry.
	changed chan struct{}
}

type heldEntry struct {
	engine rankedEngine
	news   heldNews
}

func newHeldLog() *heldLog {
	return &heldLog{epoch: rand.Uint64(), next: 1, changed: make(chan struct{})}
}

func (l *heldLog) add(e rankedEngine, n heldNews) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, heldEntry{engine: e, news: n})
	if len(l.entries) > heldMostKept {
		l.entries = slices.Clone(l.entries[len(l.entries)-heldMostKept/2:])
	}
	l.next++
	close(l.changed)
	l.changed = make(chan struct{})
}

// skip notes that there was news that nobody wants.
func (l *heldLog) skip() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = nil
	l.next++
}

// since lists the news that are asked for from a point on; ok is false if they are no
// longer kept. changed is closed at the next news.
func (l *heldLog) since(q heldRequest) (list []heldNews, next uint64, changed chan struct{}, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.next - uint64(len(l.entries))
	if q.Epoch != l.epoch || q.From < first || q.From > l.next {
		return nil, l.next, l.changed, false
	}
	for _, e := range l.entries[q.From-first:] {
		if q.wants(e.engine.hall, e.engine.rank) {
			list = append(list, e.news)
		}
	}
	return list, l.next, l.changed, true
}
