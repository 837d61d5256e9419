package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// What sources know may come in any order, and twice.
func TestWeightHistoryDoesNotDependOnTheOrderOfNews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Now()
		// Versions are named in order, and each source hears of some of them later.
		var news []WeightVersion
		for version := range int64(4) {
			named := start.Add(time.Duration(version) * time.Second)
			for range rapid.IntRange(0, 3).Draw(t, "sources") {
				late := time.Duration(rapid.IntRange(0, 20).Draw(t, "late")) * 100 * time.Millisecond
				news = append(news, WeightVersion{Version: version + 2, Since: named.Add(late), Heard: start})
			}
		}
		var h, again WeightHistory
		for _, v := range news {
			h, _ = h.With(v)
		}
		for _, v := range rapid.Permutation(news).Draw(t, "order") {
			again, _ = again.With(v)
			for i := 1; i < len(again); i++ {
				if again[i].Version <= again[i-1].Version || again[i].Since.Before(again[i-1].Since) {
					t.Fatalf("not in order: %v", again)
				}
			}
		}
		for i := range h {
			if h[i].Version != again[i].Version || h[i].Since.Sub(again[i].Since).Abs() > minAgeDifference {
				t.Fatalf("%v differs from %v", h, again)
			}
		}
	})
}

func TestKnownAgeReplacesEstimate(t *testing.T) {
	now := time.Now()
	known := WeightVersion{Version: 3, Since: now.Add(-2 * time.Second), Heard: now}
	estimate := WeightVersion{Version: 3, Since: now.Add(-8 * time.Second), Heard: now, Estimated: true}
	h, _ := WeightHistory{}.With(estimate)
	h, changed := h.With(known)
	assert.Assert(t, changed)
	assert.Equal(t, h.Newest().Since, known.Since)
	_, changed = h.With(estimate)
	assert.Assert(t, !changed)
	earlier := known
	earlier.Since = earlier.Since.Add(-time.Second)
	h, changed = h.With(earlier)
	assert.Assert(t, changed)
	assert.Equal(t, h.Newest().Since, earlier.Since)
	_, changed = h.With(known)
	assert.Assert(t, !changed, "the older age holds")
}

// An estimate for a version is not before the naming of an older one that is known.
func TestEstimateIsNotBeforeOlderVersion(t *testing.T) {
	now := time.Now()
	h, _ := WeightHistory{}.With(WeightVersion{Version: 2, Since: now.Add(-3 * time.Second), Heard: now})
	h, _ = h.With(WeightVersion{Version: 3, Since: now.Add(-8 * time.Second), Heard: now, Estimated: true})
	assert.Equal(t, h.ReplacedAt(1), now.Add(-3*time.Second))
	assert.Equal(t, h.ReplacedAt(2), now.Add(-3*time.Second))
}

func TestWeightHistoryIsBounded(t *testing.T) {
	now := time.Now()
	var h WeightHistory
	for version := range int64(3 * maxWeightHistory) {
		h, _ = h.With(WeightVersion{Version: version + 1, Since: now, Heard: now})
	}
	assert.Equal(t, len(h), maxWeightHistory)
	assert.Equal(t, h.Newest().Version, int64(3*maxWeightHistory))
	_, changed := h.With(WeightVersion{Version: 1, Since: now, Heard: now})
	assert.Assert(t, !changed)
}

// Estimates for two newer versions moved the naming of an older one that was known.
func TestEstimatesDoNotMoveKnownNaming(t *testing.T) {
	now := time.Now()
	before := func(d time.Duration) time.Time { return now.Add(-d) }
	h, _ := WeightHistory{}.With(WeightVersion{Version: 2, Since: before(2500 * time.Millisecond), Heard: now})
	h, _ = h.With(WeightVersion{Version: 3, Since: before(8 * time.Second), Heard: now, Estimated: true})
	h, _ = h.With(WeightVersion{Version: 4, Since: before(7500 * time.Millisecond), Heard: now, Estimated: true})
	assert.Equal(t, h.ReplacedAt(1), before(2500*time.Millisecond))
}

// A version counted as replaced by the oldest one that was kept, so later than it was.
func TestVersionsOlderThanTheHistoryAreReplacedLongAgo(t *testing.T) {
	now := time.Now()
	var h WeightHistory
	for version := range int64(maxWeightHistory) {
		h, _ = h.With(WeightVersion{Version: version + 2, Since: now, Heard: now})
	}
	assert.Equal(t, h.ReplacedAt(1), longAgo)
	h, _ = h.With(WeightVersion{Version: maxWeightHistory + 2, Since: now, Heard: now})
	for _, version := range []int64{1, 2} {
		assert.Equal(t, h.ReplacedAt(version), longAgo)
		assert.Equal(t, h.MayBeReplacedAt(version), longAgo)
		at, replaced := h.ReplacedAfter(version)
		assert.Assert(t, replaced)
		assert.Equal(t, at, longAgo)
	}
	assert.Equal(t, h.ReplacedAt(3), now)
	assert.Equal(t, h.MayBeReplacedAt(3), now)
}
