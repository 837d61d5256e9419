package route

import (
	"math"
	"time"
)

// Traffic between data halls costs more than traffic within one, and replicas of another
// hall rarely have more of a prompt cached. So a request stays in the hall of its node
// while replicas there are expected to begin it in time, and replicas of other halls are
// compared only if they serve it so much better that it outweighs the transfer: they have
// more of its prompt, newer weights, or a rate limit that must be tried.
//
// "While any replica of the hall has room" is not enough to decide this. What a node knows
// of the others' requests is 0.2 to 0.4 s old, in which a hall gets more requests than its
// last free replicas can take. In a replay with half of all requests in one of three halls
// (140 engines, 81 nodes, 0.55 of the engines' capacity), 0.158 of the prompts were late
// under that rule, and 0.003 without a preference. So a part of the requests leaves a hall
// that has less room than the others: twice the difference of the shares of replicas that
// have room, less a tenth, plus the integral of that difference over time, which adapts to
// halls that always have too few replicas. Halls with equal load exchange few requests.
const (
	// hallExitGain is the factor from the difference of the shares to the part that leaves.
	hallExitGain = 2.0
	// minRoomDifference is the difference below which it counts in the integral only. The
	// shares of halls with equal load differ at random: without it 0.17 of the requests left
	// in a wave of load, with it 0.12, and no more of them were late.
	minRoomDifference = 0.1
	// hallExitRiseTime is how long a difference of 1 takes to make all requests leave.
	hallExitRiseTime = 250 * time.Millisecond
	// hallExitDecayTime is the time constant with which the integral decays.
	hallExitDecayTime = 2 * time.Second
	// maxHallExitStep bounds the time that one pick adds to the integral, as the difference
	// is known only at picks.
	maxHallExitStep = 100 * time.Millisecond
	// maxRoomLooks bounds the replicas of other halls from which the share with room is
	// estimated, as an exact one doubled the cost of a pick from 140 replicas.
	maxRoomLooks = 32
	// maxHallExitIntegral keeps some requests in the hall, so that others notice its room.
	maxHallExitIntegral = 0.95
)

// HallExit is why a request was sent to a replica outside the data hall of this node.
type HallExit string

// Reasons for which requests leave the data hall.
const (
	// NoHallExit: the replica is in the own hall.
	NoHallExit HallExit = ""
	// ExitNoReplica: no replica of the own hall may be sent the request.
	ExitNoReplica HallExit = "no_replica"
	// ExitBusy: no replica of the own hall is expected to begin the request in time, or
	// fewer of them are than in the other halls.
	ExitBusy HallExit = "busy"
	// ExitBetter: a replica elsewhere needs to prefill less of the prompt, has newer weights,
	// or has left some of its rate limit unused.
	ExitBetter HallExit = "better"
	// ExitUnrestricted: the own hall is not preferred, as the request has no target or the
	// mechanism is switched off.
	ExitUnrestricted HallExit = "unrestricted"
)

// hallExitIntegral is the integral of the difference between the room in other halls and in
// the own one.
type hallExitIntegral struct {
	value float64
	at    time.Time
}

// add decays the integral, adds a difference, and returns the result.
func (g *hallExitIntegral) add(difference float64, now time.Time) float64 {
	elapsed := max(0, now.Sub(g.at))
	g.at = now
	g.value *= math.Exp(-elapsed.Seconds() / hallExitDecayTime.Seconds())
	step := min(elapsed, maxHallExitStep).Seconds() / hallExitRiseTime.Seconds()
	g.value = max(0, min(maxHallExitIntegral, g.value+step*difference))
	return g.value
}

// candidates are the replicas that are eligible for a request.
type candidates struct {
	list      []candidate
	leastIdle float64
	// own is the number of replicas of the own hall, which are list[:own] if the request
	// prefers it; stays is set if the request stays there.
	own   int
	stays bool
	// leastServing is the least servingSeconds of replicas of the own hall that have room, and
	// fetchRate the most seconds that one of them takes to fetch a token.
	leastServing float64
	fetchRate    float64
}

// prefersOwnHall reports whether a request stays in this node's data hall while the hall
// has room.
func (p *Pool) prefersOwnHall(in *PickInput) bool {
	return in.BeginWithin > 0 && len(p.hallOrder) > 1 && !p.disabled.OwnHallFirst && !p.disabled.ReplicaSampling
}

