package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/rendezvous"
)

// newMembers returns n nodes spread over some halls, the first of them dead.
func newMembers(n, halls, dead int) (list []control.Member) {
	for i := range n {
		m := control.Member{Name: fmt.Sprintf("n%03d", i), DataHall: fmt.Sprintf("h%d", i%halls)}
		if i < dead {
			m.State = control.MemberDead
		}
		list = append(list, m)
	}
	return list
}

// The shares of a cold replica together stay within its limit, also if nodes consider
// different members dead, and most of the limit is assigned.
func TestColdSharesDoNotExceedLimit(t *testing.T) {
	const views = 5 // Each with other dead nodes.
	for _, nodes := range []int{1, 2, 7, 9, 59, 71, 295, 900} {
		var lists [views][]control.Member
		for i := range lists {
			lists[i] = newMembers(nodes, 3, i)
		}
		replicas := max(1, min(20, 600/nodes)) // The work grows with the square of the number of nodes.
		for _, limit := range []int{0, 1, 3, 16, 40} {
			for r := range replicas {
				key := coldShareKey{replica: rendezvous.Hash(fmt.Sprint("r", r)), hall: fmt.Sprintf("h%d", r%3), limit: limit}
				sum, users := 0, 0
				for i := range nodes {
					share := computeShare(lists[i%views], fmt.Sprintf("n%03d", i), key)
					sum += share
					if share > 0 {
						users++
					}
				}
				assert.Assert(t, sum <= limit, "%d nodes: %d of %d", nodes, sum, limit)
				assert.Assert(t, 2*sum >= min(limit, 2*limit-1), "%d nodes: %d of %d", nodes, sum, limit)
				assert.Assert(t, users <= limit)
			}
		}
	}
}

// A node that has not read the list of nodes can't know its share.
func TestNoColdShareBeforeMembersAreKnown(t *testing.T) {
	self := control.Member{Name: "n000", DataHall: "h0", Incarnation: 1}
	m := control.NewMembers(self, time.Second, nil, newRand())
	shares := newColdShares(self, m)
	assert.Equal(t, shares.Share(1, "h0", 16), 0)
	shares.markMembersRead(time.Now())
	assert.Equal(t, shares.Share(1, "h0", 16), 0, "the others have had no time to answer")
	shares.membersReadAt = time.Now().Add(-memberResponseTime)
	assert.Equal(t, shares.Share(1, "h0", 16), 16)
	m.Merge(newMembers(8, 1, 0)[1:], time.Now())
	assert.Equal(t, shares.Share(1, "h0", 16), 2)
}

// The directory returns nodes in the client's region and the host's home regions as long
// as there are any.
func TestDirectoryPrefersHomeRegions(t *testing.T) {
	self := control.Member{Name: "a0", DataHall: "a", Incarnation: 1}
	m := control.NewMembers(self, time.Second, nil, newRand())
	list := []control.Member{
		{Name: "b0", DataHall: "b", Incarnation: 1},
		{Name: "b1", DataHall: "b", Incarnation: 1},
		{Name: "c0", DataHall: "c", Incarnation: 1},
		{Name: "c1", DataHall: "c", Incarnation: 1},
		{Name: "d0", DataHall: "d", Incarnation: 1},
	}
	m.Merge(list, time.Now())
	n := &nodes{self: self, members: m, regions: map[string]string{"a": "one", "b": "one", "c": "two", "d": "three"}}
	assert.Equal(t, len(n.entryAddrs("b", "one", nil)), 2, "enough of its own hall")
	assert.Equal(t, len(n.entryAddrs("a", "one", nil)), 3, "those of its region")
	assert.Equal(t, len(n.entryAddrs("d", "three", nil)), 6, "all")
	assert.Equal(t, len(n.entryAddrs("d", "three", []string{"two"})), 2, "those of the homes")
	assert.Equal(t, len(n.entryAddrs("elsewhere", "four", []string{"two"})), 2)
	assert.Equal(t, len(n.entryAddrs("d", "three", []string{"nowhere"})), 1, "its own region")
	assert.Equal(t, len(n.entryAddrs("elsewhere", "four", []string{"nowhere"})), 6, "some node has to refuse the request")
}

// Where a service has fewer slots than there are nodes, or its hash leaves a node out, the node
// refused all requests while the replicas were brittle.
func TestEveryNodeHasShareOfBrittleReplicas(t *testing.T) {
	const halls, slots = 3, 6
	for _, c := range []struct{ nodes, replicas int }{{7, 3}, {71, 20}, {295, 70}} {
		t.Run(fmt.Sprint(c.nodes), func(t *testing.T) {
			all := newMembers(c.nodes, halls, 0)
			without := 0
			for i := range all {
				sum := 0
				for r := 0; r < c.replicas && sum == 0; r++ {
					sum += computeShare(all, all[i].Name, coldShareKey{replica: rendezvous.Hash(fmt.Sprint("r", r)), hall: fmt.Sprintf("h%d", r%halls), limit: slots})
				}
				if sum == 0 {
					without++
				}
			}
			assert.Equal(t, without, 0, "%d of %d nodes have no share", without, c.nodes)
		})
	}
}
