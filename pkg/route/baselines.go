package route

import (
	"time"
)

// roundRobin takes the replicas in turn.
type roundRobin struct{ fleet *Fleet }

// Place implements Policy.
func (p *roundRobin) Place(q *Request, now time.Time) (Decision, error) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	all := p.fleet.byModel[q.Model]
	for range all {
		p.fleet.nextRoundRobin++
		if r := all[p.fleet.nextRoundRobin%len(all)]; p.fleet.usable(r, q, now) {
			return plain(q, r, 0, now), nil
		}
	}
	return Decision{}, ErrNoReplica
}

// leastLoaded takes the replica with the shortest wait.
type leastLoaded struct{ fleet *Fleet }

// Place implements Policy.
func (p *leastLoaded) Place(q *Request, now time.Time) (Decision, error) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	r := p.fleet.quietest(q, now)
	if r == nil {
		return Decision{}, ErrNoReplica
	}
	return plain(q, r, 0, now), nil
}

// longestPrefix takes the replica that holds the longest hot prefix, whatever
// its load, and the quietest where none holds any.
type longestPrefix struct{ fleet *Fleet }

// Place implements Policy.
func (p *longestPrefix) Place(q *Request, now time.Time) (Decision, error) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	hot, _ := splitHoldings(q.Match.Locations)
	var best *replicaState
	for name, tokens := range hot {
		r, known := p.fleet.replicas[name]
		if !known || !p.fleet.usable(r, q, now) {
			continue
		}
		if best == nil || tokens > hot[best.Name] || (tokens == hot[best.Name] && r.wait(now) < best.wait(now)) {
			best = r
		}
	}
	if best == nil {
		best = p.fleet.quietest(q, now)
	}
	if best == nil {
		return Decision{}, ErrNoReplica
	}
	return plain(q, best, hot[best.Name], now), nil
}

// quietest finds the usable replica with the shortest wait; the caller holds
// mu.
func (f *Fleet) quietest(q *Request, now time.Time) *replicaState {
	var best *replicaState
	var wait time.Duration
	for _, r := range f.byModel[q.Model] {
		if !f.usable(r, q, now) {
			continue
		}
		if w := r.wait(now); best == nil || w < wait {
			best, wait = r, w
		}
	}
	return best
}

// plain is the decision to run on a replica without an import.
func plain(q *Request, r *replicaState, hotTokens int, now time.Time) Decision {
	hotTokens = min(hotTokens, q.Chain.Tokens)
	d := Decision{
		Replica:   r.Name,
		Cached:    hotTokens,
		Recompute: q.Chain.Tokens - hotTokens,
		Wait:      r.wait(now),
		Prefill:   r.prefill(q.Chain.Tokens - hotTokens),
	}
	d.Score = d.FirstToken().Seconds()
	return d
}
