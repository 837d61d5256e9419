package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/http1"
	"github.com/drumpath/drumpath/pkg/route"
)

const (
	// withdrawInterval is how often prompts are looked for whose engines' weights are about to
	// be too old to begin them.
	withdrawInterval = 100 * time.Millisecond
	// withdrawReserve is how long before that a prompt is withdrawn: for the interval, for the
	// time until the engine notices, and as nodes learn of new weights a little late.
	withdrawReserve = 300 * time.Millisecond
)

// errWeightsReplaced ends attempts whose engine has not begun the prompt in the time for which
// its weights may be used.
var errWeightsReplaced = errors.New("the engine did not begin before its weights were too old")

// withdrawWaitingPrompts ends the attempts whose prompts still wait at engines with weights that
// are about to be too old. That an engine was expected to begin in time when it was chosen does
// not mean that it does.
func (g *Gateway) withdrawWaitingPrompts(now time.Time) {
	usableSince := now.Add(withdrawReserve - g.conf().Orders.MaxRolloutTime.Std())
	for _, conns := range []*upstreamConns{g.conns, g.forwarding.conns} {
		for _, p := range conns.waitingPrompts() {
			oldest := g.siteState.WeightHistory(p.flight.model).Before(usableSince)
			if p.flight.weights < oldest && !g.hasWeights(p.replica, p.flight.model, oldest) {
				conns.withdraw(p)
			}
		}
	}
}

// hasWeights reports whether a replica is known to have a version of a model's weights by now, or
// a newer one: it begins what waits there with these.
func (g *Gateway) hasWeights(replica, model string, version int64) bool {
	for _, p := range g.siteState.Pools() {
		if u, ok := p.Upstream(replica); ok {
			return u.Weights[model] >= version
		}
	}
	return false
}

// weightsReplacedFor returns for how long the weights of the attempt's replica had been replaced when the request was
// sent, 0 if they were the newest.
func (a *attempt) weightsReplacedFor(h route.WeightHistory) time.Duration {
	replaced := h.ReplacedAt(a.choice.Weights)
	if replaced.IsZero() {
		return 0
	}
	return max(0, a.startedAt.Sub(replaced))
}

// waitingPrompt is a prompt that its engine may not have begun yet.
type waitingPrompt struct {
	replica string
	conn    *upstreamConn
	flight  *flight
}

// waitingPrompts returns the prompts in flight that their engines may not have begun yet.
func (u *upstreamConns) waitingPrompts() (list []waitingPrompt) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.busy {
		for conn := range c.flights {
			if conn.flight.waiting() {
				list = append(list, waitingPrompt{replica: conn.flight.replica, conn: conn, flight: conn.flight})
			}
		}
	}
	return list
}

// withdraw ends the attempt of a prompt that still waits.
func (u *upstreamConns) withdraw(p waitingPrompt) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if p.conn.flight == p.flight && p.flight.waiting() { // It does not carry another request yet.
		p.conn.abortCause.Store(&errWeightsReplaced)
		http1.Abort(p.conn.conn)
	}
}

// handleWithdrawn decides how to go on when a prompt was withdrawn from its engine, which may
// have begun it meanwhile.
func (x *exchange) handleWithdrawn(a *attempt, now time.Time) (bool, refusal) {
	a.end(route.OutcomeNeutral, now)
	x.g.metrics.promptsWithdrawn.Add(1)
	x.refreshWeights(&x.pickInput, now)
	x.g.log.Info("prompt withdrawn", "request", x.info.ID, "route", x.route.Name, "replica", a.choice.ID,
		"weights", a.choice.Weights, "newest", x.pickInput.NewestVersion, "expected", a.choice.Expected, "waited", boottime.Since(a.startedAt), "attempts", x.mayHaveRun)
	again, f := x.mayRepeat(a.choice.ID, now)
	if !again {
		f = refuse(http.StatusBadGateway, reasonWeightsReplaced)
	}
	return again, f
}
