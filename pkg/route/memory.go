package route

import "time"

const (
	// memoryShare is the part of an engine's memory that prompts in flight are
	// expected to fill without harm: the rest is for what they generate, and for
	// what other nodes have sent that is not known yet. At 1.05 instead, worth was
	// 0.745 for 0.758 (three days of four seeds, nine engines).
	memoryShare = 0.9
	// startHold is how long a prompt is assumed to hold an engine's memory before
	// any was measured.
	startHold = time.Second
	// mostHold bounds what is learnt: at a node that stood still, or behind a lost
	// answer, prompts seem to hold memory for much longer than they do.
	mostHold = 5 * time.Second
)

// memoryUse is what prompts hold of engines' memory and for how long, learnt from
// this node's own: the time in which memory that is full turns over.
type memoryUse struct {
	tokens  float64 // Of recent prompts, in a decaying sum.
	seconds float64 // Of the same sum, weighted by tokens.
}

// note takes in a prompt that held tokens for a time. Larger prompts weigh more, as
// it is they that fill the memory.
func (u *memoryUse) note(tokens int, held time.Duration) {
	u.tokens = (1-learnWeight)*u.tokens + float64(tokens)
	u.seconds = (1-learnWeight)*u.seconds + float64(tokens)*min(held, mostHold).Seconds()
}

// mean is the mean of what a prompt holds, in tokens.
func (u *memoryUse) mean() int { return int(learnWeight * u.tokens) }

// hold is the mean time for which a token is held, in seconds.
func (u *memoryUse) hold() float64 {
	if u.tokens == 0 {
		return startHold.Seconds()
	}
	return u.seconds / u.tokens
}

// memoryWait is how long a prompt waits at an engine until others have given up the
// memory that it needs, in seconds. What is let in past an engine's memory has
// another prompt preempted, and that one is read again.
func (p *Pool) memoryWait(m *member, tokens int) float64 {
	if p.engineMemory <= 0 || p.disabled.Memory {
		return 0
	}
	over := float64(m.heldMemory+m.peerLoad.Memory+tokens) - memoryShare*float64(p.engineMemory)
	return max(0, over) / float64(p.engineMemory) * p.memory.hold()
}
