package canary

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/drumpath/drumpath/pkg/site"
)

// A share of requests is the same set at all nodes, and a larger share contains a smaller one.
func TestRequestsOfASmallerShareAreInALargerOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.String().Draw(t, "id")
		small, large := rapid.Float64Range(0, 1).Draw(t, "a"), rapid.Float64Range(0, 1).Draw(t, "b")
		if small > large {
			small, large = large, small
		}
		assert.Assert(t, !UsesNewVersion(id, small) || UsesNewVersion(id, large))
		assert.Assert(t, !UsesNewVersion(id, 0) && UsesNewVersion(id, 1))
	})
}

// The stages before the last one stay within the allowed share of all requests, however long the
// roll-out takes.
func TestStagesStayWithinTheAllowedShare(t *testing.T) {
	for _, allowed := range []float64{0.02, 0.1, 0.3} {
		const duration = 1000
		sum := 0.0
		for at := range duration {
			if i := stageAt(time.Duration(at), duration); i < len(stages)-1 {
				sum += ShareOf(i, Limits{Share: allowed}) / duration
			}
		}
		assert.Assert(t, sum < 0.9*allowed, "%g of %g", sum, allowed)
	}
	assert.Equal(t, ShareOf(StageHalted, Limits{Share: 0.1}), 0.0)
	assert.Equal(t, ShareOf(len(stages)-1, Limits{Share: 0.1}), 1.0)
}

func TestDurationsSurviveEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Durations
		for range rapid.IntRange(0, 5).Draw(t, "counts") {
			d[rapid.IntRange(0, durationBuckets-1).Draw(t, "bucket")] = rapid.IntRange(0, 1000).Draw(t, "count")
		}
		text, err := json.Marshal(d)
		assert.NilError(t, err)
		var got Durations
		assert.NilError(t, json.Unmarshal(text, &got))
		assert.Equal(t, got, d)
	})
	var d Durations
	for _, text := range []string{`[-1,2]`, `[30,1,2]`, `{}`, `[1,"x"]`} {
		assert.Assert(t, json.Unmarshal([]byte(text), &d) != nil, "%s", text)
	}
	assert.Equal(t, bucketOf(time.Hour), durationBuckets-1)
	assert.Equal(t, bucketOf(0), 0)
}

// What was decided once stays, and a roll-out is not completed while requests are in flight at
// the replicas that stop then.
func TestDecisionsStay(t *testing.T) {
	order := site.RolloutOrder{Duration: 10 * time.Second}
	c := NewController(order)
	d := c.Step(&Report{Elapsed: 8300 * time.Millisecond, OldInFlight: 1})
	assert.Assert(t, !d.State.Final() && ShareOf(d.Stage, Limits{Share: 0.1}) == 1)
	d = c.Step(&Report{Elapsed: 8500 * time.Millisecond})
	assert.Equal(t, d.State, site.RolloutCompleted)
	d = c.Step(&Report{Elapsed: time.Second, OldInFlight: 5})
	assert.Equal(t, d.State, site.RolloutCompleted)
	late := NewController(order)
	assert.Equal(t, late.Step(&Report{Elapsed: 9700 * time.Millisecond, OldInFlight: 3}).State, site.RolloutCompleted)

	bad := Stats{}
	for range 200 {
		bad.Add(&Outcome{Route: "r", Arm: ArmOld, FirstByte: 20 * time.Millisecond})
		bad.Add(&Outcome{Route: "r", Arm: ArmNew, Failed: true})
	}
	c = NewController(order)
	d = c.Step(&Report{Elapsed: time.Second, Total: bad})
	assert.Equal(t, d.State, site.RolloutRolledBack)
	assert.Equal(t, d.Stage, StageHalted)
	assert.Assert(t, d.Why != "")
	d = c.Step(&Report{Elapsed: 9 * time.Second})
	assert.Equal(t, d.State, site.RolloutRolledBack)
}

// Without answers of the old version there is nothing to compare with.
func TestNoVerdictWithoutAnswersOfTheOldVersion(t *testing.T) {
	d := NewDetector()
	s := Stats{}
	for range 100 {
		s.Add(&Outcome{Route: "r", Arm: ArmNew, Failed: true})
	}
	bad, _ := d.Observe(s)
	assert.Assert(t, !bad)
}
