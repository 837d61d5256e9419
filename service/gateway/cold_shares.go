package gateway

import (
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/rendezvous"
)

// coldShares divides the requests that a cold replica may get among the nodes.
//
// All members ever known count, also dead ones, so nodes that are partitioned, or that
// consider each other dead, still agree. Shares of dead nodes go unused. A node that the
// others do not know yet adds its own share to theirs until they do.
type coldShares struct {
	self    control.Member
	members *control.Members

	mu            locks.Mutex
	membersReadAt time.Time // When this node first read the list of nodes, zero before.
	view          *control.View
	cached        map[coldShareKey]int // Valid for view.
}

// coldShareKey names a replica, its data hall, and the most requests that it may get.
type coldShareKey struct {
	replica uint64
	hall    string
	limit   int
}

// memberResponseTime is how long a node that has read the others' addresses waits for
// their answers before it relies on their number.
const memberResponseTime = time.Second

func newColdShares(self control.Member, m *control.Members) *coldShares {
	return &coldShares{self: self, members: m}
}

// markMembersRead records that this node has read the others' addresses.
func (c *coldShares) markMembersRead(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.membersReadAt.IsZero() {
		c.membersReadAt = now
	}
}

// membersKnown reports whether this node has read the others' addresses and given them
// time to answer.
func (c *coldShares) membersKnown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.membersReadAt.IsZero() && boottime.Since(c.membersReadAt) >= memberResponseTime
}

// nodeCount returns the number of nodes that a budget is divided among, at least assumedNodes until
// this node has learned of the others.
func (c *coldShares) nodeCount() int {
	n := max(1, c.members.View().Counts().All)
	if !c.membersKnown() {
		n = max(n, assumedNodes)
	}
	return n
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
		share = computeShare(view.All(), c.self.Name, key)
		c.cached[key] = share
	}
	return share
}

// computeShare returns a node's share of a limit. The limit is divided among as many nodes
// as it allows requests, selected by rendezvous hashing: nodes of the replica's data hall
// if there are enough, since traffic between halls is paid for, else all nodes.
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
