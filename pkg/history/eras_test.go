package history_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/history"
)

func TestErasOnlyRise(t *testing.T) {
	var e history.Eras
	var changes []history.Change
	e.Subscribe(func(c history.Change) { changes = append(changes, c) })
	start := time.Now()
	for i, step := range []struct {
		era     history.Era
		current bool
	}{{3, true}, {3, true}, {2, false}, {5, true}, {3, false}, {5, true}} {
		assert.Equal(t, e.Observe(step.era, start.Add(time.Duration(i)*time.Second)), step.current, "step %d", i)
	}
	assert.DeepEqual(t, changes, []history.Change{{From: 0, To: 3, First: true}, {From: 3, To: 5}})
	era, since, ok := e.Current()
	assert.Assert(t, ok && era == 5 && since.Equal(start.Add(3*time.Second)))
}

func TestMissingRowsAreNotGoneAtTheBeginningOfAnEra(t *testing.T) {
	var e history.Eras
	const term = 5 * time.Second
	start := time.Now()
	assert.Assert(t, e.IsSettled(start, term), "nothing is known that could be lost")
	e.Observe(1, start)
	assert.Assert(t, e.IsSettled(start, term))
	e.Observe(2, start.Add(time.Minute))
	assert.Assert(t, !e.IsSettled(start.Add(time.Minute), term))
	assert.Assert(t, e.IsSettled(start.Add(time.Minute+term), term))
}

// A node that starts in an era hears from others that it is not the first one.
func TestStartingNodeLearnsWhenTheEraBegan(t *testing.T) {
	const term = 5 * time.Second
	start := time.Now()
	var e history.Eras
	e.Observe(2, start)
	e.ObserveBegun(1, start.Add(-time.Hour), start)
	assert.Assert(t, e.IsSettled(start, term), "an earlier era")
	e.ObserveBegun(2, start.Add(-2*time.Second), start)
	assert.Assert(t, !e.IsSettled(start.Add(2*time.Second), term))
	assert.Assert(t, !e.KnowsOne())
	assert.Assert(t, e.IsSettled(start.Add(3*time.Second), term), "counted from when the other node heard of it")
	_, age, ok := e.Begun(start)
	assert.Assert(t, ok && age == 2*time.Second)
	e.ObserveBegun(2, start.Add(-time.Hour), start)
	assert.Assert(t, !e.IsSettled(start, term), "what this node knows itself holds")
	e.ObserveBegun(4, start.Add(-time.Minute), start)
	assert.Assert(t, !e.IsSettled(start.Add(term-1), term), "it is new to this node")
}
