package gateway

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/route"
)

// The sum of a large hall tells of the busiest replicas only: all of them would not
// fit a datagram.
func TestSumOfALargeHallFitsADatagram(t *testing.T) {
	n := &nodes{self: control.Member{Name: "n0", DataHall: "h"}, kept: route.NewKept(), loads: newLoads()}
	const replicas = 3000
	for node := range 20 {
		s := nodeState{From: fmt.Sprint("n", node), Loads: map[string]load{}}
		for i := node; i < replicas; i += 20 {
			s.Loads[fmt.Sprintf("i-%012d", i)] = load{1, 9000 + i, i}
		}
		n.loads.states[s.From] = heardState{nodeState: s, at: time.Now()}
	}
	sum := nodeState{Loads: map[string]load{}}
	n.sumHall(&sum)
	assert.Equal(t, len(sum.Loads), sumMost)
	_, ok := sum.Loads[fmt.Sprintf("i-%012d", replicas-1)]
	assert.Assert(t, ok, "the busiest is told of")
	text, err := json.Marshal(sum)
	assert.NilError(t, err)
	const datagram = 60_000
	assert.Assert(t, len(text) < datagram/2, "%d bytes", len(text))
}

// A speaker with a narrow link tells more seldom.
func TestSpeakerKeepsToItsShareOfTheLink(t *testing.T) {
	narrow := &nodes{self: control.Member{Link: 10}}
	assert.Equal(t, narrow.linkTime(125_000), time.Second)
	wide := &nodes{self: control.Member{Link: 200}}
	assert.Equal(t, wide.linkTime(125_000), 50*time.Millisecond)
	unknown := &nodes{}
	assert.Equal(t, unknown.linkTime(125_000), time.Duration(0))
}

// A way on which notes are lost shows nothing: what was told on it must not be believed
// for good, and what others tell must.
func TestLoadOfANodeThatIsNoLongerHeardIsForgotten(t *testing.T) {
	n := newsFleet(3)
	now := time.Now()
	for name, at := range map[string]time.Time{"a-1": now.Add(-stateTerm / 2), "a-2": now.Add(-stateTerm - time.Millisecond)} {
		n.loads.states[name] = heardState{nodeState: nodeState{From: name, Loads: map[string]load{"r": {1}}}, at: at}
	}
	n.merge(now)
	_, heard := n.loads.states["a-1"]
	assert.Assert(t, heard)
	_, heard = n.loads.states["a-2"]
	assert.Assert(t, !heard)
}
