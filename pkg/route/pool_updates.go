package route

import (
	"time"

	"github.com/drumpath/drumpath/pkg/site"
)

// setWeights notes a version; the map is replaced, as the old one is shared.
func (m *member) setWeights(model string, version int64) {
	next := make(map[string]int64, len(m.Weights)+1)
	for k, old := range m.Weights {
		next[k] = old
	}
	next[model] = version
	m.Weights = next
}

// SetPeers sets what other nodes have in flight, by replica.
func (p *Pool) SetPeers(loads map[NameHash]PeerLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		m.peerLoad = loads[m.startHash]
	}
}

// Avoid has a replica passed over for a while where others can take over.
func (p *Pool) Avoid(id string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.byID[id]; ok && until.After(m.avoidUntil) && !p.disabled.Avoidance {
		m.avoidUntil = until
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
func (p *Pool) find(ref ReplicaRef) (m *member, ok bool) {
	m, ok = p.byID[ref.ID]
	if ok && !ref.Started.IsZero() && !m.Started.IsZero() && !ref.Started.Equal(m.Started) {
		return nil, false
	}
	return m, ok
}

// AvoidForSwap has a replica passed over while it gets weights of a version. Word of that
// may come after word that it has them, and is void then.
func (p *Pool) AvoidForSwap(ref ReplicaRef, model string, version int64, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.find(ref)
	if !ok || m.Weights[model] >= version {
		return
	}
	if until.After(m.avoidUntil) && !p.disabled.Steering {
		m.avoidUntil = until
	}
	if until.After(m.swapUntil) {
		m.swapUntil = until
	}
}

// Swapping is how many replicas are passed over as their weights are replaced.
func (p *Pool) Swapping(now time.Time) int {
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

// RecordWeights notes the version of a model's weights that a replica has, as it was
// just seen.
func (p *Pool) RecordWeights(ref ReplicaRef, model string, version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.find(ref)
	if ok && version > 0 && m.Weights[model] != version {
		m.setWeights(model, version)
		m.avoidUntil, m.swapUntil = time.Time{}, time.Time{}
	}
}
