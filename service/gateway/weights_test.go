package gateway

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/route"
)

const testWeightsTerm = 10 * time.Second

func newWeightsState() *SiteState {
	st := NewSiteState(nil, "h", time.Second, route.NewCacheIndex(), slog.New(slog.DiscardHandler))
	st.weightsTerm = testWeightsTerm
	return st
}

// A node that has not read the operator's table for a while took weights for new when it read them at last.
func TestWeightsHeardLateAreNotTakenForNew(t *testing.T) {
	now := time.Now()
	before := func(d time.Duration) time.Time { return now.Add(-d) }
	for _, tc := range []struct {
		name              string
		read, unreachable time.Time
		want              route.WeightVersion
	}{
		{name: "in_time", read: before(time.Second), want: route.WeightVersion{Version: 2, Since: now, Heard: now}},
		{name: "stood_still_briefly", read: before(2 * time.Second), want: route.WeightVersion{Version: 2, Since: before(2 * time.Second), Heard: now, Estimated: true}},
		{name: "stood_still", read: before(5 * time.Second), want: route.WeightVersion{Version: 2, Since: before(5 * time.Second), Heard: now, Estimated: true}},
		{name: "stood_still_for_long", read: before(time.Minute), want: route.WeightVersion{Version: 2, Since: before(testWeightsTerm * 3 / 4), Heard: now, Estimated: true}},
		{name: "started", want: route.WeightVersion{Version: 2, Since: before(testWeightsTerm * 3 / 4), Heard: now, Estimated: true}},
		{name: "started_unreachable", unreachable: before(time.Second), want: route.WeightVersion{Version: 2, Since: before(testWeightsTerm * 3 / 4), Heard: now, Estimated: true}},
		{name: "unreachable", read: before(6 * time.Second), unreachable: before(time.Second), want: route.WeightVersion{Version: 2, Since: before(time.Second), Heard: now, Estimated: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			st := newWeightsState()
			if !tc.read.IsZero() {
				st.MarkOperatorRead(tc.read)
			}
			if !tc.unreachable.IsZero() {
				st.MarkOperatorUnreachable(tc.unreachable.Add(-time.Second), tc.unreachable.Add(-time.Second))
				st.MarkOperatorUnreachable(tc.unreachable, tc.unreachable)
			}
			st.hearWeights("m", 2, false, now)
			if tc.want.Estimated {
				tc.want.Earliest = tc.read
			}
			assert.DeepEqual(t, st.WeightHistory("m"), route.WeightHistory{tc.want})
		})
	}
}

// Nodes that had heard of weights at different times used the old ones until different times.
func TestNodesAgreeOnTheOldestAgeOfWeights(t *testing.T) {
	early, late, started := newWeightsState(), newWeightsState(), newWeightsState()
	named := time.Now()
	early.MarkOperatorRead(named)
	early.hearWeights("m", 2, false, named)
	early.hearWeights("m", 3, false, named.Add(time.Second))
	heard := named.Add(4 * time.Second)
	late.MarkOperatorRead(heard)
	late.hearWeights("m", 3, false, heard)
	started.hearWeights("m", 3, true, heard)
	for _, st := range []*SiteState{late, started} {
		early.learnWeightAges(st.recentWeightAges(heard), heard)
		st.learnWeightAges(early.recentWeightAges(heard), heard)
		h := st.WeightHistory("m")
		assert.Equal(t, len(h), 2, "the version between is known")
		assert.Assert(t, h[0].Since.Sub(named).Abs() < time.Millisecond)
		assert.Assert(t, h[1].Since.Sub(named.Add(time.Second)).Abs() < time.Millisecond)
		assert.Assert(t, !h[1].Estimated)
	}
	assert.Equal(t, early.WeightHistory("m").Newest().Since, named.Add(time.Second), "an estimate and a later time change nothing")
	assert.Equal(t, len(early.recentWeightAges(named.Add(weightAgeTerms*testWeightsTerm+2*time.Second))), 0, "notes don't grow for good")
	assert.Equal(t, len(early.allWeightAges(named.Add(time.Hour))), 2, "a node that starts is told all")
}

// Ages that other nodes tell may be invalid.
func TestInvalidAgesOfWeightsAreIgnored(t *testing.T) {
	st, now := newWeightsState(), time.Now()
	st.learnWeightAges([]weightAge{{}, {Model: "m", Version: 1, AgeMS: 5}, {Model: "m", Version: 2, AgeMS: -1}, {Version: 2}}, now)
	assert.Equal(t, len(st.allWeights()), 0)
	st.learnWeightAges([]weightAge{{Model: "m", Version: 2, AgeMS: 1 << 62}}, now)
	assert.Equal(t, st.WeightHistory("m").Newest().Since, now.Add(-maxWeightAge))
}

