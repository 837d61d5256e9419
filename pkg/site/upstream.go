package site

import (
	"net/netip"
	"strconv"
	"time"
)

// Upstream is one replica of a service, as the platform's list has it.
type Upstream struct {
	// ID names the replica; it may start again under it.
	ID string
	// Started is when the replica last started, by its own clock, zero if it does not
	// say. It holds and knows nothing of before.
	Started  time.Time
	Service  string
	Addr     netip.AddrPort
	DataHall string
	Slots    int
	// Draining replicas take no new request.
	Draining bool
	// Cold is how much longer the replica takes little, as it said when it wrote its row.
	Cold time.Duration
	// ColdUntil is when that ends by this node's clock, zero if it is not cold.
	ColdUntil time.Time
	// Evacuated says that operators have its data hall get no more requests.
	Evacuated bool
	// Region is that of its data hall, "" if it is not known.
	Region string
	// Weights are the versions of the models that it serves.
	Weights map[string]int64
	// Orders counts the orders that it has taken since its start.
	Orders int64
}

// StartKey names one start of a replica, and the replica where it does not say when it
// started.
func (u *Upstream) StartKey() string {
	if u.Started.IsZero() {
		return u.ID
	}
	return u.ID + "@" + strconv.FormatInt(u.Started.UnixMilli(), 10)
}

// StartedBefore says whether this is an earlier start of the same replica than another.
func (u *Upstream) StartedBefore(o *Upstream) bool {
	return !u.Started.IsZero() && u.Started.Before(o.Started)
}
