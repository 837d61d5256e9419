package route

import (
	"math"
	"time"
)

// A replica is chosen by what waits there, as far as that is known: from other nodes it is
// known some 20 ms late in a fleet of 9 nodes and up to 0.4 s late in one of 295.
//
// The load pattern that this answers is a burst: when all nodes weigh all replicas, the one
// that looks least busy is sent what comes to all of them until they hear of it, and
// another one after that. So only a few are weighed, drawn at random at each choice. In a
// replay of 2 s of 2.5 times the usual load, with news 0.2 to 0.3 s late, 0.12 of the prompts
// of 295 nodes came late with all weighed and 0.003 with two; of 59 nodes 0.094 and 0.001;
// and with news 20 ms late, at 3.5 times the load, 0.090 and 0.0001 of 59 nodes. Four are
// worse than two (0.018 at 295 nodes), noise on what is weighed helps less (0.06).
const (
	// sampleSize is how many replicas are drawn of all that may be used, and how many of
	// those that would be soonest if nothing waited anywhere: such as hold the prompt, or
	// stand in the same data hall.
	sampleSize = 2
	// nearCostMargin is by how much a replica may be later than the soonest to count with it:
	// a little over the price of another data hall.
	nearCostMargin = 5 * time.Millisecond
	// tieMargin is the difference below which replicas count as equal: ties are broken at
	// random.
	tieMargin = time.Millisecond
)

// candidate is a replica that may take a request, and its price with nothing waiting.
type candidate struct {
	member   *member
	idleCost float64
}

// choose picks the replica for a request, nil if none may take it. Those that are passed
// over are only used if there is no other.
func (p *Pool) choose(in *PickInput, affinity *member, now time.Time) *member {
	for _, lastResort := range []bool{false, true} {
		candidates, leastIdle := p.candidates[:0], math.Inf(1)
		for _, m := range p.members {
			if m.lastResort(now) != lastResort {
				continue
			}
			reason, rate := p.exclusion(m, in, now)
			if reason != NotExcluded {
				continue
			}
			c := candidate{member: m, idleCost: p.idleCost(m, in, m == affinity, &rate, now)}
			candidates, leastIdle = append(candidates, c), min(leastIdle, c.idleCost)
		}
		p.candidates = candidates
		if len(candidates) > 0 {
			return p.cheapest(p.sample(candidates, leastIdle), in, now)
		}
	}
	return nil
}

// draw moves the candidates that are to be weighed to the front of a list, and returns
// them.
func (p *Pool) sample(list []candidate, leastIdle float64) []candidate {
	if p.disabled.Choices {
		return list
	}
	sampled := min(sampleSize, len(list))
	p.sampleToFront(list, 0, sampled, len(list))
	// The soonest come next, behind those that are drawn already.
	near := sampled
	for i := sampled; i < len(list); i++ {
		if list[i].idleCost <= leastIdle+nearCostMargin.Seconds() {
			list[i], list[near] = list[near], list[i]
			near++
		}
	}
	extra := min(sampleSize, near-sampled)
	p.sampleToFront(list, sampled, extra, near)
	return list[:sampled+extra]
}

// sampleToFront draws some of list[from:to] to its front.
func (p *Pool) sampleToFront(list []candidate, from, count, to int) {
	for i := from; i < from+count; i++ {
		j := i + p.rng.IntN(to-i)
		list[i], list[j] = list[j], list[i]
	}
}

// weigh returns the candidate that costs least.
func (p *Pool) cheapest(list []candidate, in *PickInput, now time.Time) (chosen *member) {
	best := math.Inf(1)
	for _, c := range list {
		cost := c.idleCost + p.queueSeconds(c.member, in, p.relativeLatency(c.member, now), now) + p.rng.Float64()*tieMargin.Seconds()
		if cost < best {
			best, chosen = cost, c.member
		}
	}
	return chosen
}
