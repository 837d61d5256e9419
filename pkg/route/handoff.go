package route

import "time"

// A step of an engine that prefills a chunk of a prompt takes about ten times as long as one
// that only generates tokens, and a preempted run is prefilled again. So under load a run is
// handed over after its first event to an engine that prefills little. All nodes fill these
// engines in the same order, first fit, so that as few as possible take runs, and prompts
// avoid them. The group grows and shrinks with the load and needs no leader.
const (
	// prefillChunkTokens is the number of prompt tokens in one chunk of a chunked prefill, and
	// busyChunks how many must wait for an engine to be busy with prefill.
	prefillChunkTokens = 2048
	busyChunks         = 1
	// handoffMemoryShare is the share of an engine's memory in use above which its runs are
	// handed over.
	handoffMemoryShare = 0.6
	// maxTargetShare is the share of a target's memory and of its slots that may be in use with
	// the run. The rest is left for runs that other nodes hand over at the same time.
	maxTargetShare = 0.75
	// minRemainingEvents is the least expected number of events still to come.
	minRemainingEvents = 2
	// targetSpread is among how many engines a target is drawn: the first in the order that have
	// room. What a node knows of the others' runs is 0.2 to 0.35 s old, and all of them would
	// choose the same engine until then. In a replay of a burst of long streams at 27 nodes and
	// 47 engines, without second tries, 786 of 1,185 hand-overs found no room with a spread of
	// 1, and 563 of 1,172 with 3.
	targetSpread = 4
	// minHallEngines is the least number of engines in a data hall. With fewer, an engine
	// without prefill leaves too little prefill capacity.
	minHallEngines = 8
	// decodeGroupMemory is how long a node remembers how far down the order it had to go.
	decodeGroupMemory = 2 * time.Second
)

// HandoffInput is what a pool needs to know of a run to decide whether to hand it over.
type HandoffInput struct {
	// Pick has the same restrictions as the pick of the first replica.
	Pick *PickInput
	// Source is where the run is.
	Source *Choice
	// EventTokens is the number of tokens in an event, and Remaining the expected number of
	// tokens that the run has still to generate.
	EventTokens int
	Remaining   int
}

