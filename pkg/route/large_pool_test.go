package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/drumpath/drumpath/pkg/site"
)

const largeHalls = 5

// largeList returns n replicas in largeHalls halls.
func largeList(n int) (list []site.Upstream) {
	for i := range n {
		list = append(list, site.Upstream{
			ID: fmt.Sprintf("i-%08x", uint32(i)*2654435761), DataHall: fmt.Sprintf("h%d", i%largeHalls), Slots: 24, Weights: map[string]int64{"m": 1},
		})
	}
	return list
}

func newLargePool(n int, seed uint64) *Pool {
	p := NewPool("h0", rand.New(rand.NewPCG(seed, 2)))
	p.Configure(largeList(n), testNow)
	return p
}

// countingLimits counts the replicas that a pick looks at.
type countingLimits struct{ looks int }

func (c *countingLimits) State(string, time.Time) RateState {
	c.looks++
	return RateState{}
}

// Each pick looked at all replicas of a service, which took a node with a fifth of a core 28 ms
// in front of 9,773 replicas.
func TestPickLooksAtAsManyReplicasInALargeFleetAsInATwiceLargerOne(t *testing.T) {
	looksAt := func(n int) int {
		p := newLargePool(n, 1)
		limits := &countingLimits{}
		p.SetRateLimits(limits)
		_, ok := p.Pick(&PickInput{Model: "m", Tokens: 9000, Shared: 7500, Affinity: 7}, testNow)
		assert.Assert(t, ok)
		return limits.looks
	}
	assert.Assert(t, looksAt(9773) <= subsetSize+drawnOutside, "%d", looksAt(9773))
	assert.Assert(t, looksAt(2*9773) <= subsetSize+drawnOutside, "%d", looksAt(2*9773))
}

// A change of one row copied and sorted all replicas, 8 ms of a core with 9,773 of them.
func TestChangeOfOneReplicaAllocatesAsMuchInALargeFleetAsInASmallOne(t *testing.T) {
	allocations := func(n int) float64 {
		p := newLargePool(n, 1)
		list := largeList(n)
		i := 0
		return testing.AllocsPerRun(100, func() {
			i++
			u := list[i*7919%n]
			u.Draining = i%2 == 0
			p.Put(u, testNow)
		})
	}
	assert.Equal(t, allocations(9773), allocations(60))
}

// Taking over the loads that other nodes report went through all replicas, some times a second.
func TestReportedLoadsReplaceEarlierOnes(t *testing.T) {
	p := newLargePool(1000, 1)
	list := largeList(1000)
	key := func(i int) NameHash { return HashName(list[i].StartKey()) }
	p.SetPeers(map[NameHash]PeerLoad{key(1): {Requests: 3}, key(2): {Requests: 4}})
	p.SetPeers(map[NameHash]PeerLoad{key(2): {Requests: 5}, HashName("gone"): {Requests: 6}})
	assert.Equal(t, p.byID[list[1].ID].peerLoad.Requests, 0)
	assert.Equal(t, p.byID[list[2].ID].peerLoad.Requests, 5)
}

// Random changes of the list: everything that the pool keeps beside the list agrees with it.
func TestPoolBookkeepingFollowsTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPool("h0", rand.New(rand.NewPCG(1, 2)))
		listed := map[string]site.Upstream{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			id := fmt.Sprint("r", rapid.IntRange(0, 9).Draw(t, "replica"))
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0:
				p.Remove(id)
				delete(listed, id)
			case 1:
				if u, ok := listed[id]; ok {
					version := u.Weights["m"] + 1
					p.RecordWeights(RefOf(&u), "m", version)
					u.Weights = map[string]int64{"m": version}
					listed[id] = u
				}
			default:
				u := site.Upstream{
					ID: id, DataHall: fmt.Sprint("h", rapid.IntRange(0, 1).Draw(t, "hall")), Software: fmt.Sprint("v", rapid.IntRange(0, 1).Draw(t, "software")),
					Started: time.UnixMilli(rapid.Int64Range(1, 3).Draw(t, "start")), Weights: map[string]int64{"m": rapid.Int64Range(1, 3).Draw(t, "weights")},
				}
				old, known := listed[id]
				if known && u.StartedBefore(&old) {
					continue // SiteState drops rows of earlier starts.
				}
				if known && !old.StartedBefore(&u) && old.DataHall == u.DataHall && old.Weights["m"] > u.Weights["m"] {
					u.Weights = old.Weights // Versions seen in answers are kept.
				}
				p.Put(u, testNow)
				listed[id] = u
			}
		}
		assert.Equal(t, len(p.members), len(listed))
		software, inOrder := map[string]int{}, 0
		for i, m := range p.members {
			assert.Equal(t, m.index, i)
			assert.Assert(t, p.byID[m.ID] == m && p.byStart[m.startHash] == m)
			assert.Equal(t, m.startKey, m.StartKey())
			u := listed[m.ID]
			assert.DeepEqual(t, m.Weights, u.Weights)
			software[u.Software]++
		}
		for hall, order := range p.hallOrder {
			assert.Assert(t, len(order) > 0 && slices.IsSortedFunc(order, compareHashes))
			for _, m := range order {
				assert.Equal(t, listed[m.ID].DataHall, hall)
			}
			inOrder += len(order)
		}
		assert.Equal(t, inOrder, len(listed))
		assert.DeepEqual(t, p.softwareCounts, software)
	})
}

