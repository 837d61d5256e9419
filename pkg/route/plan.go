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

// take has a part fetched from a store.
func (p *Plan) take(i, tokens int, s *keptStore, wait time.Duration) {
	p.Sources[i] = s.Addr
	p.Fetched += tokens
	p.Time += wait
}

// First records that the first byte of the answer has come, by how much later
// than expected.
//
// How long a fetch took can't be told from the reading behind it. So a store's
// lateness follows the median: it goes up by a step with each answer that came
// late and down with each that came early, and a few very late ones move it no
// further than others.
func (p *Plan) First(excess time.Duration, now time.Time) {
	if p.kept == nil {
		return
	}
	p.kept.mu.Lock()
	defer p.kept.mu.Unlock()
	for _, s := range p.moves {
		late := s.lateness(now)
		step := max(fetchLateStep, late/fetchLateParts)
		if excess < 0 {
			step = -step
		}
		s.late = min(fetchLateMost, max(0, late+step))
		s.lateAt = now
	}
}

const (
	// fetchLateStep and fetchLateParts say how far one answer moves a store's
	// lateness: a link that has become slow is noticed within some ten answers.
	fetchLateStep  = 8 * time.Millisecond
	fetchLateParts = 6
	fetchLateMost  = time.Second
)
