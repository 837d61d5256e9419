package site

import "strconv"

// RateLimit is what an answer says of how many requests a second its replica takes from all
// nodes together.
type RateLimit struct {
	Said RateSaid
	// PerSecond is 0 or more, and only meant where RateNamed is said.
	PerSecond float64
}

// RateSaid is whether an answer names a rate.
type RateSaid uint8

// What answers say of a rate.
const (
	// RateUnsaid: the replica takes what there is.
	RateUnsaid RateSaid = iota
	// RateNamed: it takes no more than that.
	RateNamed
	// RateUnreadable: it may have named one.
	RateUnreadable
)

// NamedRate is a rate that was named.
func NamedRate(perSecond float64) RateLimit {
	return RateLimit{Said: RateNamed, PerSecond: perSecond}
}

// String is the rate, "" if none was named, and "?" if it can't be read.
func (l RateLimit) String() string {
	switch l.Said {
	case RateNamed:
		return strconv.FormatFloat(l.PerSecond, 'g', -1, 64)
	case RateUnreadable:
		return "?"
	default:
		return ""
	}
}
