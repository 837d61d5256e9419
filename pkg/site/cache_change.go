package site

import "time"

// CacheChange reports how many tokens of a part a replica or KV cache store caches now.
type CacheChange struct {
	Realm  string // Cache namespace, as in Dispatch.
	Part   string
	Tokens int // 0 if the part was dropped.
}

// CacheChanges are the changes of one replica's or KV cache store's cache since a given event.
type CacheChanges struct {
	// Boot identifies one start of the process; it differs after each restart.
	Boot    int64
	Next    int64 // The event from which the next call continues.
	Lost    bool  // Some changes are missing, so the known cache content is stale.
	Changes []CacheChange
	// Clock is the clock that replicas share, 0 if the answer does not have it.
	Clock time.Duration
}

// PartRef identifies a cached part that a KV cache store must drop.
type PartRef struct {
	Realm string
	Part  string
}
