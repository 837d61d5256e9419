package site

import "time"

// CacheChange says that a replica or store keeps more or less of a part.
type CacheChange struct {
	Realm  string
	Part   string
	Tokens int // Kept now; 0 for none.
}

// CacheChanges are the changes since a given point.
type CacheChanges struct {
	// Boot is another after each start.
	Boot    int64
	Next    int64
	Lost    bool // Some changes are not told.
	Changes []CacheChange
	// Clock is the replicas' clock, 0 if it is not told.
	Clock time.Duration
}

// PartRef names a part that a store is to drop.
type PartRef struct {
	Realm string
	Part  string
}
