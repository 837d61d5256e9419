package control

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the working member that a duty falls to, by rendezvous
// hashing: when a member goes, only its own duties move. ok is false if there
// is none.
func Owner(members []Member, duty string) (owner Member, ok bool) {
	best := uint64(0)
	h := hashDuty(duty)
	for _, m := range members {
		if w := weigh(h, m.Name); !ok || w > best {
			owner, best, ok = m, w, true
		}
	}
	return owner, ok
}

// Owners returns up to n members in the order in which a duty falls to them.
func Owners(members []Member, duty string, n int) []Member {
	h := hashDuty(duty)
	list := slices.Clone(members)
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(weigh(h, b.Name), weigh(h, a.Name)) })
	return list[:min(n, len(list))]
}

func hashDuty(duty string) uint64 { return xxhash.Sum64String(duty) }

// weigh mixes two hashes; both halves of the product are used, as neither
// alone mixes all bits.
func weigh(duty uint64, name string) uint64 {
	hi, lo := bits.Mul64(duty^0x9E3779B97F4A7C15, xxhash.Sum64String(name)^0xD6E8FEB86659FD93)
	return hi ^ lo
}
