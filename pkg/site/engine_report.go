package site

import "time"

// EngineReport is the state that a replica reports; it is a few hundred milliseconds old.
type EngineReport struct {
	// Started and Draining are as in Upstream.
	Started  time.Time
	Draining bool
	// Busy means that the replica is carrying out an order.
	Busy bool
	// Orders counts the orders that the replica has accepted since its start.
	Orders int64
	// Weights are the versions of the models that it serves.
	Weights map[string]int64
	Queued  int
	Active  int
}
