package gateway

import (
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/drumpath/drumpath/pkg/route"
)

// admit finds out how the request is to be served; ok is false if it is refused.
func (x *exchange) admit() (f refusal, ok bool) {
	s := x.g.siteState.Snapshot()
	if s == nil {
		return comeBack(reasonNoConfiguration, startRetry), false
	}
	if x.route = s.Route(x.head.Get("Host"), x.head.Path()); x.route == nil {
		return refuse(http.StatusNotFound, reasonNoRoute), false
	}
	if s.RequireKey {
		x.organisation = s.Organisation(x.terms.Key)
		if x.organisation == nil && !x.route.Anonymous {
			return refuse(http.StatusUnauthorized, reasonUnknownKey), false
		}
	}
	patience := x.route.Timeout
	if t := x.terms.ClientTimeout; t > 0 && (patience == 0 || t < patience) {
		patience = t
	}
	x.limit = x.came.Add(patience)
	x.service = s.Services[x.route.ServiceAt(xxhash.Sum64String(x.terms.ID))]
	if x.service == nil {
		return comeBack(reasonNoReplica, noReplicaRetry), false
	}
	if x.pool = x.g.siteState.Pool(x.service.Name); x.pool == nil {
		return comeBack(reasonNoReplica, noReplicaRetry), false
	}
	x.need = x.needs()
	x.need.Homes, x.need.HomesOnly = x.homes()
	return refusal{}, true
}

// homes are the regions in which the request may run; homed is false if it may in all.
// Where its route and its organisation both have some, both hold.
func (x *exchange) homes() (list []string, homed bool) {
	list = x.route.Homes
	if x.organisation == nil || len(x.organisation.Homes) == 0 {
		return list, len(list) > 0
	}
	if len(list) == 0 {
		return x.organisation.Homes, true
	}
	both := slices.DeleteFunc(slices.Clone(list), func(r string) bool { return !slices.Contains(x.organisation.Homes, r) })
	return both, true
}

// needs works out what the pool has to know.
func (x *exchange) needs() route.PickInput {
	n := route.PickInput{}
	if x.service.Engine == nil {
		return n
	}
	n.Model = x.terms.Model
	n.Tokens = x.terms.PromptTokens()
	n.Priority = x.priority()
	n.Memory = n.Tokens + x.terms.MaxTokens
	n.Capacity = x.service.Engine.Capacity
	shared := x.terms.Shared()
	for _, p := range shared {
		n.Shared += p.Tokens
	}
	if len(shared) > 0 {
		n.Affinity = xxhash.Sum64String(shared[len(shared)-1].ID)
	}
	return n
}

// lookUp notes what of the prompt can be fetched.
func (x *exchange) lookUp(now time.Time) {
	e := x.service.Engine
	if e == nil || !e.PlannedFetch || x.need.Model == "" {
		return
	}
	realm := func(version int64) route.Realm {
		return route.Realm{
			Name:           x.realm(version),
			CompleteBefore: x.g.siteState.ReplacedAt(x.need.Model, version),
		}
	}
	x.need.Coverage = x.g.cacheIndex.Coverage(x.pool.Upstreams(), x.need.Model, realm, x.terms.Shared(), e, x.longestFetch(), now)
}

const (
	// freshTerm is for how long after new weights were named answers on older
	// ones count nearly in full, and freshUrgency what they count less.
	freshTerm    = time.Second
	freshUrgency = 0.3
	// withinMargin is how long before the time by which all replicas are to
	// have new weights nothing is sent to older ones any more.
	withinMargin = 1200 * time.Millisecond
)

// refresh notes the newest weights, which may change between attempts.
func (x *exchange) refresh(now time.Time) {
	if x.need.Model == "" {
		return
	}
	version, since := x.g.siteState.Weights(x.need.Model)
	x.need.NewestVersion = version
	known := now.Sub(since)
	x.need.StalenessWeight = freshUrgency
	if known > freshTerm {
		x.need.StalenessWeight = 1
	}
	within := x.g.conf().Orders.Within.Std() - withinMargin
	x.need.MinVersion = x.g.siteState.WeightsBefore(x.need.Model, now.Add(-within))
}

// pick chooses a replica by what is known now.
func (x *exchange) pick(now time.Time) (route.Choice, bool) {
	x.refresh(now)
	x.lookUp(now)
	x.g.nodes.refreshPeerLoads(now)
	return x.pool.Pick(&x.need, now)
}
