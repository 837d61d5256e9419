package route

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

func hashOf(s string) uint64 { return xxhash.Sum64String(s) }

// mix weighs a name against a key for rendezvous hashing; both halves of the
// product are used, as neither alone mixes all bits.
func mix(key, name uint64) uint64 {
	hi, lo := bits.Mul64(key^0x9E3779B97F4A7C15, name^0xD6E8FEB86659FD93)
	return hi ^ lo
}
