package route

import (
	"math"
	"time"
)

const (
	// trafficMemory is how fast the use of parts is forgotten.
	trafficMemory = 3 * time.Second
	// trafficParts bounds the parts that are remembered.
	trafficParts = 50_000
	// trafficLeast is the use below which a part is forgotten when there are
	// too many.
	trafficLeast = 0.2
)

// traffic is what this node sees of the use of parts. All nodes see much the
// same, so it stands for all.
type traffic struct {
	parts map[partKey]*decaying
	// tokens are those of all prompts, which push each other out of replicas.
	tokens decaying
}

// decaying is a count that is forgotten over trafficMemory.
type decaying struct {
	n  float64
	at time.Time
}

func (d *decaying) add(n float64, now time.Time) { d.n, d.at = d.now(now)+n, now }

func (d *decaying) now(now time.Time) float64 {
	return d.n * math.Exp(-max(0, now.Sub(d.at).Seconds()/trafficMemory.Seconds()))
}

func newTraffic() *traffic { return &traffic{parts: map[partKey]*decaying{}} }

// note takes in the use of a part.
func (t *traffic) note(key partKey, tokens int, now time.Time) {
	d, ok := t.parts[key]
	if !ok {
		if len(t.parts) >= trafficParts {
			t.prune(now)
		}
		d = &decaying{}
		t.parts[key] = d
	}
	t.tokens.add(float64(tokens)*(1-t.held(key, heldCapacity, now)), now)
	d.add(1, now)
}

// heldCapacity is only used to leave parts that are always held out of the
// tokens that push others out; its size hardly matters.
const heldCapacity = 40_000

func (t *traffic) prune(now time.Time) {
	for key, d := range t.parts {
		if d.now(now) < trafficLeast {
			delete(t.parts, key)
		}
	}
}

// held is the chance that a replica of a capacity in tokens still has a part: it
// keeps a part for as long as it takes other tokens to fill it, and the part is
// used there by chance. How many nodes and replicas there are cancels out.
func (t *traffic) held(key partKey, capacity int, now time.Time) float64 {
	d, ok := t.parts[key]
	if !ok {
		return 0
	}
	uses := d.now(now) * float64(capacity) / max(1, t.tokens.now(now))
	return 1 - math.Exp(-uses)
}

// often says whether a part is used so often that it should be kept at a fast
// store too.
func (t *traffic) often(key partKey, now time.Time) bool {
	d, ok := t.parts[key]
	return ok && d.now(now) >= oftenUses
}

// oftenUses is how often a part must lately have been used by this node to be
// copied to another store.
const oftenUses = 3