// decideHall moves the replicas of the own hall to the front of the list, and decides
// whether the request stays there.
func (p *Pool) decideHall(c *candidates, in *PickInput, now time.Time) {
	if !p.prefersOwnHall(in) {
		return
	}
	room := 0
	c.leastServing = math.Inf(1)
	for i := range c.list {
		m := c.list[i].member
		if m.DataHall != p.dataHall {
			continue
		}
		c.list[i], c.list[c.own] = c.list[c.own], c.list[i]
		c.own++
		if p.beginsInTime(m, in, now) {
			c.addServing(p, &c.list[c.own-1], in)
			room++
		}
	}
	difference := p.roomDifference(c, room, in, now)
	leaving := hallExitGain*(difference-minRoomDifference) + p.hallExits[bandOf(in.Priority)].add(difference, now)
	c.stays = room > 0 && (leaving <= 0 || p.rng.Float64() >= leaving)
	if c.stays {
		p.skipOthers(c, in)
	}
}

// addServing takes a replica of the own hall that has room into leastServing and fetchRate.
func (c *candidates) addServing(p *Pool, o *candidate, in *PickInput) {
	coverage := in.Coverage[o.member.ID]
	c.leastServing = min(c.leastServing, p.servingSeconds(o, coverage.Wait.Seconds(), in))
	if coverage.Fetched > 0 {
		c.fetchRate = max(c.fetchRate, coverage.Wait.Seconds()/float64(coverage.Fetched))
	}
}

// skipOthers marks the replicas of other halls that don't serve the request so much better
// than the own hall that it outweighs the transfer, and takes them out of leastIdle.
//
// Fetches count as if they were made in the own hall. They are shorter in the hall of the
// stores, for whose engines all halls would leave theirs.
func (p *Pool) skipOthers(c *candidates, in *PickInput) {
	c.leastIdle = math.Inf(1)
	for i := range c.list {
		o := &c.list[i]
		if i >= c.own {
			coverage := in.Coverage[o.member.ID]
			fetch := max(coverage.Wait.Seconds(), float64(coverage.Fetched)*c.fetchRate)
			o.skipped = p.servingSeconds(o, fetch, in)+crossHallCost.Seconds() >= c.leastServing
		}
		if !o.skipped {
			c.leastIdle = min(c.leastIdle, o.idleCost)
		}
	}
}

// roomDifference returns by how much the share of replicas with room is greater in other
// halls than in the own one. It is 0 if all replicas of the own hall have room.
func (p *Pool) roomDifference(c *candidates, room int, in *PickInput, now time.Time) float64 {
	others := c.list[c.own:]
	if room == c.own || len(others) == 0 {
		return 0
	}
	roomElsewhere, looks, start := 0, min(len(others), maxRoomLooks), p.rng.IntN(len(others))
	for i := range looks {
		if p.beginsInTime(others[(start+i)%len(others)].member, in, now) {
			roomElsewhere++
		}
	}
	return float64(roomElsewhere)/float64(looks) - float64(room)/float64(c.own)
}

// beginsInTime reports whether a replica is expected to begin a request within BeginWithin.
// For a request without a prompt it must have a free slot, as the mean time of such requests
// says little about how long one waits for another.
func (p *Pool) beginsInTime(m *member, in *PickInput, now time.Time) bool {
	if in.Tokens == 0 && m.Slots > 0 {
		return m.running() < m.Slots
	}
	return p.queueSeconds(m, in, p.relativeLatency(m, now), now) <= in.BeginWithin.Seconds()
}

// servingSeconds is the time to fetch and prefill a prompt at a replica of mean speed, with
// the surcharge. It leaves out the replica's latency ratio and affinity: the least of many
// noisy ratios is usually found in another hall.
func (p *Pool) servingSeconds(c *candidate, fetch float64, in *PickInput) float64 {
	return in.tokensToPrefill(in.Coverage[c.member.ID], false)*p.secondsPerToken + fetch + c.surcharge
}

// hallExit returns why a chosen replica is not in the own hall.
func (p *Pool) hallExit(c *candidates, chosen *member, in *PickInput) HallExit {
	switch {
	case chosen.DataHall == p.dataHall:
		return NoHallExit
	case !p.prefersOwnHall(in):
		return ExitUnrestricted
	case c.own == 0:
		return ExitNoReplica
	case c.stays:
		return ExitBetter
	default:
		return ExitBusy
	}
}

// appendElsewhere appends some replicas of other halls, drawn at random, if one of a few of
// the own hall's candidates in a large pool is not expected to begin the request in time.
func (p *Pool) appendElsewhere(list []*member, in *PickInput, now time.Time) []*member {
	if !p.prefersOwnHall(in) {
		return list
	}
	busy := false
	for range min(len(list), drawnOutside) {
		if busy = !p.beginsInTime(list[p.rng.IntN(len(list))], in, now); busy {
			break
		}
	}
	if !busy {
		return list
	}
	for range drawnOutside {
		m := p.members[p.rng.IntN(len(p.members))]
		if m.DataHall != p.dataHall && p.mayCompare(m, in, now) {
			list = append(list, m)
		}
	}
	return list
}
