package gateway

import (
	"context"
	"net/http"
	"strings"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/http1"
	"github.com/drumpath/drumpath/pkg/route"
)

// resumedAnswer is what an answer means for the stream that its request was to resume.
type resumedAnswer string

const (
	// resumedRest: it is the rest of the stream.
	resumedRest resumedAnswer = "rest"
	// resumedDeclined: the replica can't take up this stream, which says nothing about its health.
	resumedDeclined resumedAnswer = "declined"
	// resumedFailed: the replica failed.
	resumedFailed resumedAnswer = "failed"
)

// classifyResumed decides what an answer means for a stream that has begun with another one. The
// client has a head already, so it gets no other one, whatever the status.
func classifyResumed(begun, answer *http1.Head) resumedAnswer {
	switch {
	case answer.Status == http.StatusOK && mediaType(answer) == mediaType(begun):
		return resumedRest
	case answer.Status == http.StatusOK, isServerError(answer.Status):
		return resumedFailed
	default:
		return resumedDeclined
	}
}

// mediaType returns the media type of an answer without its parameters, "" if it names none.
func mediaType(h *http1.Head) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// mayHoldEvents reports whether the answer is one whose events are passed on as they arrive. Any other is
// read whole first.
func (a *attempt) mayHoldEvents() bool {
	t := mediaType(a.head)
	return a.head.Status == http.StatusOK && (t == eventStreamType || t == "")
}

// isRest reports whether the answer of an attempt is what its client is to get next.
func (x *exchange) isRest(a *attempt) bool {
	if x.stream == nil {
		return a.head.Status == http.StatusOK
	}
	return classifyResumed(x.stream.head, a.head) == resumedRest
}

// handleNoRest decides how to go on after an answer that is not the rest of the stream. Its body is
// not read.
func (x *exchange) handleNoRest(ctx context.Context, a *attempt) (bool, refusal) {
	now := boottime.Now()
	verdict, outcome := classifyResumed(x.stream.head, a.head), route.OutcomeNeutral
	if verdict == resumedFailed {
		outcome = x.outcomeOfFailure(ctx, a)
		x.recordFinish(a, now)
	}
	a.answered = true
	a.end(outcome, now)
	a.plan.Cancel()
	a.closeConn()
	x.recordCanary(ctx, a, verdict == resumedFailed)
	x.g.metrics.streams.notRest.Add(1)
	x.g.log.Info("stream not resumed", "request", x.info.ID, "route", x.route.Name, "replica", a.choice.ID, "via", a.viaName(),
		"status", a.head.Status, "content_type", a.head.Get("Content-Type"), "verdict", string(verdict), "last_event", x.stream.lastID, "attempts", x.mayHaveRun)
	return x.mayRepeat(a.choice.ID, now)
}
