package route

import "time"

// Requests of the least urgent kind are the first to be preempted, and their prompts are
// prefilled again. So they are sent only to an engine where they fit with all that is held
// there, and with what other nodes have sent since their last known loads were taken.

// maxReservedShare is the largest share of an engine's memory that is reserved for requests
// of other nodes that are not known yet: half of the memory stays usable however old the
// loads are.
const maxReservedShare = 0.4

// SetLoadAge sets the age of the loads that SetPeers has set.
func (p *Pool) SetLoadAge(age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loadAge = age
}

// heldEverywhere returns the load of all nodes at all replicas; the caller holds mu.
func (p *Pool) heldEverywhere() PeerLoad {
	sum := p.peerSum
	for m := range p.busy {
		sum.Tokens = sum.Tokens.Plus(m.pendingTokens)
		sum.Memory += m.heldMemory.sumUpTo(bandCount - 1)
		sum.BandMemory = sum.BandMemory.Plus(m.heldMemory)
	}
	return sum
}

// reserveHeadroom sets up a pick: a request of the least urgent kind of the service needs
// room for all that is held and for what arrives while loads are on their way. That is the
// memory that requests take in that time: by Little's law, what all hold, divided by how
// long it is held, gives the rate. A service whose requests are all equally urgent has no
// least urgent kind. The caller holds mu.
func (p *Pool) reserveHeadroom(in *PickInput) {
	in.needsRoom, in.reserved = false, 0
	if in.Memory == 0 || p.engineMemory <= 0 || len(p.members) == 0 || p.disabled.MemoryAwarePlacement || p.disabled.MemoryWaitByBand {
		return
	}
	all, band := p.heldEverywhere(), bandOf(in.Priority)
	moreUrgent := band > 0 && all.BandMemory.sumUpTo(band-1) > 0
	lessUrgent := all.BandMemory.sumUpTo(bandCount-1) > all.BandMemory.sumUpTo(band)
	if !moreUrgent || lessUrgent {
		return
	}
	in.needsRoom = true
	used := float64(all.Memory) / float64(len(p.members)) / float64(p.engineMemory)
	in.reserved = min(maxReservedShare, used*p.loadAge.Seconds()/max(minHoldSeconds, p.memory.meanHoldSeconds(bandCount-1)))
}

// minHoldSeconds bounds the rate at which memory is taken, as hold times are estimates.
const minHoldSeconds = 0.1

// hasRoom reports whether a request may be sent to an engine as far as memory goes.
func (p *Pool) hasRoom(m *member, in *PickInput) bool {
	if !in.needsRoom {
		return true
	}
	held, capacity, tokens := m.memoryUpTo(bandCount-1), float64(p.engineMemory), float64(in.Memory)
	usable := max((usableMemoryShare-in.reserved)*capacity, min(capacity, tokens+largeRequestShare*capacity))
	return held == 0 || float64(held)+tokens <= usable
}

// largeRequestShare is the share of an engine's memory that others may hold when a request
// arrives that is too large for the usable part: it would never be sent otherwise.
const largeRequestShare = 0.1
