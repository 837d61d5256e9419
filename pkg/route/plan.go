package route

import (
	"net/netip"
	"time"
)

// Plan lists where the shared parts of a prompt are fetched from, which may be stores or
// engines, and the stores at which they are saved.
type Plan struct {
	// Sources and Saves have an address for each part of the prompt, or an invalid one for
	// none.
	Sources []netip.AddrPort
	Saves   []netip.AddrPort
	// Fetched and Saved are the numbers of tokens that are fetched and saved.
	Fetched int
	Saved   int
	// FetchTime is the expected duration of the fetch.
	FetchTime time.Duration

	index        *CacheIndex
	fetchLinks   []*fetchLink // Links over which something is fetched.
	plannedSaves []plannedSave
}

// plannedSave is a part to save at a KV cache store.
type plannedSave struct {
	store *indexedStore
	key   partKey
}

// addFetch adds the fetch of part i from a store or an engine.
func (p *Plan) addFetch(i, tokens int, addr netip.AddrPort, wait time.Duration) {
	p.Sources[i] = addr
	p.Fetched += tokens
	p.FetchTime += wait
}

// Cancel must be called if the prompt was not prefilled, so that another attempt may save
// its parts. Otherwise retried prompts would not be saved for pendingSaveTimeout: when a
// third of the engines crashed three times in a day, a sixth of the shared tokens were
// recomputed for that reason.
func (p *Plan) Cancel() {
	if p.index == nil {
		return
	}
	p.index.mu.Lock()
	defer p.index.mu.Unlock()
	for _, s := range p.plannedSaves {
		delete(s.store.pendingSaves, s.key)
	}
}

// FirstByte records that the first byte of the answer has arrived, and by how much later
// than expected.
func (p *Plan) FirstByte(excess time.Duration, now time.Time) {
	if p.index == nil {
		return
	}
	p.index.mu.Lock()
	defer p.index.mu.Unlock()
	for _, l := range p.fetchLinks {
		if excess < 0 {
			l.tally.Early++
			l.adjustLateness(-1, now)
		} else {
			l.tally.Late++
			l.adjustLateness(1, now)
		}
	}
}
