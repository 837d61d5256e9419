package route

import (
	"maps"
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/site"
)

// A look at each of 10,000 replicas takes several milliseconds of a core, for every request. So
// in a large pool the nodes of a data hall compare only a subset of its replicas, the first ones
// in the order of their hashes that can be used. All of them find the same ones without communication, also the engines whose cache
// contents they track, so prompts that share parts meet at the same engines. A subset that
// is overloaded is left through the few replicas that are drawn at random.
const (
	// maxCompared is the number of replicas up to which each pick compares all of them.
	maxCompared = 384
	// subsetSize is the size of the subset that a hall's nodes share.
	subsetSize = 64
	// drawnOutside is how many replicas of the hall are drawn at random in addition.
	drawnOutside = 16
	// minCandidates is the number of candidates below which the subsets of other halls are
	// used too.
	minCandidates = 8
	// maxSubsetScan bounds the replicas of a hall that are looked at to find its subset, so
	// that the cost is bounded also while most of them can't be used.
	maxSubsetScan = 8 * subsetSize
)

// Candidates returns the replicas that the next pick for a request compares. In a large
// pool it draws them anew and records them in the request's input.
func (p *Pool) Candidates(in *PickInput, now time.Time) []site.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drawCandidates(in, now)
	members := p.compared(in)
	list := make([]site.Upstream, len(members))
	for i, m := range members {
		list[i] = m.Upstream
	}
	return list
}

// compared returns the replicas that a pick compares; the caller holds mu.
func (p *Pool) compared(in *PickInput) []*member {
	if len(p.members) <= maxCompared {
		return p.members
	}
	return in.candidates
}

// assignable returns the replicas among which prompts are assigned by their shared parts,
// the same at all nodes of a data hall; the caller holds mu.
func (p *Pool) assignable(in *PickInput) []*member {
	if len(p.members) <= maxCompared {
		return p.members
	}
	return in.candidates[:in.subset]
}

// drawCandidates draws the replicas to compare in a large pool; the caller holds mu.
func (p *Pool) drawCandidates(in *PickInput, now time.Time) {
	if len(p.members) <= maxCompared {
		return
	}
	in.candidates = p.appendSubset(in.candidates[:0], p.hallOrder[p.dataHall], in, now)
	in.subset = len(in.candidates)
	in.candidates = p.appendDrawn(in.candidates, p.hallOrder[p.dataHall], in, now)
	if len(in.candidates) >= minCandidates {
		in.candidates = p.appendElsewhere(in.candidates, in, now)
		return
	}
	for _, hall := range slices.Sorted(maps.Keys(p.hallOrder)) {
		if hall != p.dataHall {
			in.candidates = p.appendSubset(in.candidates, p.hallOrder[hall], in, now)
		}
	}
}

// appendSubset appends the subset of a hall's replicas for a request. Requests without a
// prompt gain nothing by meeting at the same replicas; each node has another subset for
// them.
func (p *Pool) appendSubset(list []*member, order []*member, in *PickInput, now time.Time) []*member {
	start := 0
	if in.Tokens == 0 && len(order) > 0 {
		start = int(p.subsetSeed % uint64(len(order)))
	}
	found := 0
	for i := range min(len(order), maxSubsetScan) {
		if m := order[(start+i)%len(order)]; p.mayCompare(m, in, now) {
			list = append(list, m)
			if found++; found == subsetSize {
				break
			}
		}
	}
	return list
}

// appendDrawn appends a few of a hall's replicas, drawn at random.
func (p *Pool) appendDrawn(list []*member, order []*member, in *PickInput, now time.Time) []*member {
	if len(order) <= subsetSize {
		return list
	}
	for range drawnOutside {
		m := order[p.rng.IntN(len(order))]
		if p.mayCompare(m, in, now) && !slices.Contains(list, m) {
			list = append(list, m)
		}
	}
	return list
}

// mayCompare reports whether a replica can be used for a request as far as is known without
// the limits that nodes share.
func (p *Pool) mayCompare(m *member, in *PickInput, now time.Time) bool {
	return m.generalExclusion(now) == NotExcluded && !m.passedOver(now) && in.mayRunIn(m.Region) && m.serves(in) &&
		in.allowsSoftware(m.Software)
}
