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
	// FetchTime is how long the fetch should take.
	FetchTime time.Duration

	kept  *CacheIndex
	moves []*fetchLink // Over which something is fetched.
	saves []plannedSave
}

// plannedSave is a part that is to be saved at a store.
type plannedSave struct {
	store *indexedStore
	key   partKey
}

// take has a part fetched.
func (p *Plan) take(i, tokens int, addr netip.AddrPort, wait time.Duration) {
	p.Sources[i] = addr
	p.Fetched += tokens
	p.FetchTime += wait
}

// Cancel is to be called when the prompt was not read: what was to be saved may be
// saved by another attempt. Without it nothing that is sent again was saved for
// saveTerm, and on a day on which a third of the engines crash three times a sixth of
// the shared tokens were read again for that.
func (p *Plan) Cancel() {
	if p.kept == nil {
		return
	}
	p.kept.mu.Lock()
	defer p.kept.mu.Unlock()
	for _, s := range p.saves {
		delete(s.store.pendingSaves, s.key)
	}
}

// FirstByte records that the first byte of the answer has come, by how much later
// than expected.
func (p *Plan) FirstByte(excess time.Duration, now time.Time) {
	if p.kept == nil {
		return
	}
	p.kept.mu.Lock()
	defer p.kept.mu.Unlock()
	for _, l := range p.moves {
		if excess < 0 {
			l.tally.Early++
			l.adjustLateness(-1, now)
		} else {
			l.tally.Late++
			l.adjustLateness(1, now)
		}
	}
}
