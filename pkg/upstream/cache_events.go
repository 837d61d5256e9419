package upstream

import "github.com/drumpath/drumpath/pkg/prompt"

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Seq     uint64     `json:"seq"`
	Removed bool       `json:"removed,omitempty"`
	Key     prompt.Key `json:"key"`
	// Parent is the key of the previous chunk. The parent of a chain's first
	// chunk is its cache salt.
	Parent prompt.Key `json:"parent"`
	// Position is the chunk's place in its chain, from 1.
	Position int `json:"position"`
}

// CacheEvents is a batch of cache changes after a given sequence number.
type CacheEvents struct {
	Boot uint64 `json:"boot"`
	// Last is the engine's newest sequence number.
	Last   uint64       `json:"last"`
	Events []CacheEvent `json:"events"`
}

// CacheBlocks lists all blocks that an engine holds as of a sequence number.
type CacheBlocks struct {
	Boot   uint64       `json:"boot"`
	Seq    uint64       `json:"seq"`
	Blocks []CacheEvent `json:"blocks"`
}
