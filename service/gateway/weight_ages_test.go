package gateway

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/history"
)

// newWeightsNodes returns the nodes as one of them sees them, which knows no weights.
func newWeightsNodes(t *testing.T) *nodes {
	n := newTestNodes(3)
	n.eras = &history.Eras{}
	n.siteState = newWeightsState()
	n.canaries, _ = newTestCanaries(t)
	return n
}

// receive lets a node receive a note as JSON.
func (n *nodes) receive(t *testing.T, note any) bool {
	text, err := json.Marshal(note)
	assert.NilError(t, err)
	_, _, _, ok := n.receiveLoads(text, n.loads.byNode, func(note *loadNote) string { return note.From })
	return ok
}

// assertAge checks for how long a version is believed to be named. Times that are counted again after a suspension are
// seconds off.
func assertAge(t *testing.T, st *SiteState, version int64, want time.Duration) {
	t.Helper()
	v, ok := st.WeightHistory("m").Find(version)
	assert.Assert(t, ok, "version %d is not known", version)
	got := boottime.RefreshNow().Sub(v.Since)
	assert.Assert(t, (got-want).Abs() < time.Second, "%v instead of %v", got, want)
}

// Suspended nodes did not count the time that they slept towards the age of weights.
func TestAgesOfWeightsIncludeSuspensions(t *testing.T) {
	const slept = 8 * time.Second
	n := newWeightsNodes(t)
	n.siteState.MarkOperatorRead(boottime.RefreshNow())
	n.siteState.hearWeights("m", 2, false, boottime.RefreshNow())
	simulateSuspension(slept)
	assertAge(t, n.siteState, 2, slept)
	ages := n.siteState.recentWeightAges(boottime.Now())
	assert.Equal(t, len(ages), 1)
	told := time.Duration(ages[0].AgeMS) * time.Millisecond
	assert.Assert(t, (told-slept).Abs() < time.Second, "%v", told)

	f := newRecordFleet(1)
	r := f.registers[0]
	r.now, r.siteState = boottime.RefreshNow, n.siteState
	f.clock = boottime.Now()
	r.step(context.Background())
	assert.Equal(t, f.puts, 1)
	since, _ := f.recorded(t, "m", 2)
	assert.Assert(t, (f.clock.Sub(since)-slept).Abs() < time.Second, "%v", f.clock.Sub(since))
}

// A node that woke up took ages that it was told to have been told before it slept, and told all others that the
// weights were older than they were.
func TestAgeToldAfterSuspensionIsNotCountedFromBefore(t *testing.T) {
	const slept, age = 8 * time.Second, 2 * time.Second
	n := newWeightsNodes(t)
	boottime.SimulateSuspend(slept)
	n.receive(t, loadNote{From: "a-1", Seq: 1, Weights: []weightAge{{Model: "m", Version: 2, AgeMS: age.Milliseconds()}}})
	assertAge(t, n.siteState, 2, age)
	boottime.SimulateSuspend(slept)
	n.applyStartState(&startState{Weights: []weightAge{{Model: "m", Version: 3, AgeMS: 0}}})
	assertAge(t, n.siteState, 3, 0)
}

// A node that had started or heard late had nobody to learn the ages from.
func TestNodeLearnsAgesFromNotesAndStartStates(t *testing.T) {
	const age = 5 * time.Second
	for name, tell := range map[string]func(n *nodes, ages []weightAge){
		"note":        func(n *nodes, ages []weightAge) { n.receive(t, loadNote{From: "a-1", Seq: 1, Weights: ages}) },
		"start_state": func(n *nodes, ages []weightAge) { n.applyStartState(&startState{Weights: ages}) },
	} {
		t.Run(name, func(t *testing.T) {
			n := newWeightsNodes(t)
			n.siteState.hearWeights("m", 3, true, boottime.RefreshNow())
			assert.Assert(t, n.siteState.WeightHistory("m").Newest().Estimated)
			tell(n, []weightAge{{Model: "m", Version: 3, AgeMS: age.Milliseconds()}, {Model: "m", Version: 2, AgeMS: 2 * age.Milliseconds()}})
			assertAge(t, n.siteState, 3, age)
			assertAge(t, n.siteState, 2, 2*age)
			assert.Assert(t, !n.siteState.WeightHistory("m").Newest().Estimated)
		})
	}
}

// Notes and start states of nodes of the release before have no ages: nodes must take the rest from
// them, and learn the ages from the record.
func TestNodesOfTheReleaseBeforeTellNoAges(t *testing.T) {
	n := newWeightsNodes(t)
	f := newRecordFleet(1)
	f.name("m", 2, f.registers...)
	f.run(time.Second, nil)
	f.clock = f.clock.Add(3 * time.Second)
	before := struct {
		From string `json:"f"`
		Seq  uint64 `json:"q"`
	}{"a-1", 7}
	assert.Assert(t, n.receive(t, before), "the note is used")
	var s startState
	assert.NilError(t, json.Unmarshal([]byte(`{"evacuated":["h"]}`), &s))
	n.applyStartState(&s)
	n.siteState.hearWeights("m", 2, true, f.clock)
	assert.Assert(t, n.siteState.WeightHistory("m").Newest().Estimated)

	r := f.restart(0)
	r.siteState = n.siteState
	r.step(context.Background())
	v := n.siteState.WeightHistory("m").Newest()
	assert.Assert(t, !v.Estimated)
	assert.Assert(t, (f.clock.Sub(v.Since)-4*time.Second).Abs() < time.Second, "%v", f.clock.Sub(v.Since))
}

// Nodes of the release before must read notes and start states with ages.
func TestNodesOfTheReleaseBeforeReadNotesWithAges(t *testing.T) {
	n := newWeightsNodes(t)
	n.started.Store(true)
	now := boottime.RefreshNow()
	n.siteState.MarkOperatorRead(now)
	n.siteState.hearWeights("m", 2, false, now)
	note := n.newLoadNote()
	assert.Equal(t, len(note.Weights), 1)
	state, err := n.serveStartState(t.Context(), startStateRequest{})
	assert.NilError(t, err)
	assert.Equal(t, len(state.Weights), 1)
	for _, message := range []any{note, state} {
		text, err := json.Marshal(message)
		assert.NilError(t, err)
		var fields map[string]json.RawMessage
		assert.NilError(t, json.Unmarshal(text, &fields))
		before := 0
		for name := range fields {
			if name != "w" && name != "weights" {
				before++
			}
		}
		assert.Equal(t, before, len(fields)-1, "the ages are one further field")
	}
}

// Ages that can't be decoded stopped the node, or left a note that was used in part.
func TestNoteWithInvalidAgesIsDropped(t *testing.T) {
	n := newWeightsNodes(t)
	for _, text := range []string{`{"w":5}`, `{"w":[{"m":5}]}`, `{"w":[{"a":1e99}]}`, `{"w":`} {
		_, _, _, ok := n.receiveLoads([]byte(text), n.loads.byNode, func(note *loadNote) string { return note.From })
		assert.Assert(t, !ok, text)
	}
	assert.Equal(t, n.notesDropped.Load(), int64(4))
	assert.Equal(t, len(n.siteState.allWeights()), 0)
}
