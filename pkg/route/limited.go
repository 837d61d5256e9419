package route

import "time"

// A replica may set a limit on the requests a second that it takes from all nodes
// together. One of the nodes, its owner, grants sends within that limit. Until the owner
// has been asked, the replica is considered like any other; it is excluded for as long as
// the owner has answered that the limit is used up.
//
// Under usual load there are better replicas at each moment, so a replica that has been
// avoided would get no requests, and no answer from it would show that its limit was raised.
// Its owner therefore prefers it, and more so the more of its limit is unused.
const (
	// unusedRequestGain is the reduction of a replica's cost for each request that its
	// limit left unused, and maxUnusedRequests the most that count. Together they are less
	// than the prefill of a long prompt, so that cached prompts still go where they are
	// cached.
	unusedRequestGain = 40 * time.Millisecond
	maxUnusedRequests = 2.5
)

// RateLimits returns what is known of the rate limits that replicas have set. It is called with the
// pool's lock held.
type RateLimits interface {
	// State returns the state for a start key; it is the zero value if that start has had
	// no limit for a long time.
	State(start string, now time.Time) RateState
}

// RateState is what a node knows of a replica that has a rate limit, or had one recently.
type RateState struct {
	// Limited is set if the replica has a limit now.
	Limited bool
	// Wait is how long nothing may be sent there. After that the owner may be asked again.
	Wait time.Duration
	// Unused is how many requests the limit would have allowed since the last one was
	// sent; it is known to the owner only.
	Unused float64
	// Ended is when the limit was lifted, zero if there still is one.
	Ended time.Time
}

// SetRateLimits sets the source of the replicas' rate limits. It must be called before the
// pool is used.
func (p *Pool) SetRateLimits(l RateLimits) { p.rateLimits = l }

// rateState returns what is known of a replica's rate limit.
func (p *Pool) rateState(m *member, now time.Time) (s RateState) {
	if p.rateLimits != nil {
		s = p.rateLimits.State(m.startKey, now)
	}
	return s
}

// allows reports whether the rate limit lets the replica be picked for a request.
func (s *RateState) allows(in *PickInput) bool {
	return s.Wait == 0 && (!s.Limited || !in.UnlimitedOnly)
}

// unusedGain is the reduction of a replica's cost for the unused part of its limit.
func (s *RateState) unusedGain() time.Duration {
	return time.Duration(min(maxUnusedRequests, s.Unused) * float64(unusedRequestGain))
}