// In a large fleet, nodes of a hall that know nothing of the engines' caches sent prompts with
// the same shared parts to different engines, each of which computed the parts anew. This
// replays a light load with many nodes and prompts, each of which comes a few times.
func TestPromptsWithSharedPartsMeetInALargeFleet(t *testing.T) {
	const nodes, prompts, repeats = 40, 200, 4
	var pools []*Pool
	for i := range nodes {
		pools = append(pools, newLargePool(2000*largeHalls, uint64(i)))
	}
	rng := rand.New(rand.NewPCG(3, 4))
	used, engines := map[uint64]map[string]bool{}, map[string]bool{}
	for range repeats {
		for prompt := range uint64(prompts) {
			input := &PickInput{Model: "m", Tokens: 9000, Shared: 7500, Affinity: prompt + 1}
			c, ok := pools[rng.IntN(nodes)].Pick(input, testNow)
			assert.Assert(t, ok)
			assert.Equal(t, c.DataHall, "h0")
			if used[prompt] == nil {
				used[prompt] = map[string]bool{}
			}
			used[prompt][c.ID], engines[c.ID] = true, true
		}
	}
	again := 0
	for _, list := range used {
		again += len(list) - 1
	}
	assert.Assert(t, float64(again) < 0.1*prompts*(repeats-1), "%d of %d prompts met no earlier one", again, prompts*(repeats-1))
	assert.Assert(t, len(engines) <= 2*subsetSize, "%d engines used", len(engines))
}

// Without a hall's subset, or without any replica of the hall, requests go on elsewhere.
func TestLargePoolUsesOtherReplicasWhenItsSubsetCannotBeUsed(t *testing.T) {
	list := largeList(1000)
	cases := map[string]struct {
		change func(p *Pool, u site.Upstream)
		inHall string // In which the replica is, "" for any hall.
		picked bool
	}{
		"hall drains": {func(p *Pool, u site.Upstream) {
			if u.DataHall == "h0" {
				u.Draining = true
				p.Put(u, testNow)
			}
		}, "", true},
		"hall is removed": {func(p *Pool, u site.Upstream) {
			if u.DataHall == "h0" {
				p.Remove(u.ID)
			}
		}, "", true},
		"all but one replica drain": {func(p *Pool, u site.Upstream) {
			if u.ID != list[3].ID {
				u.Draining = true
				p.Put(u, testNow)
			}
		}, list[3].DataHall, true},
		"all replicas are avoided": {func(p *Pool, u site.Upstream) { p.Avoid(u.ID, testNow.Add(time.Second)) }, "", true},
		"all replicas drain": {func(p *Pool, u site.Upstream) {
			u.Draining = true
			p.Put(u, testNow)
		}, "", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newLargePool(1000, 1)
			for _, u := range list {
				c.change(p, u)
			}
			choice, ok := p.Pick(&PickInput{Model: "m", Tokens: 9000}, testNow)
			assert.Equal(t, ok, c.picked)
			if c.inHall != "" {
				assert.Equal(t, choice.DataHall, c.inHall)
			}
		})
	}
}

// Requests without a prompt do not all go to the same few replicas of a large service.
func TestPlainRequestsOfManyNodesSpreadOverALargeFleet(t *testing.T) {
	used := map[string]bool{}
	for i := range 60 {
		p := newLargePool(400*largeHalls, uint64(i))
		for range 10 {
			c, ok := p.Pick(&PickInput{}, testNow)
			assert.Assert(t, ok)
			used[c.ID] = true
			p.Begin(c, testNow)
		}
	}
	assert.Assert(t, len(used) > 200, "%d of 400 replicas of the hall", len(used))
}
