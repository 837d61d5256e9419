package gateway

import (
	"net/url"
	"time"

	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
)

const (
	// maxFetchTimeout bounds how long a fetch may take before the replica abandons it
	// and recomputes the prompt. A replica starts no transfer that would wait for more
	// than two seconds.
	maxFetchTimeout = 1900 * time.Millisecond
	// fetchGrace is how much longer than expected a fetch may take; fetchTargetFactor is
	// how many times the route's target it may take in all. It is best to wait for a
	// fetch that is already late: recomputing the prompt after abandoning it finishes
	// even later and takes the replica's time from other requests. With a factor of 0.7
	// instead, 82 and 91 nodes lost 0.07 and 0.08 of worth (one day each), and nine
	// gained 0.012.
	fetchGrace        = 200 * time.Millisecond
	fetchTargetFactor = 3.0
)

// dispatch builds the metadata that is sent to a replica with the request, and the plan
// for fetching and saving the prompt's KV cache.
func (x *exchange) dispatch(c route.Choice, now time.Time) (*site.Dispatch, *route.Plan) {
	d := &site.Dispatch{Instance: c.ID, TimeLeft: x.deadline.Sub(now), Priority: -1}
	if x.organisation != nil {
		d.Organisation = x.organisation.Name
	}
	if x.stream != nil {
		d.LastEvent = x.stream.lastID
	}
	if x.service.Engine == nil {
		return d, &route.Plan{}
	}
	d.Priority = x.priority()
	d.Backup = x.backupFor(&c, now)
	if c.Weights == 0 {
		// The replica's cache is of unknown weights and must not be used.
		d.Realm = unsharedRealmPrefix + x.info.ID + "/" + url.QueryEscape(d.Organisation)
		return d, &route.Plan{}
	}
	d.Weights = c.Weights
	r := x.realm(c.Weights)
	d.Realm = r.String()
	shared := x.info.Shared()
	if !x.service.Engine.PlannedFetch || len(shared) == 0 {
		return d, &route.Plan{}
	}
	rules := x.g.sourceRules(r, now)
	plan := x.g.cacheIndex.Plan(d.Realm, c.Upstream, shared, x.service.Engine, route.PlanLimits{
		MaxFetchTime: x.maxExpectedFetch(),
		// While weights are being replaced, the cache a replica computes may be of either version. What may not be
		// fetched from stores may be there already.
		Save:        rules.CompleteBefore.IsZero() && !rules.NoManagedStores,
		SourceRules: rules,
		HomesOnly:   x.pickInput.HomesOnly,
		Homes:       x.pickInput.Homes,
	}, now)
	d.Sources, d.Saves = plan.Sources, plan.Saves
	if clock, ok := x.g.clock.read(now); ok && plan.Fetched > 0 {
		d.FetchBy = clock + x.fetchTimeout(c.Expected)
	}
	return d, plan
}

// fetchTimeout is how long a fetch may take if the first byte is expected after the
// given time. A busy replica starts the fetch late, and must not recompute the prompt
// because of that.
func (x *exchange) fetchTimeout(expected time.Duration) time.Duration {
	byTarget := time.Duration(fetchTargetFactor * float64(x.route.LatencyTarget))
	return min(maxFetchTimeout, max(expected+fetchGrace, byTarget))
}

// maxExpectedFetch is the longest expected duration for which a fetch is planned: the
// answer must still meet the route's target after it.
func (x *exchange) maxExpectedFetch() time.Duration {
	return time.Duration(fetchTargetShare * float64(x.route.LatencyTarget))
}

// fetchTargetShare is the share of a route's target that a fetch may take.
const fetchTargetShare = 0.5

// priority ranks the request, 0 for the most urgent: first by its organisation's
// priority, if it has one, and then by its route's. A stream that is taken up does not wait behind new
// ones: fewer replicas can take it, and its beginning is lost if they don't.
func (x *exchange) priority() int {
	if x.begun != nil {
		return 0
	}
	p := x.route.Priority
	if x.organisation != nil && x.organisation.HasPriority {
		p = min(p, routePriorityLevels-1) + routePriorityLevels*x.organisation.Priority
	}
	return p
}

// routePriorityLevels is how many route priorities are distinguished within one
// organisation priority.
const routePriorityLevels = 3
