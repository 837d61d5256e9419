package gateway

import (
	"time"

	"github.com/drumpath/drumpath/pkg/http1"
)

// logAnswer logs which replica served the request and how long each stage took.
func (x *exchange) logAnswer(a *attempt, now time.Time) {
	resumedAt, finished := "", a
	if a = a.firstAttempt(); a != finished {
		resumedAt = finished.choice.ID
	}
	if finished.body.Framing() == http1.FramingClose {
		x.g.metrics.endedByClose.Add(1)
	}
	coverage := x.pickInput.Coverage[a.choice.ID]
	x.g.answerTimes.record(x.route.Name, now.Sub(a.startedAt))
	x.g.metrics.countAnswer(x.route.Kind(), a.startedAt.Sub(x.receivedAt), a.firstByteAfter, now.Sub(x.receivedAt))
	x.g.log.Info("answered", "request", x.info.ID, "route", x.route.Name, "replica", a.choice.ID,
		"body_bytes", len(x.body), "tokens", x.pickInput.Tokens, "shared", x.pickInput.Shared, "kept", coverage.Cached+coverage.Fetched, "held", coverage.Cached, "read", a.choice.PrefillTokens,
		"hall", a.choice.DataHall, "left_hall", string(a.choice.HallExit), "follows", a.choice.Follows, "software", a.choice.Software, "via", a.viaName(), "weights", a.choice.Weights, "newest", x.pickInput.NewestVersion, "replaced_ms", a.weightsReplacedFor(x.pickInput.Weights).Milliseconds(), "framing", finished.body.Framing().String(),
		"fetched", a.plan.Fetched, "saved", a.plan.Saved, "sources", a.plan.Sources, "fetch_ms", a.plan.FetchTime.Milliseconds(),
		"expected_ms", a.choice.Expected.Milliseconds(), "first_ms", a.firstByteAfter.Milliseconds(), "gap_ms", finished.longestPause.Milliseconds(),
		"before_ms", a.startedAt.Sub(x.receivedAt).Milliseconds(), "all_ms", now.Sub(x.receivedAt).Milliseconds(),
		"unread_ms", a.unread.Milliseconds(), "resumed_at", resumedAt,
		"limit", finished.info.Limit.String(), "draining", finished.info.Draining, "attempts", x.mayHaveRun, "not_run", x.notRunCount)
}

// logRefusal logs why the node itself answered a request, with the age of the state that
// it decided by.
func (x *exchange) logRefusal(f refusal, impact refusalImpact, now time.Time) {
	route, service, replicas, usable := "", "", 0, 0
	if x.route != nil {
		route = x.route.Name
	}
	medianWait := time.Duration(0)
	if x.service != nil {
		service = x.service.Name
	}
	if x.pool != nil {
		replicas, usable = x.pool.Count(now)
		medianWait = x.pool.MedianWait(now)
	}
	configVersion, listAge, storeAway := x.g.siteState.Ages(now)
	x.g.log.Info("refused", "request", x.info.ID, "status", f.status, "reason", f.reason, "route", route, "service", service,
		"retry_after", f.retryAfter, "after", now.Sub(x.receivedAt), "attempts", x.mayHaveRun, "not_run", x.notRunCount,
		"unreached", x.unreached, "connecting", x.connecting, "config", configVersion, "list_age", listAge, "store_away", storeAway, "replicas", replicas, "usable", usable,
		"median_wait", medianWait, "expected_wait", x.expectedWait, "free_slots", impact.freeSlots, "slots", impact.slots, "retried", impact.retried, "in_flight", x.g.inFlight.Load())
}
