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
			return decisionWithoutImport(q, r, 0, now), nil
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
	r := p.fleet.shortestWait(q, now)
	if r == nil {
		return Decision{}, ErrNoReplica
	}
	return decisionWithoutImport(q, r, 0, now), nil
}

// longestPrefix takes the replica that holds the longest hot prefix, whatever
// its load, or the one with the shortest wait if none holds any.
type longestPrefix struct{ fleet *Fleet }

// Place implements Policy.
func (p *longestPrefix) Place(q *Request, now time.Time) (Decision, error) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	hot, _ := splitLocations(q.Match.Locations)
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
		best = p.fleet.shortestWait(q, now)
	}
	if best == nil {
		return Decision{}, ErrNoReplica
	}
	return decisionWithoutImport(q, best, hot[best.Name], now), nil
}

// shortestWait returns the usable replica with the shortest wait, nil if there is
// none; the caller holds mu.
func (f *Fleet) shortestWait(q *Request, now time.Time) *replicaState {
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

// decisionWithoutImport returns the decision to run on a replica with no import.
func decisionWithoutImport(q *Request, r *replicaState, hotTokens int, now time.Time) Decision {
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