// HandoffTarget returns the engine to hand a run over to; ok is false if the run stays.
func (p *Pool) HandoffTarget(in *HandoffInput, now time.Time) (c Choice, ok bool) {
	if p.disabled.RunHandoff || in.EventTokens <= 0 || in.Remaining < minRemainingEvents*in.EventTokens || in.Source.Weights == 0 {
		return c, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	source, listed := p.byID[in.Source.ID]
	if !listed || p.engineMemory <= 0 {
		return c, false
	}
	order := p.hallOrder[source.DataHall]
	if len(order) < minHallEngines || !source.prefillBusy() && p.memoryShare(source, 0) <= handoffMemoryShare {
		return c, false
	}
	pick := *in.Pick
	pick.UnlimitedOnly = true
	var fits []*member
	for _, m := range order[:min(len(order), maxSubsetScan)] {
		if m == source {
			if !m.prefillBusy() && p.fits(m, 0, 0) {
				return c, false // It is one of the first that fit itself.
			}
			continue
		}
		if !p.fits(m, in.Source.Memory, 1) || !p.mayTakeRun(m, in.Source, &pick, now) {
			continue
		}
		if fits = append(fits, m); len(fits) == targetSpread {
			break
		}
	}
	if len(fits) == 0 {
		return c, false
	}
	m := fits[p.rng.IntN(len(fits))]
	p.recordDecodeGroup(m, now)
	return resumedChoice(m, in.Source), true
}

// mayTakeRun reports whether an engine may be sent a run of another one; the caller holds mu.
func (p *Pool) mayTakeRun(m *member, source *Choice, in *PickInput, now time.Time) bool {
	if m.ID == source.ID || m.Weights[in.Model] != source.Weights || m.Software != source.Software || m.lastResort(now) || p.isCold(m, now) {
		return false
	}
	reason, _ := p.exclusion(m, in, now)
	return reason == NotExcluded
}

// resumedChoice is the choice of an engine that goes on with a run from a copy of its memory.
func resumedChoice(m *member, source *Choice) Choice {
	return Choice{Upstream: m.Upstream, Weights: source.Weights, Band: source.Band, Memory: source.Memory}
}

// prefillBusy reports whether so many prompt tokens wait at an engine that it is busy with prefill.
func (m *member) prefillBusy() bool {
	return m.pendingTokens.Plus(m.peerLoad.Tokens).sumUpTo(bandCount-1) >= busyChunks*prefillChunkTokens
}

// memoryShare is the share of an engine's memory that is in use with additional tokens.
func (p *Pool) memoryShare(m *member, additional int) float64 {
	return float64(m.memoryUpTo(bandCount-1)+additional) / float64(p.engineMemory)
}

// fits reports whether an engine can take additional runs that hold so many tokens.
func (p *Pool) fits(m *member, tokens, runs int) bool {
	slots := float64(m.running() + runs)
	return p.memoryShare(m, tokens) < maxTargetShare && (m.Slots == 0 || slots < maxTargetShare*float64(m.Slots))
}

// BeginResumed records that an engine holds memory and a slot for a run that is to go on there.
// It is to prefill next to nothing, and its times say nothing about the prefill of prompts.
func (p *Pool) BeginResumed(c Choice, now time.Time) *InFlightRequest {
	r := p.Begin(c, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	r.resumed = true
	return r
}

// MayResume reports whether a run may go on at an engine now, and counts it as sent there if so.
// Since the engine was chosen, it may have begun to drain, been restarted or been given other
// weights.
func (p *Pool) MayResume(c *Choice, in *PickInput, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.byID[c.ID]
	if !ok || !m.Started.Equal(c.Started) || m.Weights[in.Model] != c.Weights {
		return false
	}
	pick := *in
	pick.UnlimitedOnly = true
	if reason, _ := p.exclusion(m, &pick, now); reason != NotExcluded {
		return false
	}
	p.recordSend(m, now)
	return true
}

// groupPosition is how far down the order of a data hall a run was handed over.
type groupPosition struct {
	idHash uint64
	at     time.Time
}

// recordDecodeGroup remembers how far down the order a target was; the caller holds mu. The
// positions of a hall are kept in descending order of hash and ascending order of time.
func (p *Pool) recordDecodeGroup(m *member, now time.Time) {
	list := p.decodeGroup[m.DataHall]
	for len(list) > 0 && list[len(list)-1].idHash <= m.idHash {
		list = list[:len(list)-1]
	}
	p.decodeGroup[m.DataHall] = append(list, groupPosition{idHash: m.idHash, at: now})
}

// inDecodeGroup reports whether runs were recently handed over to an engine or one further
// down the order; the caller holds mu.
func (p *Pool) inDecodeGroup(m *member, now time.Time) bool {
	list := p.decodeGroup[m.DataHall]
	if len(list) == 0 {
		return false
	}
	for len(list) > 0 && now.Sub(list[0].at) >= decodeGroupMemory {
		list = list[1:]
	}
	if len(list) == 0 {
		delete(p.decodeGroup, m.DataHall)
		return false
	}
	p.decodeGroup[m.DataHall] = list
	return m.idHash <= list[0].idHash
}

// decodeGroupCost is the time that the prefill of a prompt takes from the runs at an engine that
// runs are handed over to, in seconds.
func (p *Pool) decodeGroupCost(m *member, in *PickInput, affinity bool, now time.Time) float64 {
	if in.Tokens == 0 || !p.inDecodeGroup(m, now) {
		return 0
	}
	runs := float64(m.running())
	return in.tokensToPrefill(in.Coverage[m.ID], affinity) * p.secondsPerToken * runs
}
