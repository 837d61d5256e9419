package route

import (
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/site"
)

// Upstreams lists the replicas with what was last seen of them.
func (p *Pool) Upstreams() []site.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]site.Upstream, 0, len(p.list))
	for _, m := range p.list {
		list = append(list, m.Upstream)
	}
	return list
}

// Upstream returns a replica by its ID.
func (p *Pool) Upstream(id string) (u site.Upstream, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.replicas[id]
	if !ok {
		return u, false
	}
	return m.Upstream, true
}

// MedianWait is the median of what the least urgent of prompts would wait, over the
// replicas that take some.
func (p *Pool) MedianWait(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := &PickInput{Priority: bandCount - 1, Memory: p.memory.meanTokens()}
	var waits []float64
	for _, m := range p.list {
		if m.forAll(now) == NotExcluded && !m.passedOver(now) {
			waits = append(waits, p.wait(m, n, p.lateness(m, now), now))
		}
	}
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return seconds(waits[len(waits)/2])
}

// Count is how many replicas there are, and how many of them are neither left out nor
// passed over.
func (p *Pool) Count(now time.Time) (all, usable int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.list {
		if m.forAll(now) == NotExcluded && !m.passedOver(now) && !p.limited(m, now) {
			usable++
		}
	}
	return len(p.list), usable
}

// CountCold is how many replicas are cold, or taken to be.
func (p *Pool) CountCold(now time.Time) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.list {
		if p.limited(m, now) {
			n++
		}
	}
	return n
}

// IsActive says whether a replica is listed and has not said that it leaves.
func (p *Pool) IsActive(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.replicas[id]
	return ok && !m.Draining
}

// PoolReplicaStatus is what a dump shows of one replica.
type PoolReplicaStatus struct {
	site.Upstream

	Requests int        `json:"requests"` // Of this node.
	Tokens   BandTokens `json:"tokens"`   // That they are to have read, by urgency.
	Others   PeerLoad   `json:"others"`
	Lateness float64    `json:"lateness"`
	Failing  float64    `json:"failing"`
	Ejected  bool       `json:"ejected"`
	Avoided  bool       `json:"avoided"`
	Cold     bool       `json:"cold"` // Or taken to be.
	Backoff  bool       `json:"backoff"`
	Limited  bool       `json:"limited"`
}

// Status lists the replicas, by name.
func (p *Pool) Status(now time.Time) []PoolReplicaStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]PoolReplicaStatus, 0, len(p.list))
	for _, m := range p.list {
		rate := p.rateState(m, now)
		list = append(list, PoolReplicaStatus{
			Upstream: m.Upstream,
			Requests: len(m.flights),
			Tokens:   m.pending,
			Others:   m.others,
			Lateness: p.lateness(m, now),
			Failing:  m.failing,
			Ejected:  m.outcome.ejected(now),
			Avoided:  now.Before(m.avoid),
			Cold:     p.limited(m, now),
			Backoff:  now.Before(m.backoff),
			Limited:  rate.Limited,
		})
	}
	return list
}
