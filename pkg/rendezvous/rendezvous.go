// Package rendezvous has the hashing by which nodes choose the same one of many
// without a word: each weighs all by name and key, and the heaviest is it. When
// one goes, only what was its own moves.
package rendezvous

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Hash is the hash of a name or a key.
func Hash(s string) uint64 { return xxhash.Sum64String(s) }

// Weight is that of a name for a key, by their hashes. Both halves of the product
// are used, as neither alone mixes all bits.
func Weight(key, name uint64) uint64 {
	hi, lo := bits.Mul64(key^0x9E3779B97F4A7C15, name^0xD6E8FEB86659FD93)
	return hi ^ lo
}
