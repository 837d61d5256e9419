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

	mu    sync.Mutex
	met   time.Time // When this node has read who the others are, zero before.
	view  *control.View
	known map[coldShare]int // For the view.
}

type coldShare struct {
	replica uint64
	hall    string
	most    int
}

// meetTime is for how long a node that has read the others' addresses waits for their
// answers until it goes by how many there are.
const meetTime = time.Second

func newColdShares(self control.Member, m *control.Members) *coldShares {
	return &coldShares{self: self, members: m}
}

// haveMet notes that this node has read the others' addresses.
func (c *coldShares) haveMet(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.met.IsZero() {
		c.met = now
	}
}

// hasMet says whether this node has met the others, by their addresses and their answers.
func (c *coldShares) hasMet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.met.IsZero() && boottime.Since(c.met) >= meetTime
}

// Share implements route.ColdShares.
func (c *coldShares) Share(replica uint64, hall string, most int) int {
	view := c.members.View()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.met.IsZero() || boottime.Since(c.met) < meetTime {
		return 0
	}
	if c.view != view {
		c.view, c.known = view, map[coldShare]int{}
	}
	of := coldShare{replica, hall, most}
	share, known := c.known[of]
	if !known {
		share = shareOf(view.All, c.self.Name, of)
		c.known[of] = share
	}
	return share
}

// shareOf divides a limit among as many nodes as it has requests, found by hashing: nodes of
// the replica's data hall if they are enough, as bytes between halls are paid for, and else
// of all.
func shareOf(all []control.Member, self string, of coldShare) int {
	near := slices.DeleteFunc(slices.Clone(all), func(m control.Member) bool { return m.DataHall != of.hall })
	if len(near) < of.most {
		near = all
	}
	users := min(of.most, len(near))
	if users == 0 || !slices.ContainsFunc(near, func(m control.Member) bool { return m.Name == self }) {
		return 0
	}
	mine := rendezvous.Weight(of.replica, rendezvous.Hash(self))
	before := 0
	for i := range near {
		if rendezvous.Weight(of.replica, rendezvous.Hash(near[i].Name)) > mine {
			before++
		}
	}
	if before >= users {
		return 0
	}
	return of.most / users
}
