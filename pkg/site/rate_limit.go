package site

import "strconv"

// RateLimit is the limit on requests a second from all nodes together that a replica may
// announce in an answer.
type RateLimit struct {
	Presence RatePresence
	// PerSecond is 0 or more; it is valid only with RatePresent.
	PerSecond float64
}

// RatePresence is whether an answer has a rate limit.
type RatePresence uint8

// Values of RatePresence.
const (
	// RateAbsent: the replica announces no limit.
	RateAbsent RatePresence = iota
	// RatePresent: the limit is PerSecond.
	RatePresent
	// RateUnreadable: there is a limit, but it can't be parsed.
	RateUnreadable
)

// NewRateLimit returns a limit that is present.
func NewRateLimit(perSecond float64) RateLimit {
	return RateLimit{Presence: RatePresent, PerSecond: perSecond}
}

// String writes the rate, "" if there is none, and "?" if it can't be parsed.
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
