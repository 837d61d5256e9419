package route

import (
	"slices"
	"time"
)

// WeightVersion is a version of a model's weights, and when this node learned of it.
type WeightVersion struct {
	Version int64
	Since   time.Time
}

// WeightHistory lists versions of a model's weights, oldest first. It is never changed, so it may be
// read without a lock.
type WeightHistory []WeightVersion

// maxWeightHistory is how many versions are kept.
const maxWeightHistory = 9

// With returns the history with another version; ok is false if it isn't newer than all others.
func (h WeightHistory) With(v WeightVersion) (longer WeightHistory, ok bool) {
	if v.Version <= h.Newest().Version {
		return h, false
	}
	longer = append(slices.Clone(h), v)
	return longer[max(0, len(longer)-maxWeightHistory):], true
}

// Newest returns the newest version, zero for none.
func (h WeightHistory) Newest() (v WeightVersion) {
	if len(h) > 0 {
		v = h[len(h)-1]
	}
	return v
}

// Before returns the newest version known at a time, 0 for none.
func (h WeightHistory) Before(at time.Time) int64 {
	for _, v := range slices.Backward(h) {
		if !v.Since.After(at) {
			return v.Version
		}
	}
	return 0
}

// ReplacedAt returns when the first version after the given one became known, zero if there is none.
func (h WeightHistory) ReplacedAt(version int64) (replaced time.Time) {
	for _, v := range slices.Backward(h) {
		if v.Version <= version {
			break
		}
		replaced = v.Since
	}
	return replaced
}
