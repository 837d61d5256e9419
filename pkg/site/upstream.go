package site

import (
	"net/netip"
	"strconv"
	"time"
)

// Upstream is one replica of a service, as the platform lists it.
type Upstream struct {
	// ID names the replica; a restart keeps it.
	ID string
	// Started is when the replica last started, by its own clock, zero if unknown. A start
	// loses its cache and all other state.
	Started  time.Time
	Service  string
	Software string // Version of its software, "" if unknown.
	Addr     netip.AddrPort
	DataHall string
	Slots    int
	// Draining replicas take no new requests.
	Draining bool
	// Cold is the remaining time in which the replica can serve only a few requests, as of
	// when it wrote its row.
	Cold time.Duration
	// ColdUntil is when that ends, by this node's clock; zero if it is not cold.
	ColdUntil time.Time
	// Evacuated means that operators are evacuating its data hall: it is sent no requests.
	Evacuated bool
	// Region is the region of its data hall, "" if unknown.
	Region string
	// Weights are the versions of the models that it serves.
	Weights map[string]int64
	// Orders counts the orders that the replica has accepted since its start.
	Orders int64
}

// StartKey identifies one start of a replica, or only the replica if the time of its start
// is unknown.
func (u *Upstream) StartKey() string {
	if u.Started.IsZero() {
		return u.ID
	}
	return u.ID + "@" + strconv.FormatInt(u.Started.UnixMilli(), 10)
}

// StartedBefore reports whether u started before o, an entry of the same replica.
func (u *Upstream) StartedBefore(o *Upstream) bool {
	return !u.Started.IsZero() && u.Started.Before(o.Started)
}
