package route

import "time"

// A replica may name how many requests a second it takes from all nodes together. Whether
// one may be sent it is for its owner among the nodes to say; until the owner is asked it is
// weighed like any other, and it is left out while the owner has said that there is nothing.
//
// The load pattern that this answers is a usual load, in which there are better replicas at
// each moment: one that is left alone is sent nothing, and so nobody hears that it takes more
// again. Its owner therefore prefers it, the more the longer what it takes was left unused.
const (
	// unusedRequestGain is by how much a replica is preferred for each request that was left unused,
	// and unusedMost for how many at most: together they are less than a long prompt's reading, so
	// that what is kept elsewhere goes before.
	unusedRequestGain = 40 * time.Millisecond
	maxUnusedRequests = 2.5
)

// RateLimits says which replicas have named how many requests a second they take, and what
// is known of that.
type RateLimits interface {
	// State is of a start of a replica, by the start's name; zero if it has named no rate for
	// long.
	State(start string, now time.Time) RateState
}

// RateState is what a node knows of a replica that names a rate, or did a moment ago.
type RateState struct {
	// Limited says that it names one.
	Limited bool
	// Wait is for how long nothing is to be sent there. After that its owner may be asked.
	Wait time.Duration
	// Unused is how many requests it could have been sent since it was last sent one; only the
	// owner knows.
	Unused float64
	// Ended is when it ceased to name a rate, zero if it does name one.
	Ended time.Time
}

// SetRateLimits has the pool go by the rates that replicas name; it is to be called before the
// pool is used.
func (p *Pool) SetRateLimits(l RateLimits) { p.rateLimits = l }

// rateState is what is known of the rate that a replica names.
func (p *Pool) rateState(m *member, now time.Time) (s RateState) {
	if p.rateLimits != nil {
		s = p.rateLimits.State(m.startKey, now)
	}
	return s
}

// allows says whether a replica may be picked for a request.
func (s *RateState) allows(in *PickInput) bool {
	return s.Wait == 0 && (!s.Limited || !in.UnlimitedOnly)
}

// unusedGain is by how much a replica is preferred that takes more than it is sent.
func (s *RateState) unusedGain() time.Duration {
	return time.Duration(min(maxUnusedRequests, s.Unused) * float64(unusedRequestGain))
}
