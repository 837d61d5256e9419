package site

import (
	"net/netip"
	"time"
)

// Upstream is one replica of a service, as the platform's list has it.
type Upstream struct {
	ID       string // Of this start of the replica.
	Service  string
	Addr     netip.AddrPort
	DataHall string
	Slots    int
	// Draining replicas take no new request.
	Draining bool
	// Cold is how much longer the replica is slow from its start.
	Cold time.Duration
	// Weights are the versions of the models that it serves.
	Weights map[string]int64
	// Orders counts the orders that it has taken since its start.
	Orders int64
}
