package gateway

import (
	"time"

	"github.com/drumpath/drumpath/pkg/route"
)

// A managed store frees a part at once, also while a replica fetches it. So parts that a change of the operator's table has ruled out
// are freed only when each fetch of them has ended, whoever has planned it. Two sides keep one term for that:
//
//   - A node plans a fetch only within fetchPlanTerm of when it last knew that the parts were not ruled out. The operator's
//     table tells it that; a node that can't read the table may be the only one that doesn't know.
//   - Parts are freed only when fetchPlanTerm and the time for which the last fetch may run have passed since a node heard of the change,
//     which is after it was acknowledged. Whether a replica or a node is known that may still use them doesn't matter.
const (
	fetchPlanTerm = 8 * time.Second
	// fetchClockError is by how much later than a node means it a fetch may be abandoned, by the replicas' clock.
	fetchClockError = time.Second
	// freeDelay is how long after this node has heard that they are ruled out parts are freed.
	freeDelay = fetchPlanTerm + maxFetchTimeout + fetchClockError
	// freeKnownTerm is for how long after its last reading of the operator's table a node has parts freed, and freeCallTime how long
	// a call to do so may take.
	freeKnownTerm = 4 * time.Second
	freeCallTime  = time.Second
	// isolationFetchDelay is how long after an organisation has become isolated nodes plan no fetches for it. It may have been so
	// before, and a node that does not know yet that it is again may have its parts freed.
	isolationFetchDelay = freeKnownTerm + freeCallTime + fetchClockError
)

// sourceRules returns the rules for fetches of a realm's parts.
func (g *Gateway) sourceRules(r realm, now time.Time) route.SourceRules {
	// Without the replicas' clock a fetch has no end.
	_, clockKnown := g.clock.read(now)
	return route.SourceRules{
		CompleteBefore:  g.siteState.WeightHistory(r.model).MayBeReplacedAt(r.weights),
		NoManagedStores: !clockKnown || !g.siteState.mayFetchFromStores(r, now),
	}
}

// mayFetchFromStores reports whether fetches of a realm's parts from stores may be planned.
func (st *SiteState) mayFetchFromStores(r realm, now time.Time) bool {
	if r.group.provisional || !st.operatorKnown(fetchPlanTerm, now) {
		return false
	}
	if r.group.kind == groupOrganisation {
		if c := st.isolationOf(r.group.organisation); !c.isolated || now.Sub(c.since) < isolationFetchDelay {
			return false
		}
	}
	namedAfter, replaced := st.WeightHistory(r.model).ReplacedAfter(r.weights)
	return !replaced || !namedAfter.IsZero() && now.Sub(namedAfter) <= fetchPlanTerm-maxChangeDelay
}

// ruledOutSince returns since when this node knows that no fetch of a realm's parts may be planned any more; ok is false if
// fetches may be.
func (st *SiteState) ruledOutSince(r realm) (since time.Time, ok bool) {
	for _, v := range st.WeightHistory(r.model) {
		if v.Version > r.weights {
			return v.Heard, true
		}
	}
	switch r.group.kind {
	case groupOrganisation:
		c := st.isolationOf(r.group.organisation)
		return c.since, !c.isolated
	case groupPeriod:
		return st.periodEndedSince(r.group.period)
	default:
		return since, false
	}
}

// operatorKnown reports whether the operator's table was known within a time.
func (st *SiteState) operatorKnown(within time.Duration, now time.Time) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return !st.mayHaveMissedOperator(within, now)
}

// periodEndedSince returns since when this node knows that a period has ended; ok is false if it has not, or if it is of another
// era of the store: nodes may take two periods of one configuration for the newest then.
func (st *SiteState) periodEndedSince(p route.SharingPeriod) (since time.Time, ok bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	newest := st.sharingHistory().Newest().Period
	return st.periodSince, p.Era == newest.Era && p.Config < newest.Config
}
