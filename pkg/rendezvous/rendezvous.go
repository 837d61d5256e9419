// Package rendezvous implements rendezvous hashing, by which nodes choose the same
// candidate for a key without communicating: the one with the highest weight. When
// a candidate is removed, only the keys assigned to it move.
package rendezvous

import (
	"math"
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

// Share returns the score of a name for a key, given their hashes and the share of the keys
// that the name is to have, in any unit. The name with the highest score is chosen. If a
// share changes, keys move only to the name whose share has grown, or from the one whose
// share has shrunk.
func Share(key, name uint64, share float64) float64 {
	// Weight is uniform; with the negative logarithm of a uniform number, which is exponential,
	// the chance of the least quotient is proportional to the share.
	const mantissaBits = 53
	uniform := (float64(Weight(key, name)>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -share / math.Log(uniform)
}
