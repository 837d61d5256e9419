package route

import (
	"cmp"
	"slices"

	"github.com/drumpath/drumpath/pkg/rendezvous"
	"github.com/drumpath/drumpath/pkg/site"
)

// SelectTracked chooses of which engines a node of a data hall keeps what they hold: all of
// its own hall's, as far as there is room for most, then as many of each other hall. In
// every hall they are taken in one order, the same for all nodes: what another hall wants
// to know of is always among what the engines' own hall knows of.
//
// The pattern that it answers is a fleet that grows: each engine at work changes what it
// holds some 40 times a second, and all nodes heard of all. One engine more now takes the
// place of at most one other, or adds itself. Prompts at engines that are not followed are
// placed by their homes and by what stores have.
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
			break // There are no more.
		}
	}
	return tracked
}
