package onplatform_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

// returnAfterNaming has the store come back from a copy that lacks the naming of weights, which is written again later.
func (s *site) returnAfterNaming(before onplatform.Copy) {
	lost := s.store.ReturnFrom(before)
	time.Sleep(weightsTerm / 16)
	s.store.WriteAgain(lost...)
}

// When the store came back from a copy, nodes forgot which weights had been named, and counted the time for
// which the old ones may be used anew from when they read the names again.
func TestOldWeightsAreNotUsedForAnotherTermWhenTheStoreReturns(t *testing.T) {
	for _, tc := range []struct {
		name string
		// disturb has the store come back after the naming; before is a copy from before it.
		disturb func(s *site, before onplatform.Copy, nodes []*node) []*node
	}{
		{name: "from_a_copy_before_the_naming", disturb: func(s *site, before onplatform.Copy, nodes []*node) []*node {
			s.returnAfterNaming(before)
			return nodes
		}},
		{name: "from_a_copy_with_the_naming", disturb: func(s *site, _ onplatform.Copy, nodes []*node) []*node {
			s.store.ReturnFrom(s.store.Copy())
			return nodes
		}},
		{name: "twice", disturb: func(s *site, before onplatform.Copy, nodes []*node) []*node {
			s.returnAfterNaming(before)
			s.store.ReturnFrom(s.store.Copy())
			return nodes
		}},
		{name: "and_all_nodes_restart", disturb: func(s *site, before onplatform.Copy, nodes []*node) []*node {
			s.returnAfterNaming(before)
			s.waitUntil("the record is written again", func() bool { return len(s.store.Rows(tableWeights)) > 0 })
			return s.restart(nodes...)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			old := s.startSwaplessEngine("old", 1)
			nodes := s.startWeightsNodes("n1", "n2")
			before := s.store.Copy()
			named := s.nameWeights(2)
			time.Sleep(weightsTerm * 5 / 16) // Until all nodes have seen that the naming is recorded.
			nodes = tc.disturb(s, before, nodes)
			s.waitUntilJoined(nodes...)
			serving := time.Now()
			s.sendPrompts(named.Add(weightsTerm+weightsTerm/2), nodes...)
			assert.Equal(t, old.begunBetween(named.Add(weightsTerm), time.Now()), 0, "prompts began on old weights after their time")
			assert.Assert(t, serving.Before(named.Add(weightsTerm/2)), "too late to see the old weights in use")
			assert.Assert(t, old.begunBetween(named.Add(weightsTerm*5/8), named.Add(weightsTerm)) > 0, "the old weights were not used while their time lasted")
		})
	}
}

// tableWeights has the record of when weights were named.
const tableWeights = "drumpath-weights"
