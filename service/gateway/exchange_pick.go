package gateway

import (
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/drumpath/drumpath/pkg/route"
)

// admit finds the route, organisation and deadline of the request; ok is false if it is
// refused.
func (x *exchange) admit() (f refusal, ok bool) {
	snapshot := x.g.siteState.Snapshot()
	if snapshot == nil {
		return retryLater(reasonNoConfiguration, startRetryAfter), false
	}
	x.snapshot = snapshot
	if x.route = snapshot.Route(x.head.Get("Host"), x.head.Path()); x.route == nil {
		return refuse(http.StatusNotFound, reasonNoRoute), false
	}
	x.retried = x.g.metrics.impact.recordDeadline(x.route.Name, x.info.ClientTimeout, x.receivedAt)
	if snapshot.RequireKey {
		x.organisation = snapshot.Organisation(x.info.Key)
		if x.organisation == nil && !x.route.Anonymous {
			return refuse(http.StatusUnauthorized, reasonUnknownKey), false
		}
	}
	timeout := x.route.Timeout
	if t := x.info.ClientTimeout; t > 0 && (timeout == 0 || t < timeout) {
		timeout = t
	}
	x.deadline = x.receivedAt.Add(timeout)
	return refusal{}, true
}

// findPool finds the service and pool of the request; ok is false if it is refused.
func (x *exchange) findPool() (f refusal, ok bool) {
	x.service = x.snapshot.Services[x.serviceName()]
	if x.service == nil {
		return retryLater(reasonNoReplica, noReplicaRetryAfter), false
	}
	if x.pool = x.g.siteState.Pool(x.service.Name); x.pool == nil {
		return retryLater(reasonNoReplica, noReplicaRetryAfter), false
	}
	x.pickInput = x.newPickInput()
	x.pickInput.Homes, x.pickInput.HomesOnly = x.allowedHomes()
	if x.begun != nil {
		return x.pinToOrigin()
	}
	x.pickInput.Software = x.softwareRule(x.receivedAt)
	return refusal{}, true
}

// allowedHomes returns the regions in which the request may run; homesOnly is false if
// it may run in all. If both its route and its organisation name some, it may run in
// those that both name.
func (x *exchange) allowedHomes() (list []string, homesOnly bool) {
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

// newPickInput collects what the pool needs to know to pick a replica.
func (x *exchange) newPickInput() route.PickInput {
	input := route.PickInput{Bytes: int64(len(x.body)), BeginWithin: route.BeginWithin(x.route.LatencyTarget)}
	if x.service.Engine == nil {
		return input
	}
	input.Model = x.info.Model
	input.Tokens = x.info.PromptTokens()
	input.Priority = x.priority()
	input.Memory = input.Tokens + x.info.MaxTokens
	input.Capacity = x.service.Engine.Capacity
	shared := x.info.Shared()
	for _, p := range shared {
		input.Shared += p.Tokens
	}
	if len(shared) > 0 {
		input.Affinity = xxhash.Sum64String(shared[len(shared)-1].ID)
	}
	return input
}

// lookUpCoverage finds how much of the prompt each replica holds or can fetch.
func (x *exchange) lookUpCoverage(now time.Time) {
	e := x.service.Engine
	if e == nil || !e.PlannedFetch || x.pickInput.Model == "" {
		return
	}
	candidates := x.pool.Candidates(&x.pickInput, now)
	realms := map[int64]route.Realm{}
	for i := range candidates {
		version := candidates[i].Weights[x.pickInput.Model]
		if _, known := realms[version]; !known {
			r := x.realm(version)
			realms[version] = route.Realm{Name: r.String(), SourceRules: x.g.sourceRules(r, now)}
		}
	}
	x.pickInput.Coverage = x.g.cacheIndex.Coverage(candidates, x.pickInput.Model, realms, x.info.Shared(), e, x.maxExpectedFetch(), now)
}

const (
	// For newWeightsPeriod after new weights were named, replicas with older ones are
	// penalized with the weight newWeightsStaleness, and after that with 1.
	newWeightsPeriod    = time.Second
	newWeightsStaleness = 0.3
	// orderWindowMargin is taken off the time that replicas have to load new weights:
	// this long before its end, replicas with older ones must be expected to have begun a
	// prompt, and requests stop going to them.
	orderWindowMargin = 1200 * time.Millisecond
)

// refreshWeights updates the newest and the oldest usable weights, which may change
// between attempts.
func (x *exchange) refreshWeights(in *route.PickInput, now time.Time) {
	if in.Model == "" {
		return
	}
	in.Weights = x.g.siteState.WeightHistory(in.Model)
	newest := in.Weights.Newest()
	in.NewestVersion = newest.Version
	in.StalenessWeight = newWeightsStaleness
	if now.Sub(newest.Since) > newWeightsPeriod {
		in.StalenessWeight = 1
	}
	in.WeightsTerm = x.g.conf().Orders.MaxRolloutTime.Std() - orderWindowMargin
	in.MinVersion = in.Weights.Before(now.Add(-in.WeightsTerm))
}

// currentInput returns the request's input with the weights that may be used now. The request's
// own input keeps those of the pick, which the log names.
func (x *exchange) currentInput(now time.Time) *route.PickInput {
	in := x.pickInput
	x.refreshWeights(&in, now)
	return &in
}

// pick picks a replica by the current state.
func (x *exchange) pick(now time.Time) (route.Choice, bool) {
	x.refreshWeights(&x.pickInput, now)
	x.lookUpCoverage(now)
	x.g.nodes.refreshPeerLoads(now)
	c, ok := x.pool.Pick(&x.pickInput, now)
	if s := &x.pickInput.Software; !ok && s.Version != "" && !s.Excluded && !s.Pinned && x.pool.HasOtherSoftware(s.Version) {
		s.Excluded = true // No replica of the new version can take it.
		c, ok = x.pool.Pick(&x.pickInput, now)
	}
	x.g.reach.makeContacts(x.pool, &x.pickInput)
	return c, ok
}
