package route

import (
	"net/netip"
	"time"
)

// Plan is where the shared parts of a prompt come from and where they go.
type Plan struct {
	// Sources and Saves have an address for each part of the prompt, unset for
	// none.
	Sources []netip.AddrPort
	Saves   []netip.AddrPort
	// Fetched and Saved are the tokens that move.
	Fetched int
	Saved   int
	// Time is how long the fetch should take.
	Time time.Duration

	kept  *Kept
	moves []*keptStore // From which something is fetched.
}

// First records that the first byte of the answer has come, by how much later
// than expected.
//
// How long a fetch took can't be told from the reading behind it. But requests
// that fetch from a store that is slow come late, and others don't.
func (p *Plan) First(excess time.Duration, now time.Time) {
	if p.kept == nil {
		return
	}
	p.kept.mu.Lock()
	defer p.kept.mu.Unlock()
	if len(p.moves) == 0 {
		p.kept.late += time.Duration(fetchLateShare * float64(excess-p.kept.late))
	}
	for _, m := range p.moves {
		late := m.lateness(now)
		m.late = late + time.Duration(fetchLateShare*float64(max(0, excess+late-p.kept.late)-late))
		m.lateAt = now
	}
}
