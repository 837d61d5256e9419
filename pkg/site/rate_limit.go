package site

import "strconv"

// RateLimit is what an answer says of how many requests a second its replica takes from all
// nodes together.
type RateLimit struct {
	Presence RatePresence
	// PerSecond is 0 or more, and only meant where RatePresent is set.
	PerSecond float64
}

// RatePresence is whether an answer names a rate.
type RatePresence uint8

// What answers say of a rate.
const (
	// RateAbsent: the replica takes what there is.
	RateAbsent RatePresence = iota
	// RatePresent: it takes no more than that.
	RatePresent
	// RateUnreadable: it may have named one.
	RateUnreadable
)

// NewRateLimit is a rate that was named.
func NewRateLimit(perSecond float64) RateLimit {
	return RateLimit{Presence: RatePresent, PerSecond: perSecond}
}

// String is the rate, "" if none was named, and "?" if it can't be read.
func (l RateLimit) String() string {
	switch l.Presence {
	case RatePresent:
		return strconv.FormatFloat(l.PerSecond, 'g', -1, 64)
	case RateUnreadable:
		return "?"
	default:
		return ""
	}
}