// A node that had heard neither of two versions was told only the one that was named lately, and used the weights before
// the other for its whole term.
func TestVersionNamedLongAgoIsToldWithANewOne(t *testing.T) {
	knows, late := newWeightsState(), newWeightsState()
	now := time.Now()
	for version, age := range map[int64]time.Duration{2: (weightAgeTerms + 1) * testWeightsTerm, 3: time.Second} {
		knows.MarkOperatorRead(now.Add(-age))
		knows.hearWeights("m", version, false, now.Add(-age))
	}
	late.learnWeightAges(knows.recentWeightAges(now), now)
	assert.Equal(t, late.WeightHistory("m").Before(now.Add(-testWeightsTerm)), int64(2))
}

// A call may fail only because its connection had ended while the process was stopped.
func TestOneFailedCallDoesNotTellThatTheStoreWasUnreachable(t *testing.T) {
	st, now := newWeightsState(), time.Now()
	st.MarkOperatorRead(now.Add(-5 * time.Second))
	st.MarkOperatorUnreachable(now.Add(-10*time.Millisecond), now.Add(-time.Millisecond))
	st.hearWeights("m", 2, false, now)
	assert.Equal(t, st.WeightHistory("m").Newest().Since, now.Add(-5*time.Second))
}

// A node that sees the change itself knows better than one that had started and told an estimate just before.
func TestChangeThatIsSeenReplacesToldEstimate(t *testing.T) {
	st, now := newWeightsState(), time.Now()
	st.MarkOperatorRead(now.Add(-time.Second))
	st.learnWeightAges([]weightAge{{Model: "m", Version: 2, AgeMS: 7500, Estimated: true}}, now.Add(-time.Millisecond))
	st.hearWeights("m", 2, true, now)
	assert.Assert(t, st.WeightHistory("m").Newest().Estimated, "a listing does not tell")
	st.hearWeights("m", 2, false, now)
	assert.Equal(t, st.WeightHistory("m").Newest().Since, now)
	assert.Assert(t, !st.WeightHistory("m").Newest().Estimated)
}

// Weights that the operator's table names again are not new.
func TestRowWrittenAgainDoesNotRenewTheTerm(t *testing.T) {
	st, now := newWeightsState(), time.Now()
	st.hearWeights("m", 2, true, now)
	later := now.Add(5 * time.Second)
	st.MarkOperatorRead(later)
	st.hearWeights("m", 2, false, later)
	assert.Equal(t, st.WeightHistory("m").Newest().Since, now.Add(-testWeightsTerm*3/4))
}

// A node that could not read the operator's table took parts that were completed since weights may have been named for
// parts of the weights before.
func TestPartsCompletedWhileWeightsMayHaveBeenNamedAreNotUsed(t *testing.T) {
	now := time.Now()
	st := newWeightsState()
	lastRead, completed, lastFailure := now.Add(-6*time.Second), now.Add(-3*time.Second), now.Add(-time.Second)
	st.MarkOperatorRead(lastRead)
	st.MarkOperatorUnreachable(completed, completed)
	st.MarkOperatorUnreachable(lastFailure, lastFailure)
	st.hearWeights("m", 2, false, now)
	assert.Equal(t, st.WeightHistory("m").ReplacedAt(1), lastFailure)
	assert.Assert(t, completed.After(st.WeightHistory("m").MayBeReplacedAt(1)))
	st.learnWeightAges([]weightAge{{Model: "m", Version: 2, AgeMS: 2000}}, now)
	assert.Equal(t, st.WeightHistory("m").MayBeReplacedAt(1), now.Add(-2*time.Second), "another node knows")
}

// A note had only the newest versions of the model that did not fit, so its reader took older ones for replaced later than they were.
func TestNotesTellAllRecentVersionsOfAModel(t *testing.T) {
	st, now := newWeightsState(), time.Now()
	st.MarkOperatorRead(now)
	for _, model := range []string{"m", "n"} {
		for version := range int64(8) {
			st.hearWeights(model, version+2, false, now)
		}
	}
	told := map[string]bool{}
	for range 200 {
		list := st.recentWeightAges(now)
		assert.Equal(t, len(list), 8)
		told[list[0].Model] = true
		fresh := newWeightsState()
		fresh.learnWeightAges(list, now)
		assert.Equal(t, len(fresh.WeightHistory(list[0].Model)), 8)
	}
	assert.Equal(t, len(told), 2)
}
