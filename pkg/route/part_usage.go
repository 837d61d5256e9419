package route

import (
	"math"
	"time"
)

const (
	// usageDecay is the time constant with which counted uses decay.
	usageDecay = 3 * time.Second
	// maxTrackedParts is the number of parts from which rarely used ones are removed.
	maxTrackedParts = 50_000
	// minTrackedUses is the decayed number of uses below which a part is removed
	// when there are too many.
	minTrackedUses = 0.2
)

// partUsage counts how often parts are used by this node's prompts. The usage at
// other nodes is assumed to be similar.
type partUsage struct {
	parts map[partKey]*decayingCount
	// totalTokens counts the tokens that replicas have to add to their caches, where they
	// evict others.
	totalTokens decayingCount
}

// decayingCount is a count that decays with the time constant usageDecay.
type decayingCount struct {
	value float64
	at    time.Time
}

func (d *decayingCount) add(n float64, now time.Time) { d.value, d.at = d.valueAt(now)+n, now }

func (d *decayingCount) valueAt(now time.Time) float64 {
	return d.value * math.Exp(-max(0, now.Sub(d.at).Seconds()/usageDecay.Seconds()))
}

func newPartUsage() *partUsage { return &partUsage{parts: map[partKey]*decayingCount{}} }

// record counts one use of a part.
func (u *partUsage) record(key partKey, tokens int, now time.Time) {
	d, ok := u.parts[key]
	if !ok {
		if len(u.parts) >= maxTrackedParts {
			u.prune(now)
		}
		d = &decayingCount{}
		u.parts[key] = d
	}
	u.totalTokens.add(float64(tokens)*(1-u.cachedProbability(key, assumedCapacity, now)), now)
	d.add(1, now)
}

// assumedCapacity is the engine capacity, in tokens, from which record estimates whether a
// part is cached already and so adds nothing to totalTokens; its exact size hardly matters.
const assumedCapacity = 40_000

func (u *partUsage) prune(now time.Time) {
	for key, d := range u.parts {
		if d.valueAt(now) < minTrackedUses {
			delete(u.parts, key)
		}
	}
}

// cachedProbability is the probability that a replica with the given capacity in
// tokens still holds a part. A replica evicts a part once it has added as many
// other tokens as it can hold, and uses of the part reach the replicas at random; the
// numbers of nodes and replicas cancel out.
func (u *partUsage) cachedProbability(key partKey, capacity int, now time.Time) float64 {
	d, ok := u.parts[key]
	if !ok {
		return 0
	}
	uses := d.valueAt(now) * float64(capacity) / max(1, u.totalTokens.valueAt(now))
	return 1 - math.Exp(-uses)
}

// frequentlyUsed reports whether a part is used so often that a copy at a faster store
// is worth making.
func (u *partUsage) frequentlyUsed(key partKey, now time.Time) bool {
	d, ok := u.parts[key]
	return ok && d.valueAt(now) >= frequentUses
}

// frequentUses is the decayed number of uses at this node from which a part is
// copied to a faster store.
const frequentUses = 3
