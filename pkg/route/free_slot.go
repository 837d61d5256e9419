package route

import "time"

// HasFreeSlot reports whether some replica that may take a request has a free slot by what is
// known of all nodes' requests. It is true if no replica may take the request, as waiting
// for a slot then helps nothing.
func (p *Pool) HasFreeSlot(in *PickInput, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	full := false
	for _, m := range p.members {
		if m.lastResort(now) {
			continue
		}
		if reason, _ := p.exclusion(m, in, now); reason != NotExcluded {
			continue
		}
		if m.Slots <= 0 || m.running() < m.Slots {
			return true
		}
		full = true
	}
	return !full
}

// slotWait is how long a request without a prompt waits for those of its band and more
// urgent ones that wait at all nodes for a slot, each counted as one token.
func (p *Pool) slotWait(band int, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	slots := 0
	for _, m := range p.members {
		if m.usable(now) {
			slots += m.Slots
		}
	}
	waiting := p.queued.Plus(p.peerQueued).Tokens.sumUpTo(band)
	return time.Duration(waiting) * p.meanRequestTime / time.Duration(max(1, slots))
}

// FreeSlots returns how many slots the replicas have that can be used now, and how many of them
// no known request of this or another node holds.
func (p *Pool) FreeSlots(now time.Time) (free, all int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		if !m.usable(now) || p.isCold(m, now) {
			continue
		}
		all += m.Slots
		free += max(0, m.Slots-m.running())
	}
	return free, all
}
