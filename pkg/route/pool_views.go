package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/site"
)

// Upstreams returns the replicas with their last known state.
func (p *Pool) Upstreams() []site.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]site.Upstream, 0, len(p.members))
	for _, m := range p.members {
		list = append(list, m.Upstream)
	}
	return list
}

// Draw returns up to n replicas drawn at random, apart from those whose IDs are excluded.
func (p *Pool) Draw(n int, exclude map[string]bool) (list []site.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range p.rng.Perm(len(p.members)) {
		if len(list) == n {
			break
		}
		if m := p.members[i]; !exclude[m.ID] {
			list = append(list, m.Upstream)
		}
	}
	return list
}

// Upstream returns a replica by its ID.
func (p *Pool) Upstream(id string) (u site.Upstream, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.byID[id]
	if !ok {
		return u, false
	}
	return m.Upstream, true
}

// MedianWait returns the median queueing time of a prompt of the least urgent priority,
// over the replicas that accept requests, in a large pool over some of this node's data hall.
func (p *Pool) MedianWait(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	in := &PickInput{Priority: bandCount - 1, Memory: p.memory.meanTokens()}
	var waits []float64
	sample := p.members
	if own := p.hallOrder[p.dataHall]; len(sample) > maxCompared {
		sample = own[:min(len(own), medianWaitSample)]
	}
	for _, m := range sample {
		if m.usable(now) {
			waits = append(waits, p.prefillQueueSeconds(m, in, p.relativeLatency(m, now), now))
		}
	}
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return seconds(waits[len(waits)/2])
}

// Count returns the number of replicas, and how many of them are usable without
// restriction.
func (p *Pool) Count(now time.Time) (all, usable int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		if m.usable(now) && !p.isCold(m, now) {
			usable++
		}
	}
	return len(p.members), usable
}

// CountCold returns the number of replicas that are cold or presumed to be.
func (p *Pool) CountCold(now time.Time) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		if p.isCold(m, now) {
			n++
		}
	}
	return n
}

// IsActive reports whether a replica is listed and not draining.
func (p *Pool) IsActive(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.byID[id]
	return ok && !m.Draining
}

// PoolReplicaStatus is the state of one replica in a dump.
type PoolReplicaStatus struct {
	site.Upstream

	Requests int        `json:"requests"` // In flight from this node.
	Tokens   BandTokens `json:"tokens"`   // Tokens that they have to prefill, by priority band.
	Others   PeerLoad   `json:"others"`   // Load from other nodes.
	Lateness float64    `json:"lateness"` // Latency ratio relative to the pool's mean.
	Failing  float64    `json:"failing"`  // Mean share of failed requests.
	Ejected  bool       `json:"ejected"`
	Silent   bool       `json:"silent"` // Could not be reached, and was not heard since.
	Avoided  bool       `json:"avoided"`
	Cold     bool       `json:"cold"` // Or presumed to be.
	Backoff  bool       `json:"backoff"`
	Limited  bool       `json:"limited"`
}

// Status returns the state of all replicas, sorted by ID.
func (p *Pool) Status(now time.Time) []PoolReplicaStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]PoolReplicaStatus, 0, len(p.members))
	for _, m := range p.members {
		rate := p.rateState(m, now)
		list = append(list, PoolReplicaStatus{
			Upstream: m.Upstream,
			Requests: len(m.inFlight),
			Tokens:   m.pendingTokens,
			Others:   m.peerLoad,
			Lateness: p.relativeLatency(m, now),
			Failing:  m.failureRate,
			Ejected:  m.outlier.ejected(now),
			Silent:   m.outlier.awaitsContact,
			Avoided:  now.Before(m.avoidUntil),
			Cold:     p.isCold(m, now),
			Backoff:  now.Before(m.backoffUntil),
			Limited:  rate.Limited,
		})
	}
	slices.SortFunc(list, func(a, b PoolReplicaStatus) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
