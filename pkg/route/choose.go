package route

import (
	"math"
	"time"
)

// A replica is chosen by its estimated queue. What this node knows of the requests of
// other nodes is some 20 ms old in a fleet of 9 nodes and up to 0.4 s old in one of 295.
//
// Under a burst that age matters: if every node compared all replicas, all would send to
// the one that looks least busy until they get its new load, and then to the next one.
// So each pick compares only a few, drawn at random. In a replay of 2 s of 2.5 times the
// usual load, with reports 0.2 to 0.3 s old, 0.12 of the prompts of 295 nodes were late
// when all replicas were compared and 0.003 when two were; with 59 nodes 0.094 and 0.001;
// and with reports 20 ms old, 3.5 times the load and 59 nodes, 0.090 and 0.0001. Four are
// worse than two (0.018 at 295 nodes), and random noise on the costs helps less (0.06).
const (
	// sampleSize is how many replicas are drawn from all eligible ones, or from those of the
	// own hall if the request stays there, and how many more from those with the least cost
	// when idle, such as those that have the prompt cached.
	sampleSize = 2
	// nearCostMargin is how far a replica's idle cost may be above the least one for it to
	// be drawn as one of the cheapest: a little over crossHallCost.
	nearCostMargin = 5 * time.Millisecond
	// tieMargin is the random amount that is added to a cost to break ties.
	tieMargin = time.Millisecond
)

// candidate is a replica that is eligible for a request, with its cost when idle.
type candidate struct {
	member    *member
	idleCost  float64
	surcharge float64 // Part of idleCost.
	// skipped is set for a replica of another hall that is not worth comparing.
	skipped bool
}

// choose returns the replica for a request, nil if none is eligible, and why it is not in the
// own hall. Replicas that are passed over are considered only if there is no other, and silent
// ones last. If none of the replicas drawn from a large pool is eligible, all are looked at.
func (p *Pool) choose(in *PickInput, affinity *member, now time.Time) (*member, HallExit) {
	if len(p.members) > maxCompared {
		if m, exit := p.chooseInUse(in.candidates, in, affinity, now); m != nil {
			return m, exit
		}
	}
	if m, exit := p.chooseInUse(p.members, in, affinity, now); m != nil {
		return m, exit
	}
	if m, exit := p.chooseAmong(p.members, rankPassedOver, in, affinity, now); m != nil {
		return m, exit
	}
	return p.chooseAmong(p.members, rankSilent, in, affinity, now)
}

// rank orders replicas by whether they are used: a rank only if no replica of a lower one
// is eligible.
type rank int

// Ranks of replicas.
const (
	// rankInUse: it is used, or will be once a connection to it has been made.
	rankInUse rank = iota
	// rankPassedOver: it is avoided or ejected, but was reached.
	rankPassedOver
	// rankSilent: it could not be reached, or a connection to it is being made.
	rankSilent
)

func (m *member) rank(now time.Time) rank {
	switch {
	case !m.passedOver(now):
		return rankInUse
	case m.outlier.awaitsContact:
		return rankSilent
	default:
		return rankPassedOver
	}
}

// chooseInUse returns the replica for a request among those in a list that are in use. If
// it would be one that has been silent and was not reached since, a connection to it is
// requested and another one is chosen.
func (p *Pool) chooseInUse(list []*member, in *PickInput, affinity *member, now time.Time) (*member, HallExit) {
	for {
		m, exit := p.chooseAmong(list, rankInUse, in, affinity, now)
		if m == nil || !m.contactDue(now) {
			return m, exit
		}
		p.requestContact(m, in, now)
	}
}

// chooseAmong returns the cheapest of a few of the eligible replicas of a rank in a list.
func (p *Pool) chooseAmong(list []*member, wanted rank, in *PickInput, affinity *member, now time.Time) (*member, HallExit) {
	found := candidates{list: p.candidates[:0], leastIdle: math.Inf(1)}
	for _, m := range list {
		if m.removed() || m.rank(now) != wanted {
			continue
		}
		reason, rate := p.exclusion(m, in, now)
		if reason != NotExcluded {
			continue
		}
		c := candidate{member: m, surcharge: p.surcharge(m, in, &rate, now)}
		c.idleCost = p.idleCost(m, in, m == affinity && !in.meeting, c.surcharge, now)
		found.list, found.leastIdle = append(found.list, c), min(found.leastIdle, c.idleCost)
	}
	p.candidates = found.list
	if len(found.list) == 0 {
		return nil, NoHallExit
	}
	p.decideHall(&found, in, now)
	in.limitPartGain(found.list, affinity)
	chosen := p.cheapest(p.sample(&found, in, affinity), in, affinity, now)
	return chosen, p.hallExit(&found, chosen, in)
}

// sample moves the candidates to compare to the front of the list, and returns them.
func (p *Pool) sample(c *candidates, in *PickInput, affinity *member) []candidate {
	list := c.list
	if p.disabled.ReplicaSampling {
		return list
	}
	from, to := 0, len(list)
	switch {
	case c.stays:
		to = c.own
	case len(p.members) > maxCompared && c.own < len(list):
		from = c.own // Few of the candidates in a large pool are of other halls.
	}
	sampled := min(sampleSize, to-from)
	p.sampleToFront(list, from, sampled, to)
	for i := range sampled {
		list[i], list[from+i] = list[from+i], list[i]
	}
	// Draw from the cheapest ones next, excluding those already drawn.
	nearEnd := sampled
	for i := sampled; i < len(list); i++ {
		if list[i].idleCost <= c.leastIdle+nearCostMargin.Seconds() && !list[i].skipped {
			list[i], list[nearEnd] = list[nearEnd], list[i]
			nearEnd++
		}
	}
	extra := min(sampleSize, nearEnd-sampled)
	p.sampleToFront(list, sampled, extra, nearEnd)
	return withAffinity(list, sampled+extra, in, affinity)
}

// sampleToFront moves count random elements of list[from:to] to its front.
func (p *Pool) sampleToFront(list []candidate, from, count, to int) {
	for i := from; i < from+count; i++ {
		j := i + p.rng.IntN(to-i)
		list[i], list[j] = list[j], list[i]
	}
}

// cheapest returns the candidate with the least cost.
func (p *Pool) cheapest(list []candidate, in *PickInput, affinity *member, now time.Time) (chosen *member) {
	best := math.Inf(1)
	for _, c := range list {
		ratio := p.relativeLatency(c.member, now)
		cost := c.idleCost + p.queueSeconds(c.member, in, ratio, now) + p.preemptionSeconds(c.member, in, ratio) + p.rng.Float64()*tieMargin.Seconds()
		if c.member == affinity && in.meeting {
			cost -= p.meetingGain(c.member, in)
		}
		if cost < best {
			best, chosen = cost, c.member
		}
	}
	return chosen
}
