package route

import (
	"math"
	"time"

	"github.com/drumpath/drumpath/pkg/rendezvous"
)

// affinityMember returns the replica that a prompt's shared parts are assigned to by
// rendezvous hashing, nil for none. All nodes compute the same one without communication,
// so it is the most likely to have the parts cached. In a large pool it is one of the
// subset that the nodes of a data hall share. A request that prefers its hall has one there.
//
// While this node has a prompt with the same parts in prefill, it is the replica of that
// prompt instead.
func (p *Pool) affinityMember(in *PickInput, now time.Time) *member {
	if in.Affinity == 0 || p.disabled.PrefixAffinity {
		return nil
	}
	if m := p.prefilling(in, now); m != nil {
		return m
	}
	if len(p.members) <= maxCompared && p.prefersOwnHall(in) {
		if m := assignedMember(in.Affinity, p.hallOrder[p.dataHall]); m != nil {
			return m
		}
	}
	return assignedMember(in.Affinity, p.assignable(in))
}

// assignedMember returns the replica of a list with the highest rendezvous weight for a
// hash, nil if all drain or are evacuated.
func assignedMember(hash uint64, list []*member) (best *member) {
	weight := uint64(0)
	for _, m := range list {
		if m.Draining || m.Evacuated {
			continue
		}
		if w := rendezvous.Weight(hash, m.idHash); best == nil || w > weight {
			best, weight = m, w
		}
	}
	return best
}

// idleCost is the cost of a replica without its queue, in seconds.
func (p *Pool) idleCost(m *member, in *PickInput, affinity bool, surcharge float64, now time.Time) float64 {
	cost := p.idleSeconds(m, in, affinity, p.relativeLatency(m, now)) + surcharge + p.decodeGroupCost(m, in, affinity, now)
	if m.DataHall != p.dataHall {
		cost += crossHallCost.Seconds()
	}
	return cost
}

// surcharge is the part of a replica's cost that is for outdated weights and for limits on
// how much it may be used, in seconds.
func (p *Pool) surcharge(m *member, in *PickInput, rate *RateState, now time.Time) (cost float64) {
	if in.NewestVersion > 0 && m.Weights[in.Model] < in.NewestVersion {
		cost += staleWeightsCost.Seconds() * in.StalenessWeight
	}
	cost += (rampUpCost(now, m.coldUntil, rate.Ended, m.backoffUntil) - rate.unusedGain()).Seconds()
	return cost
}

// firstByteSeconds is the expected time to the first byte of the answer.
func (p *Pool) firstByteSeconds(m *member, in *PickInput, affinity bool, latencyRatio float64, now time.Time) float64 {
	return p.idleSeconds(m, in, affinity, latencyRatio) + p.queueSeconds(m, in, latencyRatio, now)
}

// idleSeconds is the part of firstByteSeconds that an idle replica would take.
func (p *Pool) idleSeconds(m *member, in *PickInput, affinity bool, latencyRatio float64) float64 {
	if in.Tokens == 0 {
		return p.meanRequestTime.Seconds() * latencyRatio
	}
	coverage := in.Coverage[m.ID]
	return (p.baseSeconds+in.tokensToPrefill(coverage, affinity)*p.secondsPerToken)*latencyRatio + coverage.Wait.Seconds()
}

// queueSeconds is the part of firstByteSeconds that is caused by other requests at the
// replica.
func (p *Pool) queueSeconds(m *member, in *PickInput, latencyRatio float64, now time.Time) float64 {
	if in.Tokens > 0 {
		return p.prefillQueueSeconds(m, in, latencyRatio, now)
	}
	running := m.running()
	wait := 0.0
	if over := running + 1 - max(1, m.Slots); over > 0 {
		wait = float64(over) * p.meanRequestTime.Seconds() / float64(max(1, m.Slots))
	}
	// Partly busy replicas rank behind idle ones.
	wait += p.meanRequestTime.Seconds() * float64(running) / float64(4*max(1, m.Slots))
	return wait * latencyRatio
}

// promptQueueSeconds is prefillQueueSeconds, or 0 for requests without a prompt.
func (p *Pool) promptQueueSeconds(m *member, in *PickInput, now time.Time) float64 {
	if in.Tokens == 0 {
		return 0
	}
	return p.prefillQueueSeconds(m, in, p.relativeLatency(m, now), now)
}

// prefillQueueSeconds is how long a prompt waits at a replica until its prefill starts.
func (p *Pool) prefillQueueSeconds(m *member, in *PickInput, latencyRatio float64, now time.Time) float64 {
	running := float64(m.running())
	prefill := float64(m.tokensAhead(in)) * p.secondsPerToken
	slots := 0.0
	if over := running + 1 - float64(m.Slots); m.Slots > 0 && over > 0 {
		slots = over / float64(m.Slots) * p.memory.meanHoldSeconds(bandCount-1)
	}
	room := slots + p.memoryWait(m, in)
	wait := max(prefill*latencyRatio, room) // The prompts ahead are prefilled while others free memory.
	if p.disabled.MemoryWaitByBand {
		wait = prefill*latencyRatio + room
	}
	return wait + running*runningRequestCost.Seconds()*latencyRatio + p.overdueSeconds(m, now)
}

// overdueSeconds is by how much the first byte of this node's most overdue prompt at a
// replica exceeds twice its expected time. A replica that has stopped answering shows no
// other sign until the timeout, and the next prompt would wait at least as long.
func (p *Pool) overdueSeconds(m *member, now time.Time) float64 {
	if p.disabled.OverduePenalty {
		return 0
	}
	longest := time.Duration(0)
	for request := range m.inFlight {
		if !request.firstByteSeen && request.tokens > 0 {
			longest = max(longest, now.Sub(request.startedAt)-2*request.expected)
		}
	}
	return longest.Seconds()
}

// tokensAhead is the number of tokens that a replica prefills before a prompt's own.
func (m *member) tokensAhead(in *PickInput) int {
	return m.pendingTokens.Plus(m.peerLoad.Tokens).sumUpTo(bandOf(in.Priority))
}

// relativeLatency is the replica's latency ratio relative to the mean of the pool.
//
// It detects one replica that is slow while others are not. If all are slow, as under a
// burst, secondsPerToken learns that, and it must not be counted again for each replica
// that answered recently.
func (p *Pool) relativeLatency(m *member, now time.Time) float64 {
	if p.disabled.LatenessPenalty {
		return 1
	}
	return min(maxLatencyRatio, p.latencyRatio(m, now)/p.meanLatencyRatio)
}

// latencyRatio is a replica's mean of actual over expected time to the first byte; it
// decays to the mean of the pool with the time since the last answer.
func (p *Pool) latencyRatio(m *member, now time.Time) float64 {
	weight := math.Exp(-max(0, now.Sub(m.latencyRatioAt).Seconds()/latencyDecayTime.Seconds()))
	return p.meanLatencyRatio + (m.latencyRatio-p.meanLatencyRatio)*weight
}
