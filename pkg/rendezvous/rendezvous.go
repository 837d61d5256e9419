// Package rendezvous implements rendezvous hashing, by which nodes choose the same
// candidate for a key without communicating: the one with the highest weight. When
// a candidate is removed, only the keys assigned to it move.
package rendezvous

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the hash of a name or a key.
func Hash(s string) uint64 { return xxhash.Sum64String(s) }

// Weight returns the weight of a name for a key, given their hashes. It uses both
// halves of the product, as neither alone mixes all bits.
func Weight(key, name uint64) uint64 {
	hi, lo := bits.Mul64(key^0x9E3779B97F4A7C15, name^0xD6E8FEB86659FD93)
	return hi ^ lo
}
