package route

import (
	"cmp"
	"slices"
	"time"
)

// WeightVersion is a version of a model's weights, and when it was named.
type WeightVersion struct {
	Version int64
	// Since is when it was named, as far as this node knows. The time for which older versions may be used is counted
	// from then.
	Since time.Time
	// Estimated means that nobody who could be asked knows that, and that Since is an estimate.
	Estimated bool
	// Earliest is when it may have been named at the earliest, if that is before an estimate; zero otherwise.
	Earliest time.Time
	// Heard is when this node heard of it.
	Heard time.Time
}

// minAgeDifference is by how much two times at which a version was named must differ: nodes hear of it some
// milliseconds apart.
const minAgeDifference = 50 * time.Millisecond

// improvedBy reports whether another node's knowledge of the version is better: it knows what this one
// estimates, or an earlier time.
func (v *WeightVersion) improvedBy(other *WeightVersion) bool {
	if v.Estimated != other.Estimated {
		return v.Estimated
	}
	return other.Since.Before(v.Since.Add(-minAgeDifference))
}

// EstimateNaming returns the time from which a version counts as named if nobody knows it: the last quarter of the time
// for which older versions may be used is left from when a node heard of the version. So old weights go out of use
// soon, but replicas have time to load the new ones before all prompts are refused. The version was not there when
// the node last looked, at notBefore, which is zero for a node that has not looked before.
func EstimateNaming(heard, notBefore time.Time, term time.Duration) time.Time {
	estimate := heard.Add(-term * 3 / 4)
	if estimate.Before(notBefore) {
		return notBefore
	}
	return estimate
}

// WeightHistory lists versions of a model's weights, oldest first. It is never changed, so it may be
// read without a lock.
type WeightHistory []WeightVersion

// maxWeightHistory is how many versions are kept.
const maxWeightHistory = 9

// longAgo is when versions count as replaced that are older than a full history.
var longAgo = time.Unix(0, 0)

// isForgotten reports whether the versions that replaced the given one may have been dropped.
func (h WeightHistory) isForgotten(version int64) bool {
	return len(h) == maxWeightHistory && version < h[0].Version
}

// Find returns what is known of a version.
func (h WeightHistory) Find(version int64) (v WeightVersion, ok bool) {
	i, ok := h.index(version)
	if ok {
		v = h[i]
	}
	return v, ok
}

func (h WeightHistory) index(version int64) (i int, ok bool) {
	return slices.BinarySearchFunc(h, version, func(v WeightVersion, version int64) int { return cmp.Compare(v.Version, version) })
}

// With returns the history with what another source knows of a version; changed is false if that adds nothing. Of two
// times at which a version was named the earlier one holds.
func (h WeightHistory) With(v WeightVersion) (next WeightHistory, changed bool) {
	i, known := h.index(v.Version)
	if known && !h[i].improvedBy(&v) || !known && i == 0 && len(h) == maxWeightHistory {
		return h, false
	}
	next = slices.Clone(h)
	if known {
		next[i].Since, next[i].Earliest, next[i].Estimated = v.Since, v.Earliest, v.Estimated
	} else {
		next = slices.Insert(next, i, v)
	}
	next.orderTimes()
	return next[max(0, len(next)-maxWeightHistory):], true
}

// orderTimes corrects times that contradict the order of the versions: an estimate is not before the time of an older
// version, and no version was named after a newer one.
func (h WeightHistory) orderTimes() {
	var known time.Time // The latest naming that is known of the versions so far.
	for i := range h {
		switch {
		case !h[i].Estimated && h[i].Since.After(known):
			known = h[i].Since
		case h[i].Estimated && h[i].Since.Before(known):
			h[i].Since = known
		}
	}
	for i := len(h) - 2; i >= 0; i-- {
		if h[i].Since.After(h[i+1].Since) {
			h[i].Since = h[i+1].Since
		}
	}
}

// Newest returns the newest version, zero for none.
func (h WeightHistory) Newest() (v WeightVersion) {
	if len(h) > 0 {
		v = h[len(h)-1]
	}
	return v
}

// Before returns the newest version that was named at a time, 0 for none.
func (h WeightHistory) Before(at time.Time) int64 {
	for _, v := range slices.Backward(h) {
		if !v.Since.After(at) {
			return v.Version
		}
	}
	return 0
}

// ReplacedAt returns when the first version after the given one was named, zero if there is none.
func (h WeightHistory) ReplacedAt(version int64) (replaced time.Time) {
	if h.isForgotten(version) {
		return longAgo
	}
	for _, v := range slices.Backward(h) {
		if v.Version <= version {
			break
		}
		replaced = v.Since
	}
	return replaced
}

// ReplacedAfter returns a time after which the first version after the given one was named, zero if none is known; replaced is
// false if there is no such version.
func (h WeightHistory) ReplacedAfter(version int64) (at time.Time, replaced bool) {
	if h.isForgotten(version) {
		return longAgo, true
	}
	for _, v := range h {
		if v.Version > version {
			if v.Estimated {
				return v.Earliest, true
			}
			return v.Since, true
		}
	}
	return at, false
}

// MayBeReplacedAt returns when the first version after the given one may have been named at the earliest, zero if there is
// none. What was made before that was made with the given version.
func (h WeightHistory) MayBeReplacedAt(version int64) (replaced time.Time) {
	if h.isForgotten(version) {
		return longAgo
	}
	for _, v := range h {
		if v.Version <= version {
			continue
		}
		if replaced.IsZero() || v.Since.Before(replaced) {
			replaced = v.Since
		}
		if !v.Earliest.IsZero() && v.Earliest.Before(replaced) {
			replaced = v.Earliest
		}
	}
	return replaced
}
