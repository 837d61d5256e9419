package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/rendezvous"
)

// coldShares divides what a cold replica may get among the nodes.
//
// All nodes ever heard of count, the dead included: nodes that are cut apart, or that think
// each other dead, still agree. The dead ones' shares lapse. A node of which the others have
// not heard yet adds its share to theirs until they have.
type coldShares struct {
	self    control.Member
	members *control.Members

	mu            sync.Mutex
	membersReadAt time.Time // When this node has read who the others are, zero before.
	view          *control.View
	cached        map[coldShareKey]int // For the view.
}

type coldShareKey struct {
	replica uint64
	hall    string
	limit   int
}

// memberResponseTime is for how long a node that has read the others' addresses waits for their
// answers until it goes by how many there are.
const memberResponseTime = time.Second

func newColdShares(self control.Member, m *control.Members) *coldShares {
	return &coldShares{self: self, members: m}
}

// markMembersRead notes that this node has read the others' addresses.
func (c *coldShares) markMembersRead(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.membersReadAt.IsZero() {
		c.membersReadAt = now
	}
}

// membersKnown says whether this node has met the others, by their addresses and their answers.
func (c *coldShares) membersKnown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.membersReadAt.IsZero() && boottime.Since(c.membersReadAt) >= memberResponseTime
}

// Share implements route.ColdShares.
func (c *coldShares) Share(replica uint64, hall string, limit int) int {
	view := c.members.View()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.membersReadAt.IsZero() || boottime.Since(c.membersReadAt) < memberResponseTime {
		return 0
	}
	if c.view != view {
		c.view, c.cached = view, map[coldShareKey]int{}
	}
	key := coldShareKey{replica, hall, limit}
	share, cached := c.cached[key]
	if !cached {
		share = computeShare(view.All, c.self.Name, key)
		c.cached[key] = share
	}
	return share
}

// computeShare divides a limit among as many nodes as it has requests, found by hashing: nodes of
// the replica's data hall if they are enough, as bytes between halls are paid for, and else
// of all.
func computeShare(all []control.Member, self string, key coldShareKey) int {
	candidates := slices.DeleteFunc(slices.Clone(all), func(m control.Member) bool { return m.DataHall != key.hall })
	if len(candidates) < key.limit {
		candidates = all
	}
	users := min(key.limit, len(candidates))
	if users == 0 || !slices.ContainsFunc(candidates, func(m control.Member) bool { return m.Name == self }) {
		return 0
	}
	ownWeight := rendezvous.Weight(key.replica, rendezvous.Hash(self))
	rank := 0
	for i := range candidates {
		if rendezvous.Weight(key.replica, rendezvous.Hash(candidates[i].Name)) > ownWeight {
			rank++
		}
	}
	if rank >= users {
		return 0
	}
	return key.limit / users
}
