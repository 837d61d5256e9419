package route

import (
	"cmp"
	"slices"

	"github.com/drumpath/drumpath/pkg/rendezvous"
	"github.com/drumpath/drumpath/pkg/site"
)

// SelectTracked selects the engines whose cache contents a node of a data hall tracks: all
// of its own hall up to limit, then the same number from each of the other halls while
// there is room. Engines are taken in the order of their hashes, the same at all nodes. So
// what another hall tracks of this one is always a subset of what this hall's own nodes
// track.
//
// Each busy engine changes its cache some 40 times a second, so in a large fleet a node
// can't track all engines. If an engine is added it replaces at most one other. Prompts at
// engines that are not tracked are placed by affinity and by what stores have.
func SelectTracked(hall string, engines []site.Upstream, limit int) map[string][]site.Upstream {
	halls := map[string][]site.Upstream{}
	for _, u := range engines {
		halls[u.DataHall] = append(halls[u.DataHall], u)
	}
	var otherHalls []string
	for name, list := range halls {
		slices.SortFunc(list, func(a, b site.Upstream) int {
			return cmp.Or(cmp.Compare(rendezvous.Hash(a.ID), rendezvous.Hash(b.ID)), cmp.Compare(a.ID, b.ID))
		})
		if name != hall {
			otherHalls = append(otherHalls, name)
		}
	}
	slices.Sort(otherHalls)
	own := halls[hall][:min(limit, len(halls[hall]))]
	tracked := map[string][]site.Upstream{}
	if len(own) > 0 {
		tracked[hall] = own
	}
	remaining := limit - len(own)
	for rank := 0; remaining > 0; rank++ {
		before := remaining
		for _, name := range otherHalls {
			if list := halls[name]; rank < len(list) && remaining > 0 {
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
