package route

import "time"

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
// memory a prompt holds and for how long.
type memoryUsage struct {
	tokens  float64 // Exponentially decaying sum over prompts.
	seconds float64 // The same sum of hold times, weighted by tokens.
}

// record adds a prompt that held so many tokens for so long. Larger prompts weigh
// more, as they fill the memory.
func (u *memoryUsage) record(tokens int, held time.Duration) {
	u.tokens = (1-learnWeight)*u.tokens + float64(tokens)
	u.seconds = (1-learnWeight)*u.seconds + float64(tokens)*min(held, maxMemoryHoldTime).Seconds()
}

// meanTokens is the mean number of tokens that a prompt holds.
func (u *memoryUsage) meanTokens() int { return int(learnWeight * u.tokens) }

// meanHoldSeconds is the mean time for which a token of memory is held, in seconds.
func (u *memoryUsage) meanHoldSeconds() float64 {
	if u.tokens == 0 {
		return initialMemoryHoldTime.Seconds()
	}
	return u.seconds / u.tokens
}

// memoryWait is how long a prompt waits at an engine until others have freed the
// memory that it needs, in seconds. If an engine is sent more than fits into its
// memory, it preempts another prompt, which is then prefilled again.
func (p *Pool) memoryWait(m *member, tokens int) float64 {
	if p.engineMemory <= 0 || p.disabled.MemoryAwarePlacement {
		return 0
	}
	excess := float64(m.heldMemory+m.peerLoad.Memory+tokens) - usableMemoryShare*float64(p.engineMemory)
	return max(0, excess) / float64(p.engineMemory) * p.memory.meanHoldSeconds()
}
