package gateway

import (
	"time"
)

// logAnswer tells where a request ran, by what, and how long it took.
func (x *exchange) logAnswer(a *attempt, now time.Time) {
	offer := x.need.Coverage[a.choice.ID]
	x.g.metrics.countAnswer(x.route.Kind(), a.begun.Sub(x.came), a.took, now.Sub(x.came))
	x.g.log.Info("answered", "request", x.terms.ID, "route", x.route.Name, "replica", a.choice.ID,
		"hall", a.choice.DataHall, "weights", a.choice.Weights, "newest", x.need.NewestVersion,
		"tokens", x.need.Tokens, "shared", x.need.Shared, "kept", offer.Held+offer.Fetched, "held", offer.Held, "read", a.choice.Read,
		"fetched", a.plan.Fetched, "saved", a.plan.Saved, "sources", a.plan.Sources, "fetch_ms", a.plan.FetchTime.Milliseconds(),
		"expected_ms", a.choice.Expected.Milliseconds(), "first_ms", a.took.Milliseconds(), "gap_ms", a.longest.Milliseconds(),
		"before_ms", a.begun.Sub(x.came).Milliseconds(), "all_ms", now.Sub(x.came).Milliseconds(),
		"limit", a.answer.Limit.String(), "draining", a.answer.Draining, "attempts", x.ran, "not_run", x.refused)
}

// logRefusal tells why a request got an answer of the node's own, and by what
// beliefs, of what age.
func (x *exchange) logRefusal(f refusal, now time.Time) {
	route, service, replicas, usable := "", "", 0, 0
	if x.route != nil {
		route = x.route.Name
	}
	wait := time.Duration(0)
	if x.service != nil {
		service = x.service.Name
	}
	if x.pool != nil {
		replicas, usable = x.pool.Count(now)
		wait = x.pool.MedianWait(now)
	}
	config, heard, away := x.g.siteState.Ages(now)
	x.g.log.Info("refused", "request", x.terms.ID, "status", f.status, "reason", f.reason, "route", route, "service", service,
		"retry_after", f.retry, "after", now.Sub(x.came), "attempts", x.ran, "not_run", x.refused,
		"config", config, "list_age", heard, "store_away", away, "replicas", replicas, "usable", usable,
		"median_wait", wait, "in_flight", x.g.inFlight.Load())
}
