package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/drumpath/drumpath/pkg/prompt"
)

const (
	// maxHolderCandidates is how many holders of a hot prefix are compared.
	maxHolderCandidates = 4
	// maxRandomCandidates is how many other replicas are compared. They are drawn at
	// random so that nodes with the same old reports don't all choose the same one.
	maxRandomCandidates = 6
	// maxStoredCopies is how many stored copies are compared for each replica.
	maxStoredCopies = 2
	// crossHallLatency is added to the wait at a replica in another data hall.
	crossHallLatency = 2 * time.Millisecond
	// minImportGain is the least number of tokens saved for which an import is considered.
	minImportGain = 4 * prompt.ChunkTokens
	// importLateFactor, importLateGrace and CostWeights.Patience determine how much
	// longer than estimated an import may take before it is abandoned.
	importLateFactor = 1.5
	importLateGrace  = 100 * time.Millisecond
)

// estimator places a request by its estimated first-token time and by the costs of
// recomputed tokens and of links.
//
// The candidates are the holders of the longest hot prefixes, the replica that
// the prompt's anchor hashes to, and a few drawn at random. Each is scored
// without an import and with one from each of the longest stored copies. So a
// decision takes as long for 7,000 replicas as for 20.
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
	hot, stored := splitLocations(q.Match.Locations)
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
// fastest. By score alone, the wait for a slow link or a busy replica could grow
// until it costs as much as what it saves.
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

// splitLocations splits cache locations into hot tokens by engine and the longest
// stored copies, longest first.
func splitLocations(locations []prompt.CacheLocation) (hot map[string]int, stored []prompt.CacheLocation) {
	hot = map[string]int{}
	for _, h := range locations {
		if h.Object != nil {
			stored = append(stored, h)
			continue
		}
		hot[h.Upstream] = max(hot[h.Upstream], h.Tokens())
	}
	slices.SortStableFunc(stored, func(a, b prompt.CacheLocation) int { return cmp.Compare(b.Chunks, a.Chunks) })
	return hot, stored[:min(len(stored), maxStoredCopies)]
}

// candidates picks the replicas to compare; the caller holds the fleet's lock.
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
	for _, name := range holders[:min(len(holders), maxHolderCandidates)] {
		add(p.fleet.replicas[name])
	}
	all := p.fleet.uncachedCandidates(q.Model)
	if len(all) <= maxRandomCandidates {
		for _, r := range all {
			add(r)
		}
		return list
	}
	anchor := q.Chain.Anchor()
	add(all[xxhash.Sum64(anchor[:])%uint64(len(all))])
	for range 2 * maxRandomCandidates {
		if len(list) >= maxHolderCandidates+maxRandomCandidates {
			break
		}
		add(all[p.fleet.rng.IntN(len(all))])
	}
	if len(list) == 0 {
		// Few replicas are usable: check all rather than refuse the request by chance.
		for _, r := range p.fleet.byModel[q.Model] {
			add(r)
		}
	}
	return list
}

// options appends the scored decisions for a replica: without an import and with each
// possible one.
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
		wait += crossHallLatency
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
		if gain < minImportGain {
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
				Timeout: p.importTimeout(r, gain, wait, fetch),
			},
			Wait:    wait,
			Fetch:   fetch,
			Prefill: r.prefill(q.Chain.Tokens - h.Tokens()),
		}, r, p.links.TransferSeconds(h.Upstream, r.Name, bytes, now)))
	}
	return list
}

// importTimeout is the time after which an import is abandoned: when recomputing would
// have been the better choice, or earlier if the import takes much longer than estimated.
// In that case the estimate was wrong, and the import's end can't be predicted.
func (p *estimator) importTimeout(r *replicaState, gain int, wait, fetch time.Duration) time.Duration {
	breakEven := wait + time.Duration(float64(r.prefill(gain))*(1+p.weights.Recompute/p.weights.Latency))
	late := time.Duration(float64(fetch)*importLateFactor) + max(importLateGrace, p.weights.Patience)
	return min(breakEven, late)
}

// score sets a decision's score in weighted seconds; linkSeconds is how long it
// occupies a link.
func (p *estimator) score(d Decision, r *replicaState, linkSeconds float64) Decision {
	d.Score = p.weights.Latency*d.FirstToken().Seconds() +
		p.weights.Recompute*r.prefill(d.Recompute).Seconds() +
		p.weights.Link*linkSeconds
	return d
}
