package upstream

import "github.com/drumpath/drumpath/pkg/prompt"

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Seq     uint64     `json:"seq"`
	Removed bool       `json:"removed,omitempty"`
	Key     prompt.Key `json:"key"`
	// Parent is the key of the chunk before; a chain's first chunk has its
	// salt as parent.
	Parent prompt.Key `json:"parent"`
	// Position counts the chunks of the chain, from 1.
	Position int `json:"position"`
}

// CacheEvents is a batch of changes after a sequence number.
type CacheEvents struct {
	Boot uint64 `json:"boot"`
	// Last is the newest sequence number there is.
	Last   uint64       `json:"last"`
	Events []CacheEvent `json:"events"`
}

// CacheBlocks lists all blocks that an engine holds at a sequence number.
type CacheBlocks struct {
	Boot   uint64       `json:"boot"`
	Seq    uint64       `json:"seq"`
	Blocks []CacheEvent `json:"blocks"`
}
