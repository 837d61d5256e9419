package route

import (
	"time"

	"github.com/drumpath/drumpath/pkg/site"
)

// setWeights records a version. It copies the map, as the old one is shared.
func (m *member) setWeights(model string, version int64) {
	next := make(map[string]int64, len(m.Weights)+1)
	for k, old := range m.Weights {
		next[k] = old
	}
	next[model] = version
	m.Weights = next
}

// SetPeers sets the load that other nodes have in flight at each replica, and in their queues.
func (p *Pool) SetPeers(loads map[NameHash]PeerLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.reported {
		m.peerLoad = PeerLoad{}
	}
	p.reported = p.reported[:0]
	p.peerSum, p.peerQueued = PeerLoad{}, loads[p.queueKey]
	for start, load := range loads {
		if m := p.byStart[start]; m != nil {
			m.peerLoad = load
			p.peerSum = p.peerSum.Plus(load)
			p.reported = append(p.reported, m)
		}
	}
}

// Avoid makes a replica a last resort for a while.
func (p *Pool) Avoid(id string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.byID[id]; ok && until.After(m.avoidUntil) && !p.disabled.RefusalCooldown {
		m.avoidUntil = until
	}
}

// ReplicaRef identifies a replica, and if known which start of it, in a report about it.
type ReplicaRef struct {
	ID string
	// Started is the time of its start, zero if unknown. A report about another start than
	// the one that this node knows is ignored.
	Started time.Time
}

// RefOf returns the reference to an upstream.
func RefOf(u *site.Upstream) ReplicaRef { return ReplicaRef{ID: u.ID, Started: u.Started} }

// find is Find; the caller holds mu.
func (p *Pool) find(ref ReplicaRef) (m *member, ok bool) {
	m, ok = p.byID[ref.ID]
	if ok && !ref.Started.IsZero() && !m.Started.IsZero() && !ref.Started.Equal(m.Started) {
		return nil, false
	}
	return m, ok
}

// Find returns the referenced replica, if this node knows the same start of it.
func (p *Pool) Find(ref ReplicaRef) (u site.Upstream, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.find(ref)
	if !ok {
		return u, false
	}
	return m.Upstream, true
}

// AvoidForSwap makes a replica a last resort while it swaps to a version of a model's
// weights. The notice may arrive after the swap has been seen to be done, and is ignored
// then.
func (p *Pool) AvoidForSwap(ref ReplicaRef, model string, version int64, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.find(ref)
	if !ok || m.Weights[model] >= version {
		return
	}
	if until.After(m.avoidUntil) && !p.disabled.PreSwapAvoidance {
		m.avoidUntil = until
	}
	if until.After(m.swapUntil) {
		m.swapUntil = until
	}
}

// CountSwapping returns the number of replicas whose weights are expected to be swapped now.
func (p *Pool) CountSwapping(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, m := range p.members {
		if now.Before(m.swapUntil) {
			n++
		}
	}
	return n
}

// RecordWeights records the version of a model's weights that a replica was just seen to
// have.
func (p *Pool) RecordWeights(ref ReplicaRef, model string, version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.find(ref)
	if ok && version > 0 && m.Weights[model] != version {
		m.setWeights(model, version)
		p.revision++
		m.avoidUntil, m.swapUntil = time.Time{}, time.Time{}
	}
}
