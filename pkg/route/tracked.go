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
func SelectTracked(hall string, engines []site.Upstream, most int) map[string][]site.Upstream {
	halls := map[string][]site.Upstream{}
	for _, u := range engines {
		halls[u.DataHall] = append(halls[u.DataHall], u)
	}
	var far []string
	for name, list := range halls {
		slices.SortFunc(list, func(a, b site.Upstream) int {
			return cmp.Or(cmp.Compare(rendezvous.Hash(a.ID), rendezvous.Hash(b.ID)), cmp.Compare(a.ID, b.ID))
		})
		if name != hall {
			far = append(far, name)
		}
	}
	slices.Sort(far)
	near := halls[hall][:min(most, len(halls[hall]))]
	followed := map[string][]site.Upstream{}
	if len(near) > 0 {
		followed[hall] = near
	}
	room := most - len(near)
	for rank := 0; room > 0; rank++ {
		taken := room
		for _, name := range far {
			if list := halls[name]; rank < len(list) && room > 0 {
				followed[name] = list[:rank+1]
				room--
			}
		}
		if taken == room {
			break // There are no more.
		}
	}
	return followed
}
