package route

import "time"

// The replicas of a service may be brittle for a time: one that turns away more than a few requests
// in a second for want of room falls over, and the others get its load. Nodes that learn by being
// turned away how much a replica lets in exceed that together, however low the number. So while a
// service is brittle each node has a fixed share of the slots of each replica, and what all nodes
// have in flight at one never exceeds its slots.

// brittleTerm is how long a service counts as brittle after an answer last said so.
const brittleTerm = 10 * time.Second

// SlotShares divides the slots of a replica among the nodes, as ColdShares does with the requests of
// a second.
type SlotShares = ColdShares

// SetSlotShares sets how the slots of brittle replicas are shared. It must be called before the pool
// is used; without it, or with nil, replicas are not protected.
func (p *Pool) SetSlotShares(s SlotShares) { p.slotShares = s }

// RecordBrittle records that an answer says that the replicas of the service are brittle, and reports
// whether they were not known to be.
func (p *Pool) RecordBrittle(now time.Time) (first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first = !p.brittle(now)
	p.brittleSeenAt = now
	return first
}

// RecordNotBrittle records that the answer to a request that was sent at a time does not say that the
// replicas are brittle, and reports whether they were known to be.
func (p *Pool) RecordNotBrittle(sentAt, now time.Time) (ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.brittle(now) || !sentAt.After(p.brittleSeenAt) {
		return false // The request may have run since before they became brittle.
	}
	p.brittleSeenAt = time.Time{}
	return true
}

// Brittle reports whether the replicas of the service are known to be brittle.
func (p *Pool) Brittle(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.brittle(now)
}

// brittle is Brittle; the caller holds mu.
func (p *Pool) brittle(now time.Time) bool {
	return !p.brittleSeenAt.IsZero() && now.Sub(p.brittleSeenAt) < brittleTerm
}

// hasSlotShare reports whether this node may have one more request in flight at a replica than
// inFlight. The caller holds mu.
func (p *Pool) hasSlotShare(m *member, inFlight int, now time.Time) bool {
	if p.slotShares == nil || !p.brittle(now) {
		return true
	}
	return inFlight < p.slotShares.Share(m.idHash, m.DataHall, m.Slots)
}

// ExceedsSlots reports whether the replica was brittle and the node's share of its slots was used up
// when the request began: others were picked for it at the same time and began first.
func (r *InFlightRequest) ExceedsSlots() bool { return r.exceedsSlots }
