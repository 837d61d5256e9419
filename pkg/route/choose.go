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
	// choices is how many replicas are drawn of all that may be used, and how many of
	// those that would be soonest if nothing waited anywhere: such as hold the prompt, or
	// stand in the same data hall.
	choices = 2
	// nearTime is by how much a replica may be later than the soonest to count with it:
	// a little over the price of another data hall.
	nearTime = 5 * time.Millisecond
	// tieTime is the difference below which replicas count as equal: ties are broken at
	// random.
	tieTime = time.Millisecond
)

// candidate is a replica that may take a request, and its price with nothing waiting.
type candidate struct {
	m    *member
	idle float64
}

// choose picks the replica for a request, nil if none may take it. Those that are passed
// over are only used if there is no other.
func (p *Pool) choose(n *PickInput, home *member, now time.Time) *member {
	for _, passedOver := range []bool{false, true} {
		list, least := p.candidates[:0], math.Inf(1)
		for _, m := range p.list {
			if m.passedOver(now) != passedOver {
				continue
			}
			why, rate := p.exclusion(m, n, now)
			if why != NotExcluded {
				continue
			}
			c := candidate{m: m, idle: p.idleCost(m, n, m == home, &rate, now)}
			list, least = append(list, c), min(least, c.idle)
		}
		p.candidates = list
		if len(list) > 0 {
			return p.weigh(p.draw(list, least), n, now)
		}
	}
	return nil
}

// draw moves the candidates that are to be weighed to the front of a list, and returns
// them.
func (p *Pool) draw(list []candidate, least float64) []candidate {
	if p.without.Choices {
		return list
	}
	drawn := min(choices, len(list))
	p.drawInto(list, 0, drawn, len(list))
	// The soonest come next, behind those that are drawn already.
	near := drawn
	for i := drawn; i < len(list); i++ {
		if list[i].idle <= least+nearTime.Seconds() {
			list[i], list[near] = list[near], list[i]
			near++
		}
	}
	more := min(choices, near-drawn)
	p.drawInto(list, drawn, more, near)
	return list[:drawn+more]
}

// drawInto draws some of list[from:to] to its front.
func (p *Pool) drawInto(list []candidate, from, count, to int) {
	for i := from; i < from+count; i++ {
		j := i + p.rng.IntN(to-i)
		list[i], list[j] = list[j], list[i]
	}
}

// weigh returns the candidate that costs least.
func (p *Pool) weigh(list []candidate, n *PickInput, now time.Time) (chosen *member) {
	best := math.Inf(1)
	for _, c := range list {
		cost := c.idle + p.busyTime(c.m, n, p.lateness(c.m, now), now) + p.rng.Float64()*tieTime.Seconds()
		if cost < best {
			best, chosen = cost, c.m
		}
	}
	return chosen
}
