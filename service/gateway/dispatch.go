package gateway

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
)

const (
	// fetchTerm is the longest that any fetch may take before the replica throws
	// it away and reads the prompt. A replica begins no move that would wait for
	// over two seconds.
	fetchTerm = 1900 * time.Millisecond
	// fetchGrace is how much longer than expected a fetch may take; fetchMost is
	// how many times the route's target it may take in all. A fetch that is already
	// late is best waited for: reading the prompt after it has been thrown away comes
	// later still, and takes the replica's time from others. At 0.7 instead, 82 and 91
	// nodes lost 0.07 and 0.08 of worth (one day each), and nine gained 0.012.
	fetchGrace = 200 * time.Millisecond
	fetchMost  = 3.0
)

// dispatch makes what a replica is told beside the request, with a plan for the
// prompt's kept state.
func (x *exchange) dispatch(c route.Choice, now time.Time) (*site.Dispatch, *route.Plan) {
	d := &site.Dispatch{Instance: c.ID, TimeLeft: x.limit.Sub(now), Priority: -1}
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
	if c.Weights == 0 {
		// What is kept there is of unknown weights: nothing of it may be used.
		d.Realm = unknownRealm + x.terms.ID
		return d, &route.Plan{}
	}
	d.Weights = c.Weights
	d.Realm = x.realm(c.Weights)
	shared := x.terms.Shared()
	if !x.service.Engine.PlannedFetch || len(shared) == 0 {
		return d, &route.Plan{}
	}
	replaced := x.g.siteState.ReplacedAt(x.need.Model, c.Weights)
	plan := x.g.cacheIndex.Plan(d.Realm, c.Upstream, shared, x.service.Engine, route.PlanLimits{
		MaxFetchTime: x.longestFetch(),
		// While weights are being replaced, what a replica reads may be of either.
		Save:           replaced.IsZero(),
		CompleteBefore: replaced,
		HomesOnly:      x.need.HomesOnly,
		Homes:          x.need.Homes,
	}, now)
	d.Sources, d.Saves = plan.Sources, plan.Saves
	if clock, ok := x.g.clock.read(now); ok && plan.Fetched > 0 {
		d.FetchBy = clock + x.fetchTerm(c.Expected)
	}
	return d, plan
}

// fetchTerm is for how long a fetch may take if the first byte is expected after
// a time: a replica that is busy begins it late, and is not to read the prompt
// for that.
func (x *exchange) fetchTerm(expected time.Duration) time.Duration {
	most := time.Duration(fetchMost * float64(x.route.Target))
	return min(fetchTerm, max(expected+fetchGrace, most))
}

// longestFetch is the longest that a fetch is expected to take: the answer must
// still come in good time behind it.
func (x *exchange) longestFetch() time.Duration {
	return time.Duration(fetchShare * float64(x.route.Target))
}

// fetchShare is the part of a route's target that a fetch may take.
const fetchShare = 0.5

// priority ranks the request, 0 for the most urgent: by its organisation if that
// has a priority, and behind that, or else, by its route.
func (x *exchange) priority() int {
	p := x.route.Priority
	if x.organisation != nil && x.organisation.HasPriority {
		p = min(p, routeRanks-1) + routeRanks*x.organisation.Priority
	}
	return p
}

// routeRanks is how many ranks of routes are told apart within one of
// organisations.
const routeRanks = 3

// unknownRealm begins realms that nobody shares.
const unknownRealm = "?"

// realm names the space of kept state that the request may share where the model's
// weights have a version.
func (x *exchange) realm(version int64) string {
	return realmOf(x.need.Model, version, x.organisation, x.need.Homes)
}

// realmOf names the space of kept state that requests may share: that of one
// model, one version of its weights, where an organisation is isolated, of that
// organisation, and where requests have homes, of those that have the same. It is in the
// key, so no check can be forgotten.
func realmOf(model string, version int64, o *site.Organisation, homes []string) string {
	r := model + "@" + strconv.FormatInt(version, 10)
	if o != nil && o.Isolated {
		r += "/" + o.Name
	}
	if len(homes) > 0 {
		r += "/in:" + strings.Join(slices.Sorted(slices.Values(homes)), "+")
	}
	return r
}

// weightsOf reads a realm's model and version; ok is false if it is not one of
// realmOf.
func weightsOf(realm string) (model string, version int64, ok bool) {
	model, rest, found := strings.Cut(realm, "@")
	text, _, _ := strings.Cut(rest, "/")
	version, err := strconv.ParseInt(text, 10, 64)
	return model, version, found && err == nil
}
