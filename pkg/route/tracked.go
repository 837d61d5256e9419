package route

import (
	"maps"
	"slices"

	"github.com/drumpath/drumpath/pkg/site"
)

// Tracked selects the engines whose cache contents a node of a data hall tracks: all of its
// own hall up to limit, then the same number from each of the other halls while there is
// room. Engines are taken in the order of their hashes, the same at all nodes. So what
// another hall tracks of this one is always a subset of what this hall's own nodes track.
// Engines of evacuated halls are left out.
//
// Each busy engine changes its cache some 40 times a second, so in a large fleet a node
// can't track all engines. If an engine is added it replaces at most one other. Prompts at
// engines that are not tracked are placed by affinity and by what stores have.
func (p *Pool) Tracked(hall string, limit int) map[string][]site.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	tracked := map[string][]site.Upstream{}
	remaining := limit
	if own := firstInUse(p.hallOrder[hall], limit); len(own) > 0 {
		tracked[hall] = own
		remaining -= len(own)
	}
	if remaining == 0 {
		return tracked
	}
	others := map[string][]site.Upstream{}
	for name, order := range p.hallOrder {
		if name != hall {
			others[name] = firstInUse(order, remaining)
		}
	}
	names := slices.Sorted(maps.Keys(others))
	for rank := 0; remaining > 0; rank++ {
		before := remaining
		for _, name := range names {
			if list := others[name]; rank < len(list) && remaining > 0 {
				tracked[name] = list[:rank+1]
				remaining--
			}
		}
		if before == remaining {
			break // No engines are left.
		}
	}
	return tracked
}

// firstInUse returns the first replicas of a hall, up to limit, that are not evacuated.
func firstInUse(order []*member, limit int) (list []site.Upstream) {
	for _, m := range order {
		if len(list) == limit {
			break
		}
		if !m.Evacuated {
			list = append(list, m.Upstream)
		}
	}
	return list
}
