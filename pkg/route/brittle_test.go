package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/site"
)

// fixedShare is the same share of each replica.
type fixedShare int

func (s fixedShare) Share(uint64, string, int) int { return int(s) }

func brittlePool(share int) *Pool {
	p := newTestPool(0, 1)
	p.Configure([]site.Upstream{{ID: "a", DataHall: "h0", Slots: 4}, {ID: "b", DataHall: "h0", Slots: 4}}, testNow)
	p.SetSlotShares(fixedShare(share))
	return p
}

// Nodes sent a brittle replica as much as each had seen it let in.
func TestBrittleReplicasGetTheNodesShareOfTheirSlots(t *testing.T) {
	p := brittlePool(2)
	assert.Assert(t, p.RecordBrittle(testNow))
	assert.Assert(t, !p.RecordBrittle(testNow))
	var begun []*InFlightRequest
	for range 10 {
		if c, ok := p.Pick(&PickInput{}, testNow); ok {
			begun = append(begun, p.Begin(c, testNow))
		}
	}
	assert.Equal(t, len(begun), 4)
	a := p.Availability(&PickInput{}, testNow)
	assert.Equal(t, a.Excluded[ExcludedBrittle], 2)
	begun[0].End(OutcomeOK, testNow)
	c, ok := p.Pick(&PickInput{}, testNow)
	assert.Assert(t, ok)
	// Two picks at the same time.
	assert.Assert(t, !p.Begin(c, testNow).ExceedsSlots())
	assert.Assert(t, p.Begin(c, testNow).ExceedsSlots())
}

// A node without a share of a replica sends it nothing, and without any it refuses.
func TestNodeWithoutShareSendsBrittleReplicasNothing(t *testing.T) {
	p := brittlePool(0)
	p.RecordBrittle(testNow)
	_, ok := p.Pick(&PickInput{}, testNow)
	assert.Assert(t, !ok)
}

// An answer to a request from before the brittle time must not end it, and the last answer of a
// service that nobody asks any more must not make it last for ever.
func TestBrittleTimeEnds(t *testing.T) {
	p := brittlePool(1)
	p.RecordBrittle(testNow)
	assert.Assert(t, !p.RecordNotBrittle(testNow.Add(-time.Second), testNow))
	assert.Assert(t, p.Brittle(testNow))
	assert.Assert(t, p.RecordNotBrittle(testNow.Add(time.Second), testNow.Add(2*time.Second)))
	assert.Assert(t, !p.Brittle(testNow.Add(2*time.Second)))
	p.RecordBrittle(testNow)
	assert.Assert(t, !p.Brittle(testNow.Add(brittleTerm)))
}
