package route

import (
	"math"
	"time"
)

const (
	// usableMemoryShare is the share of an engine's memory that prompts in flight may
	// fill. The rest is left for generated tokens and for prompts of other nodes
	// that are not known yet. At 1.05 worth, the value served less its costs, fell
	// from 0.758 to 0.745 (three days with four seeds each, nine engines).
	usableMemoryShare = 0.9
	// initialMemoryHoldTime is how long a prompt is assumed to hold an engine's memory
	// until the first measurement.
	initialMemoryHoldTime = time.Second
	// maxMemoryHoldTime caps measured hold times: if the node was suspended or an answer
	// was lost, prompts seem to hold memory for much longer than they do.
	maxMemoryHoldTime = 5 * time.Second
)

// memoryUsage estimates, from this node's own prompts, how much of an engine's
// memory a prompt holds and for how long, by priority band: long prompts of one band
// may hold memory ten times as long as short ones of another. All sums decay
// exponentially with each prompt of any band, so that they keep the proportions in
// which the bands come.
type memoryUsage struct {
	prompts [bandCount]float64
	tokens  [bandCount]float64
	seconds [bandCount]float64 // Sums of hold times, weighted by tokens.
}

// record adds a prompt of a band that held so many tokens for so long. Larger prompts
// weigh more, as they fill the memory.
func (u *memoryUsage) record(band, tokens int, held time.Duration) {
	for i := range bandCount {
		u.prompts[i] *= 1 - learnWeight
		u.tokens[i] *= 1 - learnWeight
		u.seconds[i] *= 1 - learnWeight
	}
	u.prompts[band]++
	u.tokens[band] += float64(tokens)
	u.seconds[band] += float64(tokens) * min(held, maxMemoryHoldTime).Seconds()
}

// minBandWeight is the least sum of decayed prompts from which the mean of one band is
// used; with less, that of all bands is.
const minBandWeight = 0.01

// meanTokens is the mean number of tokens that a prompt holds.
func (u *memoryUsage) meanTokens() int {
	prompts, tokens := 0.0, 0.0
	for i := range bandCount {
		prompts, tokens = prompts+u.prompts[i], tokens+u.tokens[i]
	}
	if prompts == 0 {
		return 0
	}
	return int(math.Round(tokens / prompts))
}

// meanTokensOf is the mean number of tokens that a prompt of one band holds.
func (u *memoryUsage) meanTokensOf(band int) int {
	if u.prompts[band] < minBandWeight {
		return u.meanTokens()
	}
	return int(math.Round(u.tokens[band] / u.prompts[band]))
}

// meanHoldSeconds is the mean time for which a token of memory is held by prompts of
// bands up to one, in seconds.
func (u *memoryUsage) meanHoldSeconds(band int) float64 {
	prompts, tokens, held := 0.0, 0.0, 0.0
	for i := range band + 1 {
		prompts, tokens, held = prompts+u.prompts[i], tokens+u.tokens[i], held+u.seconds[i]
	}
	switch {
	case prompts >= minBandWeight && tokens > 0:
		return held / tokens
	case band < bandCount-1:
		return u.meanHoldSeconds(bandCount - 1)
	default:
		return initialMemoryHoldTime.Seconds()
	}
}

// memoryUpTo is the memory that requests of bands up to one hold. What is not assigned
// to a band, as nodes of earlier releases report it, counts for each.
func (l *PeerLoad) memoryUpTo(band int) int {
	unassigned := max(0, l.Memory-l.BandMemory.sumUpTo(bandCount-1))
	return unassigned + l.BandMemory.sumUpTo(band)
}

// memoryUpTo is the memory of an engine that requests of all nodes and of bands up to
// one hold.
func (m *member) memoryUpTo(band int) int {
	return m.heldMemory.sumUpTo(band) + m.peerLoad.memoryUpTo(band)
}

// memoryBand is the band up to which held memory delays a prompt: an engine admits more
// urgent prompts first and preempts less urgent ones for them.
func (p *Pool) memoryBand(in *PickInput) int {
	if p.disabled.MemoryWaitByBand {
		return bandCount - 1
	}
	return bandOf(in.Priority)
}

// memoryWait is how long a prompt waits at an engine until others that are at least as
// urgent have freed the memory that it needs, in seconds.
func (p *Pool) memoryWait(m *member, in *PickInput) float64 {
	if p.engineMemory <= 0 || p.disabled.MemoryAwarePlacement {
		return 0
	}
	band := p.memoryBand(in)
	excess := p.memoryExcess(m, band, in.Memory)
	return max(0, excess) / float64(p.engineMemory) * p.memory.meanHoldSeconds(band)
}

// memoryExcess is by how many tokens an engine's memory is exceeded if a prompt joins
// the requests of bands up to one; it is negative if there is room.
func (p *Pool) memoryExcess(m *member, band, tokens int) float64 {
	return float64(m.memoryUpTo(band)+tokens) - usableMemoryShare*float64(p.engineMemory)
}

// preemptionSeconds is the cost of an urgent prompt for less urgent ones at an engine, in
// seconds: if the memory runs out with it, the engine preempts runs of the least urgent
// band there, and prefills them again afterwards. It is no part of the prompt's own wait.
// A prompt that may be sent only where it fits gets an engine without room last.
func (p *Pool) preemptionSeconds(m *member, in *PickInput, latencyRatio float64) float64 {
	if p.engineMemory <= 0 || in.Memory == 0 || p.disabled.MemoryAwarePlacement || p.disabled.MemoryWaitByBand {
		return 0
	}
	if !p.hasRoom(m, in) {
		return maxMemoryHoldTime.Seconds() // Any engine with room is better.
	}
	last := bandCount - 1
	lessUrgent := m.memoryUpTo(last) - m.memoryUpTo(bandOf(in.Priority))
	freed := min(p.memoryExcess(m, last, in.Memory), float64(in.Memory), float64(lessUrgent))
	if freed <= 0 {
		return 0
	}
	run := max(1, float64(p.memory.meanTokensOf(m.leastUrgentBand())))
	return math.Ceil(freed/run) * run * p.secondsPerToken * latencyRatio
}

// leastUrgentBand is the least urgent band of which requests hold memory at an engine.
func (m *member) leastUrgentBand() int {
	for band := bandCount - 1; band > 0; band-- {
		if m.heldMemory[band]+m.peerLoad.BandMemory[band] > 0 {
			return band
		}
	}
	return 0
}
