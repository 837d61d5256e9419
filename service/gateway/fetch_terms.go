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
)

// sourceRules returns the rules for fetches of a realm's parts.
func (g *Gateway) sourceRules(r realm, now time.Time) route.SourceRules {
	// Without the replicas' clock a fetch has no end.
	_, clockKnown := g.clock.read(now)
	return route.SourceRules{
		CompleteBefore: g.siteState.WeightHistory(r.model).MayBeReplacedAt(r.weights),
		NoStores:       !clockKnown || !g.siteState.mayFetchFromStores(r, now),
	}
}

// mayFetchFromStores reports whether fetches of a realm's parts from stores may be planned.
func (st *SiteState) mayFetchFromStores(r realm, now time.Time) bool {
	if r.group.provisional {
		return false
	}
	st.mu.Lock()
	heard := !st.operatorReadAt.IsZero() && st.operatorUnheard(now) <= fetchPlanTerm
	st.mu.Unlock()
	if !heard {
		return false
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
	return since, false
}
