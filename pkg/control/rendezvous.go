package control

import (
	"cmp"
	"slices"

	"github.com/drumpath/drumpath/pkg/rendezvous"
)

// Owner returns the member that rendezvous hashing assigns a duty to: when a
// member goes, only its own duties move. ok is false if members is empty.
func Owner(members []Member, duty string) (owner Member, ok bool) {
	best := uint64(0)
	h := hashDuty(duty)
	for _, m := range members {
		if w := rendezvous.Weight(h, m.nameHash()); !ok || w > best {
			owner, best, ok = m, w, true
		}
	}
	return owner, ok
}

// Owners returns up to n members by descending weight for a duty: if the first
// goes, the second becomes the owner, and so on. It keeps the n best in one pass,
// since n is small and the fleet may be large.
func Owners(members []Member, duty string, n int) []Member {
	type ranked struct {
		weight uint64
		member int
	}
	h := hashDuty(duty)
	best := make([]ranked, 0, n+1)
	for i := range members {
		r := ranked{weight: rendezvous.Weight(h, members[i].nameHash()), member: i}
		if len(best) == n && (n == 0 || r.weight <= best[n-1].weight) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, r, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
		best = slices.Insert(best, at, r)
		best = best[:min(len(best), n)]
	}
	list := make([]Member, len(best))
	for i, r := range best {
		list[i] = members[r.member]
	}
	return list
}

// Rank returns how many members precede the named one for a duty, all of them if it is not
// among them.
func Rank(members []Member, duty, name string) (rank int) {
	h := hashDuty(duty)
	own := rendezvous.Weight(h, rendezvous.Hash(name))
	found := false
	for i := range members {
		found = found || members[i].Name == name
		if rendezvous.Weight(h, members[i].nameHash()) > own {
			rank++
		}
	}
	if !found {
		return len(members)
	}
	return rank
}

// nameHash returns the cached hash of the name, or computes it.
func (m Member) nameHash() uint64 {
	if m.hash != 0 {
		return m.hash
	}
	return rendezvous.Hash(m.Name)
}

func hashDuty(duty string) uint64 { return rendezvous.Hash(duty) }
