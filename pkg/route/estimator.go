package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/drumpath/drumpath/pkg/prompt"
)

const (
	// hotCandidates is how many holders of a hot prefix are weighed.
	hotCandidates = 4
	// sampled is how many other replicas are weighed, drawn at random so that
	// many nodes with the same old reports don't all choose the same one.
	sampled = 6
	// storeCandidates is how many stored copies are weighed for each replica.
	storeCandidates = 2
	// otherHall is added for a replica in another data hall.
	otherHall = 2 * time.Millisecond
	// minImport is the least gain in tokens for which an import is weighed.
	minImport = 4 * prompt.ChunkTokens
	// lateFactor, lateGrace and the patience say when an import is much later
	// than expected.
	lateFactor = 1.5
	lateGrace  = 100 * time.Millisecond
)

// estimator places a request by its estimated first-token time, with prices
// for recomputed tokens and for links.
//
// The candidates are the holders of the longest hot prefixes, the replica that
// the prompt's anchor hashes to, and a few drawn at random; each is weighed
// with and without an import from each of the best stored copies. So a decision
// costs the same for 20 replicas and for 7,000.
type estimator struct {
	fleet   *Fleet
	links   *Links
	weights CostWeights
	imports bool
}

// Place implements Policy.
func (p *estimator) Place(q *Request, now time.Time) (Decision, error) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	hot, stored := splitHoldings(q.Match.Locations)
	var all []Decision
	for _, r := range p.candidates(q, hot, now) {
		all = p.options(all, q, r, hot[r.Name], stored, now)
	}
	if len(all) == 0 {
		return Decision{}, ErrNoReplica
	}
	return p.choose(all), nil
}

// choose takes the cheapest of the decisions that are not much slower than the
// fastest. Prices alone would let the wait for a slow link or a busy replica
// grow until it costs as much as what it saves.
func (p *estimator) choose(all []Decision) Decision {
	fastest := all[0].FirstToken()
	for i := range all {
		fastest = min(fastest, all[i].FirstToken())
	}
	best := -1
	for i := range all {
		if all[i].FirstToken() > fastest+p.weights.Patience {
			continue
		}
		if best < 0 || all[i].Score < all[best].Score {
			best = i
		}
	}
	return all[best]
}

// splitHoldings sorts holdings into hot tokens by engine and stored copies,
// longest first.
func splitHoldings(all []prompt.CacheLocation) (hot map[string]int, stored []prompt.CacheLocation) {
	hot = map[string]int{}
	for _, h := range all {
		if h.Object != nil {
			stored = append(stored, h)
			continue
		}
		hot[h.Upstream] = max(hot[h.Upstream], h.Tokens())
	}
	slices.SortStableFunc(stored, func(a, b prompt.CacheLocation) int { return cmp.Compare(b.Chunks, a.Chunks) })
	return hot, stored[:min(len(stored), storeCandidates)]
}

// candidates picks the replicas to weigh; the caller holds the fleet's lock.
func (p *estimator) candidates(q *Request, hot map[string]int, now time.Time) []*replicaState {
	var list []*replicaState
	add := func(r *replicaState) {
		if r != nil && p.fleet.usable(r, q, now) && !slices.Contains(list, r) {
			list = append(list, r)
		}
	}
	holders := make([]string, 0, len(hot))
	for name := range hot {
		holders = append(holders, name)
	}
	slices.SortFunc(holders, func(a, b string) int {
		return cmp.Or(cmp.Compare(hot[b], hot[a]), cmp.Compare(a, b))
	})
	for _, name := range holders[:min(len(holders), hotCandidates)] {
		add(p.fleet.replicas[name])
	}
	all := p.fleet.uncachedCandidates(q.Model)
	if len(all) <= sampled {
		for _, r := range all {
			add(r)
		}
		return list
	}
	anchor := q.Chain.Anchor()
	add(all[xxhash.Sum64(anchor[:])%uint64(len(all))])
	for range 2 * sampled {
		if len(list) >= hotCandidates+sampled {
			break
		}
		add(all[p.fleet.rng.IntN(len(all))])
	}
	if len(list) == 0 {
		// Few are usable: look at all rather than refuse by bad luck.
		for _, r := range p.fleet.byModel[q.Model] {
			add(r)
		}
	}
	return list
}

// options adds to list a replica with what it holds hot, and with each import.
func (p *estimator) options(
	list []Decision,
	q *Request,
	r *replicaState,
	hotTokens int,
	stored []prompt.CacheLocation,
	now time.Time,
) []Decision {
	hotTokens = min(hotTokens, q.Chain.Tokens)
	wait := p.fleet.estimatedWait(r, now)
	if r.DataHall != q.DataHall {
		wait += otherHall
	}
	list = append(list, p.score(Decision{
		Replica:   r.Name,
		Cached:    hotTokens,
		Recompute: q.Chain.Tokens - hotTokens,
		Wait:      wait,
		Prefill:   r.prefill(q.Chain.Tokens - hotTokens),
	}, r, 0))
	if !p.imports {
		return list
	}
	for _, h := range stored {
		gain := h.Tokens() - hotTokens
		if gain < minImport {
			continue
		}
		bytes := int64(h.Tokens()) * int64(r.report.TokenBytes)
		fetch := p.links.Estimate(h.Upstream, r.Name, bytes, now)
		list = append(list, p.score(Decision{
			Replica:   r.Name,
			Cached:    hotTokens,
			Recompute: q.Chain.Tokens - h.Tokens(),
			Import: &Import{
				Store:   h.Upstream,
				Object:  *h.Object,
				Chunks:  h.Chunks,
				Bytes:   bytes,
				Timeout: p.giveUp(r, gain, wait, fetch),
			},
			Wait:    wait,
			Fetch:   fetch,
			Prefill: r.prefill(q.Chain.Tokens - h.Tokens()),
		}, r, p.links.Seconds(h.Upstream, r.Name, bytes, now)))
	}
	return list
}

// giveUp is after how long an import is given up. It is the time after which
// recomputing would have been the better choice; but an import that takes much
// longer than it was expected to shows that the estimate was wrong, and says
// nothing of when it will end, so it is given up sooner.
func (p *estimator) giveUp(r *replicaState, gain int, wait, fetch time.Duration) time.Duration {
	worth := wait + time.Duration(float64(r.prefill(gain))*(1+p.weights.Recompute/p.weights.Latency))
	late := time.Duration(float64(fetch)*lateFactor) + max(lateGrace, p.weights.Patience)
	return min(worth, late)
}

// score prices a decision in weighted seconds; link is for how long it occupies
// a link.
func (p *estimator) score(d Decision, r *replicaState, link float64) Decision {
	d.Score = p.weights.Latency*d.FirstToken().Seconds() +
		p.weights.Recompute*r.prefill(d.Recompute).Seconds() +
		p.weights.Link*link
	return d
}
