package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/site"
)

const (
	// finalAnswerTime is how long the requests that are left at the end of the grace period have to be answered. It is a part
	// of shutdownReserve.
	finalAnswerTime = 300 * time.Millisecond
	// stopRetryAfter is the Retry-After of a node that stops: another one can serve the request at once.
	stopRetryAfter = 10 * time.Millisecond
	// unknownAnswerTargets is how many times the route's target a request is expected to take if none of its route has been
	// answered yet.
	unknownAnswerTargets = 4
)

// errGraceOver ends the requests that are left at the end of the grace period.
var errGraceOver = errors.New("the grace period of the stop is over")

// graceEnd returns when requests must have been answered if the node is stopping.
func (g *Gateway) graceEnd() (end time.Time, stopping bool) {
	requestedAt := g.stopRequestedAt.Load()
	if requestedAt == nil {
		return end, false
	}
	return requestedAt.Add(g.conf().Stop.Grace.Std() - shutdownReserve), true
}

// endsInGrace reports whether a request that is sent now can be expected to be answered before the node has to end. One that
// can't is not sent, as another node can serve it.
func (x *exchange) endsInGrace() bool {
	end, stopping := x.g.graceEnd()
	if !stopping || x.stream != nil {
		return true
	}
	left := time.Until(end)
	return boottime.Until(x.deadline) <= left || x.g.answerTimes.expected(x.route) <= left
}

// stopRefusal is the answer of a node that stops.
func (x *exchange) stopRefusal() refusal {
	if x.mayHaveRun > 0 {
		return refuse(http.StatusGatewayTimeout, reasonStopping)
	}
	return retryLater(reasonStopping, stopRetryAfter)
}

// answerTimes has how long replicas lately took at most for whole answers, by route.
type answerTimes struct {
	mu      locks.Mutex
	byRoute map[string]*longestTime
}

// longestTime is the longest of the last answers: of up to twice longestOf.
type longestTime struct {
	current, previous time.Duration
	count             int // Of current.
}

const longestOf = 32

func newAnswerTimes() *answerTimes { return &answerTimes{byRoute: map[string]*longestTime{}} }

// record takes in how long an answer took from when its request was sent.
func (t *answerTimes) record(route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.byRoute[route]
	if l == nil {
		l = &longestTime{}
		t.byRoute[route] = l
	}
	if l.count == longestOf {
		l.previous, l.current, l.count = l.current, 0, 0
	}
	l.current = max(l.current, took)
	l.count++
}

// expected returns how long an answer must be expected to take.
func (t *answerTimes) expected(r *site.Route) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.byRoute[r.Name]; l != nil {
		return max(l.current, l.previous)
	}
	return unknownAnswerTargets * r.LatencyTarget
}
