package site

import "time"

// EngineReport is a replica's own account of its state, some hundred
// milliseconds old.
type EngineReport struct {
	// Started is as in Upstream.
	Started time.Time
	// Draining is as in Upstream.
	Draining bool
	// Busy says that an order is being carried out.
	Busy bool
	// Orders counts the orders taken since the replica's start.
	Orders  int64
	Weights map[string]int64
	Queued  int
	Active  int
}
