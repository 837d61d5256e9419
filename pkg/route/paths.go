package route

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/site"
)

// Paths decides whether a node connects to a replica itself or has another node forward the
// request, and which node. It does no I/O.
//
// A path counts as lost from a connection that was not made until one is, or until other nodes
// find that the replica itself is at fault. Paths fail together: two lost ones in a data hall, a
// service, a hall of a service, or the whole node stand for all paths there until a connection to
// one of them is made. A wrong guess costs a forwarded request, no failed one.
//
// While no path is lost, Lost costs one atomic load.
type Paths struct {
	lostCount atomic.Int64

	mu        locks.Mutex
	rng       *rand.Rand
	lost      map[string]*lostPath // By the replica's ID.
	groups    map[pathGroup]map[string]struct{}
	forwards  map[string]*forwarder // By the node's name.
	noneUntil time.Time             // Until then no node is expected to forward.
}

// pathGroup is a set of paths that may fail together; empty fields stand for all.
type pathGroup struct{ service, hall string }

// lostPath is a path on which connections are not made.
type lostPath struct {
	replica  site.Upstream
	since    time.Time
	retryAt  time.Time
	backoff  time.Duration
	retrying bool
	// confirmed is set once another node has reached the replica.
	confirmed bool
}

const (
	// minGroupLosses is how many paths of a group are lost for all of them to count as lost.
	minGroupLosses = 2
	// firstPathRetry and maxPathRetry bound the time between two tries of a lost path.
	firstPathRetry = 250 * time.Millisecond
	maxPathRetry   = 2 * time.Second
	// forwarderTerm is how long a node that has reached a replica is expected to reach others.
	forwarderTerm = 2 * time.Second
	// forwarderPause is how long a node that could not forward is not asked again, and
	// noForwarderPause how long none is if none could.
	forwarderPause   = 500 * time.Millisecond
	noForwarderPause = 500 * time.Millisecond
)

// NewPaths returns a Paths without lost paths.
func NewPaths(rng *rand.Rand) *Paths {
	return &Paths{
		rng:      rng,
		lost:     map[string]*lostPath{},
		groups:   map[pathGroup]map[string]struct{}{},
		forwards: map[string]*forwarder{},
	}
}

func groupsOf(u *site.Upstream) [4]pathGroup {
	return [...]pathGroup{{u.Service, u.DataHall}, {u.Service, ""}, {"", u.DataHall}, {}}
}

// Lost reports whether the path to a replica counts as lost, so that a new connection to it
// would probably fail.
func (p *Paths) Lost(u *site.Upstream) bool {
	if p.lostCount.Load() == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost[u.ID] != nil || p.groupLost(u)
}

// groupLost reports whether the paths of a group with the replica count as lost; the caller holds
// mu.
func (p *Paths) groupLost(u *site.Upstream) bool {
	for _, g := range groupsOf(u) {
		if len(p.groups[g]) >= minGroupLosses {
			return true
		}
	}
	return false
}

// AtFault reports whether, where no connection to a replica is made, this node's paths are presumed
// to be at fault and not the replica.
func (p *Paths) AtFault(u *site.Upstream) bool {
	if p.lostCount.Load() == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lost[u.ID]
	return l != nil && l.confirmed || p.groupLost(u)
}

// Confirm records that another node reaches a replica with a lost path.
func (p *Paths) Confirm(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.lost[id]; l != nil {
		l.confirmed = true
	}
}

// AnyLost reports whether any path is lost.
func (p *Paths) AnyLost() bool { return p.lostCount.Load() > 0 }

// RecordFailure records that a connection to a replica was not made, and reports whether its path
// was not lost before.
func (p *Paths) RecordFailure(u *site.Upstream, now time.Time) (first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lost[u.ID]
	if first = l == nil; first {
		l = &lostPath{replica: *u, since: now, backoff: firstPathRetry}
		p.lost[u.ID] = l
		p.lostCount.Store(int64(len(p.lost)))
	} else if l.retrying {
		l.backoff = min(maxPathRetry, 2*l.backoff)
	}
	l.retrying, l.retryAt = false, now.Add(l.backoff)
	for _, g := range groupsOf(u) {
		if p.groups[g] == nil {
			p.groups[g] = map[string]struct{}{}
		}
		p.groups[g][u.ID] = struct{}{}
	}
	return first
}

// RecordConnected records that a connection to a replica was made, and returns for how long its
// path had been lost, 0 if it was not.
func (p *Paths) RecordConnected(u *site.Upstream, now time.Time) (lostFor time.Duration) {
	if p.lostCount.Load() == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.lost[u.ID]; l != nil {
		lostFor = now.Sub(l.since)
	}
	p.forget(u.ID)
	for _, g := range groupsOf(u) {
		delete(p.groups, g) // Its other lost paths count for themselves only.
	}
	return lostFor
}

// Forget drops what is known of the path to a replica, which is at fault itself or is not listed
// any more.
func (p *Paths) Forget(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(id)
}

// forget is Forget; the caller holds mu.
func (p *Paths) forget(id string) {
	l := p.lost[id]
	if l == nil {
		return
	}
	delete(p.lost, id)
	p.lostCount.Store(int64(len(p.lost)))
	for _, g := range groupsOf(&l.replica) {
		if delete(p.groups[g], id); len(p.groups[g]) == 0 {
			delete(p.groups, g)
		}
	}
}

// DueRetries returns up to n replicas with lost paths to which a connection is to be tried now.
// The result must be recorded.
func (p *Paths) DueRetries(n int, now time.Time) (due []site.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.lost {
		if len(due) == n {
			break
		}
		if !now.Before(l.retryAt) {
			l.retrying, l.retryAt = true, now.Add(maxPathRetry)
			due = append(due, l.replica)
		}
	}
	return due
}

// LostIDs returns the IDs of the replicas whose own paths are lost.
func (p *Paths) LostIDs() map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := make(map[string]bool, len(p.lost))
	for id := range p.lost {
		ids[id] = true
	}
	return ids
}

// PathStatus counts lost paths.
type PathStatus struct {
	// Replicas is the number of replicas with lost paths, Groups that of the groups of paths that
	// count as lost.
	Replicas int `json:"replicas"`
	Groups   int `json:"groups"`
	// Forwarders is the number of nodes known to reach replicas.
	Forwarders int `json:"forwarders"`
}

// Status returns the counts of lost paths and of nodes that can forward.
func (p *Paths) Status(now time.Time) (s PathStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.Replicas = len(p.lost)
	for _, lost := range p.groups {
		if len(lost) >= minGroupLosses {
			s.Groups++
		}
	}
	for _, f := range p.forwards {
		if f.usable(now) {
			s.Forwarders++
		}
	}
	return s
}
