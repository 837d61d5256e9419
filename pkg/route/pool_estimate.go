package route

import (
	"math"
	"time"

	"github.com/drumpath/drumpath/pkg/rendezvous"
)

// home is the replica to which a prompt's shared parts belong: all nodes take
// the same one without a word, so it is the likeliest to have them.
func (p *Pool) home(n *PickInput) *member {
	if n.Affinity == 0 || p.without.Home {
		return nil
	}
	var best *member
	weight := uint64(0)
	for _, m := range p.list {
		if m.Draining {
			continue
		}
		if w := rendezvous.Weight(n.Affinity, m.hash); best == nil || w > weight {
			best, weight = m, w
		}
	}
	return best
}

// idleCost is the price of a replica at which nothing waits, in seconds.
func (p *Pool) idleCost(m *member, n *PickInput, home bool, rate *RateState, now time.Time) float64 {
	cost := p.idleTime(m, n, home, p.lateness(m, now))
	if m.DataHall != p.hall {
		cost += hallTime.Seconds()
	}
	if n.NewestVersion > 0 && m.Weights[n.Model] < n.NewestVersion {
		cost += oldWeightsTime.Seconds() * n.StalenessWeight
	}
	cost += (warmCost(now, m.cold, rate.Ended, m.backoff) - rate.unusedGain()).Seconds()
	return cost
}

// firstByte is the expected time to the first byte of the answer, in seconds.
func (p *Pool) firstByte(m *member, n *PickInput, home bool, late float64, now time.Time) float64 {
	return p.idleTime(m, n, home, late) + p.busyTime(m, n, late, now)
}

// idleTime is the part of firstByte that a replica at which nothing waits would take.
func (p *Pool) idleTime(m *member, n *PickInput, home bool, late float64) float64 {
	if n.Tokens == 0 {
		return p.meanRun.Seconds() * late
	}
	offer := n.Coverage[m.ID]
	return (p.base+n.toRead(offer, home)*p.perToken)*late + offer.Wait.Seconds()
}

// busyTime is the part of firstByte that comes from others at the replica.
func (p *Pool) busyTime(m *member, n *PickInput, late float64, now time.Time) float64 {
	if n.Tokens > 0 {
		return p.wait(m, n, late, now)
	}
	running := len(m.flights) + m.others.Requests
	wait := 0.0
	if over := running + 1 - max(1, m.Slots); over > 0 {
		wait = float64(over) * p.meanRun.Seconds() / float64(max(1, m.Slots))
	}
	// Replicas with some to do come after idle ones.
	wait += p.meanRun.Seconds() * float64(running) / float64(4*max(1, m.Slots))
	return wait * late
}

// promptWait is wait, and nothing for requests without a prompt.
func (p *Pool) promptWait(m *member, n *PickInput, now time.Time) float64 {
	if n.Tokens == 0 {
		return 0
	}
	return p.wait(m, n, p.lateness(m, now), now)
}

// wait is how long a prompt waits at a replica until it is begun, in seconds.
func (p *Pool) wait(m *member, n *PickInput, late float64, now time.Time) float64 {
	running := float64(len(m.flights) + m.others.Requests)
	reading := float64(m.ahead(n)) * p.perToken
	slots := 0.0
	if over := running + 1 - float64(m.Slots); m.Slots > 0 && over > 0 {
		slots = over / float64(m.Slots) * p.memory.meanHoldSeconds()
	}
	return (reading+running*runTime.Seconds())*late + slots + p.memoryWait(m, n.Memory) + p.overdue(m, now)
}

// overdue is by how much the first byte of this node's longest unanswered prompt at a
// replica is overdue, in seconds: a replica that has fallen silent shows by nothing
// else until time is up, and the next prompt would wait no less.
func (p *Pool) overdue(m *member, now time.Time) float64 {
	if p.without.Overdue {
		return 0
	}
	most := time.Duration(0)
	for k := range m.flights {
		if !k.first && k.tokens > 0 {
			most = max(most, now.Sub(k.begun)-2*k.expected)
		}
	}
	return most.Seconds()
}

// ahead is how many tokens are read at a replica before a prompt's.
func (m *member) ahead(n *PickInput) int {
	return m.pending.Plus(m.others.Tokens).sumUpTo(bandOf(n.Priority))
}

// lateness is how much longer than the others' the replica's answers take.
//
// The load pattern that it answers is a replica that is slow among others that are not. When
// all are late, as under a burst, that is learnt as the time that a token takes to be read, and
// is not to be counted once more for each replica that answered last.
func (p *Pool) lateness(m *member, now time.Time) float64 {
	if p.without.Lateness {
		return 1
	}
	return min(mostLateness, p.ownLate(m, now)/p.late)
}

// ownLate is the mean of the time taken over the time expected at one replica; the longer ago
// the last answer, the more it is that of all.
func (p *Pool) ownLate(m *member, now time.Time) float64 {
	fade := math.Exp(-max(0, now.Sub(m.lateAt).Seconds()/lateMemory.Seconds()))
	return p.late + (m.late-p.late)*fade
}
