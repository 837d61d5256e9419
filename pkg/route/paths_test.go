package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/site"
)

func newTestPaths() *Paths { return NewPaths(rand.New(rand.NewPCG(1, 2))) }

func replicaIn(service, hall, id string) *site.Upstream {
	return &site.Upstream{ID: id, Service: service, DataHall: hall}
}

var pathsNow = time.Unix(1000, 0)

// A node that has lost its paths learnt that anew for each replica, with a request each time.
func TestTwoLostPathsStandForTheirGroup(t *testing.T) {
	p := newTestPaths()
	p.RecordConnected(replicaIn("llm", "b", "x"), pathsNow)
	p.RecordFailure(replicaIn("app", "a", "1"), pathsNow)
	assert.Assert(t, p.Lost(replicaIn("app", "a", "1")))
	assert.Assert(t, !p.Lost(replicaIn("app", "a", "2")))
	p.RecordFailure(replicaIn("app", "b", "3"), pathsNow)
	assert.Assert(t, p.Lost(replicaIn("app", "c", "4")))
	p.RecordConnected(replicaIn("llm", "a", "5"), pathsNow)
	assert.Assert(t, !p.Lost(replicaIn("llm", "b", "6")), "another service is reached")
	assert.Assert(t, p.Lost(replicaIn("app", "c", "4")))
	p.RecordConnected(replicaIn("app", "c", "4"), pathsNow)
	assert.Assert(t, !p.Lost(replicaIn("app", "c", "7")))
	assert.Assert(t, p.Lost(replicaIn("app", "a", "1")), "its own path has not been tried again")
}

// Replicas that are at fault themselves must not make paths to others count as lost.
func TestReplicasAtFaultAreForgotten(t *testing.T) {
	p := newTestPaths()
	for i := range 5 {
		u := replicaIn("app", "a", fmt.Sprint(i))
		p.RecordFailure(u, pathsNow)
		p.Forget(u.ID)
	}
	assert.Assert(t, !p.AnyLost())
	assert.Assert(t, !p.Lost(replicaIn("app", "a", "9")))
}

// A path that is lost for long must not be tried all the time, and one that is back soon.
func TestLostPathsAreRetriedWithBackoff(t *testing.T) {
	p := newTestPaths()
	u := replicaIn("app", "a", "1")
	p.RecordFailure(u, pathsNow)
	tries := 0
	for d := time.Duration(0); d < 20*time.Second; d += 50 * time.Millisecond {
		now := pathsNow.Add(d)
		for _, due := range p.DueRetries(4, now) {
			tries++
			p.RecordFailure(&due, now)
		}
	}
	assert.Assert(t, tries >= 10 && tries <= 14, "%d tries in 20 s", tries)
	assert.Equal(t, p.RecordConnected(u, pathsNow.Add(21*time.Second)), 21*time.Second)
	assert.Assert(t, !p.AnyLost())
}

func TestOneOpinionThatReachesTheReplicaDecides(t *testing.T) {
	assert.Equal(t, FaultOf(nil), FaultUnknown)
	assert.Equal(t, FaultOf([]Opinion{OpinionNone, OpinionNone}), FaultUnknown)
	assert.Equal(t, FaultOf([]Opinion{OpinionNone, OpinionNotReached}), FaultOfReplica)
	assert.Equal(t, FaultOf([]Opinion{OpinionNotReached, OpinionReached}), FaultOfPath)
}

// While a third of the nodes, or all but a few, are cut off, the others must share what they forward.
func TestForwardedRequestsSpreadOverNodes(t *testing.T) {
	for _, c := range []struct{ nodes, cut int }{{7, 2}, {7, 4}, {71, 24}, {295, 98}, {295, 265}, {900, 300}} {
		t.Run(fmt.Sprintf("%d_of_%d", c.cut, c.nodes), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(uint64(c.nodes), uint64(c.cut)))
			var peers []Peer
			for i := c.cut; i < c.nodes; i++ {
				peers = append(peers, Peer{Name: fmt.Sprint(i), DataHall: fmt.Sprint(i % 5)})
			}
			const perNode = 20
			load, sum := map[string]int{}, 0
			asked := 0
			for node := range c.cut {
				p := NewPaths(rand.New(rand.NewPCG(uint64(node), 7)))
				// Nodes that are cut off give no opinion; the first one that reaches the replica ends
				// the survey.
				order, found := rng.Perm(c.nodes), false
				for _, n := range SurveySizes {
					for _, i := range order[:min(n, len(order))] {
						asked++
						if i >= c.cut {
							p.RecordForwarder(fmt.Sprint(i), load[fmt.Sprint(i)], pathsNow)
							found = true
						}
					}
					order = order[min(n, len(order)):]
					if found {
						break
					}
				}
				for range perNode {
					peer, ok := p.ChooseForwarder(peers, fmt.Sprint(node%5), nil, pathsNow)
					if !ok {
						continue
					}
					load[peer.Name]++
					sum++
					p.RecordForwarder(peer.Name, load[peer.Name], pathsNow)
				}
			}
			most := 0
			for _, n := range load {
				most = max(most, n)
			}
			mean := float64(sum) / float64(c.nodes-c.cut)
			t.Logf("%d of %d requests have a forwarder, at most %d at a node, %.1f in the mean; %.1f calls for each node that is cut off",
				sum, c.cut*perNode, most, mean, float64(asked)/float64(c.cut))
			assert.Assert(t, float64(sum) >= 0.95*float64(c.cut*perNode))
			assert.Assert(t, float64(most) <= 3*mean+2*perNode, "%d at one node", most)
		})
	}
}

// A node that can't forward must not be tried again at once, and none if no node can.
func TestNodesThatCannotForwardArePaused(t *testing.T) {
	p := newTestPaths()
	peers := []Peer{{"n1", "a"}, {"n2", "b"}}
	_, ok := p.ChooseForwarder(peers, "a", nil, pathsNow)
	assert.Assert(t, !ok, "none is known to reach replicas")
	p.RecordForwarder("n1", 0, pathsNow)
	p.RecordForwarder("n2", 9, pathsNow)
	chosen, _ := p.ChooseForwarder(peers, "a", nil, pathsNow)
	assert.Equal(t, chosen.Name, "n1")
	chosen, _ = p.ChooseForwarder(peers, "a", []string{"n1"}, pathsNow)
	assert.Equal(t, chosen.Name, "n2")
	p.PauseForwarder("n1", pathsNow)
	chosen, _ = p.ChooseForwarder(peers, "a", nil, pathsNow.Add(forwarderPause/2))
	assert.Equal(t, chosen.Name, "n2")
	_, ok = p.ChooseForwarder(peers, "a", nil, pathsNow.Add(forwarderTerm))
	assert.Assert(t, !ok, "what is known of them is too old")
	p.RecordNoForwarder(pathsNow)
	assert.Assert(t, p.NoForwarder(pathsNow.Add(noForwarderPause/2)))
	assert.Assert(t, !p.NoForwarder(pathsNow.Add(noForwarderPause)))
}

// BenchmarkPathsLost is the cost for a request while no path is lost, and while many are.
func BenchmarkPathsLost(b *testing.B) {
	for _, lost := range []int{0, 160} {
		b.Run(fmt.Sprint(lost), func(b *testing.B) {
			p := newTestPaths()
			for i := range lost {
				p.RecordFailure(replicaIn("app", "a", fmt.Sprint(i)), pathsNow)
			}
			u := replicaIn("llm", "b", "x")
			for b.Loop() {
				p.Lost(u)
			}
		})
	}
}
