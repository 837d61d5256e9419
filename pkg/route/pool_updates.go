package route

import (
	"time"

	"github.com/drumpath/drumpath/pkg/site"
)

// setWeights notes a version; the map is replaced, as the old one is shared.
func (m *member) setWeights(model string, v int64) {
	next := make(map[string]int64, len(m.Weights)+1)
	for k, old := range m.Weights {
		next[k] = old
	}
	next[model] = v
	m.Weights = next
}

// SetPeers sets what other nodes have in flight, by replica.
func (p *Pool) SetPeers(loads map[NameHash]PeerLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.list {
		m.others = loads[m.key]
	}
}

// Avoid has a replica passed over for a while where others can take over.
func (p *Pool) Avoid(id string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.replicas[id]; ok && until.After(m.avoid) && !p.without.Avoidance {
		m.avoid = until
	}
}

// ReplicaRef names a replica of which something is told.
type ReplicaRef struct {
	ID string
	// Started tells its start, zero if that is not known; what is told of another start
	// than the one that this node knows is void.
	Started time.Time
}

// RefOf names an upstream.
func RefOf(u *site.Upstream) ReplicaRef { return ReplicaRef{ID: u.ID, Started: u.Started} }

// find returns the replica that is meant, if this node knows that start of it.
func (p *Pool) find(w ReplicaRef) (m *member, ok bool) {
	m, ok = p.replicas[w.ID]
	if ok && !w.Started.IsZero() && !m.Started.IsZero() && !w.Started.Equal(m.Started) {
		return nil, false
	}
	return m, ok
}

// AvoidForSwap has a replica passed over while it gets weights of a version. Word of that
// may come after word that it has them, and is void then.
func (p *Pool) AvoidForSwap(w ReplicaRef, model string, version int64, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.find(w)
	if !ok || m.Weights[model] >= version {
		return
	}
	if until.After(m.avoid) && !p.without.Steering {
		m.avoid = until
	}
	if until.After(m.steered) {
		m.steered = until
	}
}

// CountSwapping is how many replicas are passed over as their weights are replaced.
func (p *Pool) CountSwapping(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, m := range p.list {
		if now.Before(m.steered) {
			n++
		}
	}
	return n
}

// RecordWeights notes the version of a model's weights that a replica has, as it was
// just seen.
func (p *Pool) RecordWeights(w ReplicaRef, model string, version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.find(w)
	if ok && version > 0 && m.Weights[model] != version {
		m.setWeights(model, version)
		m.avoid, m.steered = time.Time{}, time.Time{}
	}
}
