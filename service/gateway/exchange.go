package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/http1"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
)

// exchange is one request of a client and its way to an answer.
type exchange struct {
	g     *Gateway
	out   *clientWriter
	head  *http1.Head
	body  []byte
	terms site.RequestInfo
	came  time.Time
	limit time.Time // By when the final answer is given.
	// cancel ends the request because its client's connection has ended.
	cancel context.CancelCauseFunc

	route        *site.Route
	organisation *site.Organisation
	service      *site.Service
	pool         *route.Pool
	need         route.PickInput

	place *route.WaitingPrompt // In the queue, or let in.
	// lateFrom is from when on the answer can't come in good time if the prompt is
	// not sent yet, and sendBy by when it must be sent to be answered at all.
	lateFrom time.Time
	sendBy   time.Time
	ran      int // Attempts that may have run.
	refused  int // Attempts that were refused, or could not be sent.
	// held is a failure that a replica answered, kept while another is tried.
	held *wholeAnswer
	// stream is the answer's stream once it has begun.
	stream *relay

	hashed  bool
	content site.Fingerprint // Set once hashed is.
	watched bool             // The attempt under way was let run by the request's owner.
}

// wholeAnswer is a replica's answer that has been read to its end.
type wholeAnswer struct {
	head *http1.Head
	body []byte
}

// Causes of contexts whose connection has ended.
var (
	errClientLeft = errors.New("the client has gone")
	errStopped    = errors.New("the node has closed the connection at its stop")
)

const (
	// mostRefusals is how often a request that was not run is offered to
	// another replica.
	mostRefusals = 3
	// timeLeft is the least time for which another replica is worth trying.
	timeLeft = 20 * time.Millisecond
	// noReplicaRetry is when to come back when no replica is there.
	noReplicaRetry = 500 * time.Millisecond
	// fullRetry is when to come back when those that were asked were full.
	fullRetry = 150 * time.Millisecond
	// startRetry is when to come back to a node that has just started.
	startRetry = 300 * time.Millisecond
)

// serve answers the request.
func (x *exchange) serve(ctx context.Context) {
	if !x.g.awake() {
		x.refuse(comeBack(reasonSuspended, startRetry))
		return
	}
	if f, ok := x.admit(); !ok {
		x.refuse(f)
		return
	}
	if f, yes := x.blocked(); yes {
		x.refuse(f)
		return
	}
	x.g.retryBudget(x.service.Name).Request(x.came)
	ctx, cancel := context.WithTimeout(ctx, boottime.Until(x.limit))
	defer cancel()
	defer func() { x.leaveQueue(boottime.Now()) }()
	if f, ok := x.enqueue(ctx); !ok {
		x.conclude(ctx, f)
		return
	}
	for {
		if again, f := x.try(ctx); !again {
			x.conclude(ctx, f)
			return
		}
	}
}

// conclude ends a request that is not tried again: with f, if its status is set and
// there is somebody to tell and nothing better to say.
func (x *exchange) conclude(ctx context.Context, f refusal) {
	switch {
	case context.Cause(ctx) == errClientLeft:
		x.g.metrics.clientsLeft.Add(1)
		x.g.log.Info("client left", "request", x.terms.ID, "route", x.route.Name, "after", boottime.Since(x.came), "attempts", x.ran)
		x.out.fail()
	case context.Cause(ctx) == errStopped:
		x.g.log.Warn("cut by a stop", "request", x.terms.ID, "route", x.route.Name, "after", boottime.Since(x.came), "attempts", x.ran)
		x.out.fail()
	case f.status == 0:
	case x.stream != nil:
		x.g.log.Info("stream cut", "request", x.terms.ID, "route", x.route.Name, "reason", f.reason)
		x.out.fail()
	case x.held != nil:
		x.writeWhole(x.held)
	default:
		x.refuse(f)
	}
}

// over says whether there is nobody to send the request for any more. It looks at the
// connection itself: a client's close may have come, and the goroutine that waits for
// it not have run. It looks at the clock, too: of a machine that has been suspended
// nothing is sent on until the node has heard what holds now.
func (x *exchange) over(ctx context.Context) bool {
	x.g.look()
	if !x.g.awake() || boottime.Until(x.limit) < timeLeft {
		return true
	}
	if err := clientLeft(x.out.conn); err != nil {
		x.cancel(err)
	}
	return ctx.Err() != nil
}

// try makes one attempt. It says whether another is to be made; otherwise the
// request was answered, or f is what to answer if its status is set.
func (x *exchange) try(ctx context.Context) (again bool, f refusal) {
	if x.over(ctx) {
		return false, x.outOfTime()
	}
	if f, ok := x.cleared(ctx); !ok {
		return false, f
	}
	choice, ok := x.pickToSend(ctx)
	if !ok {
		x.sent(false)
		return false, x.noneLeft()
	}
	now := boottime.Now()
	dispatch, plan := x.dispatch(choice, now)
	a := newAttempt(x, choice, plan, now)
	a.realm = dispatch.Realm
	x.leaveQueue(now)
	if x.need.Tokens > 0 {
		x.g.nodes.sendLoadsSoon()
	}
	fate, err := a.begin(ctx, x, dispatch)
	defer func() {
		x.sent(a.answered)
		a.finish()
	}()
	now = boottime.Now()
	if fate == fateAnswered || fate == fateNotRun {
		x.learn(a, now)
	}
	switch fate {
	case fateAnswered:
		if x.need.Model != "" && a.answer.Weights > 0 {
			x.pool.RecordWeights(route.RefOf(&choice.Upstream), x.need.Model, a.answer.Weights)
		}
		return x.take(ctx, a)
	case fateNotRun:
		return x.notRun(a, now)
	case fateUnsent:
		return x.unsent(ctx, a, err, now)
	case fateOver, fateWithdrawn:
		a.end(route.OutcomeNeutral, now)
		a.plan.Cancel()
		return fate == fateWithdrawn, x.outOfTime()
	default:
		return x.unknown(ctx, a, err, now)
	}
}

// unsent goes on after a connection that could not be made.
func (x *exchange) unsent(ctx context.Context, a *attempt, err error, now time.Time) (bool, refusal) {
	a.end(route.OutcomeFailed, now)
	a.plan.Cancel()
	x.notReached(&a.choice.Upstream, err, now)
	x.g.log.Warn("replica not reached", "request", x.terms.ID, "replica", a.choice.ID, "addr", a.choice.Addr, "err", err)
	x.need.Exclude = append(x.need.Exclude, a.choice.ID)
	x.refused++
	if x.refused > mostRefusals || ctx.Err() != nil {
		return false, x.noneLeft()
	}
	return true, refusal{}
}

// doubtTerm is for how long nothing is fetched from an engine that was not reached.
const doubtTerm = 2 * time.Second

// lost notes that a replica can't be reached.
func (x *exchange) lost(u *site.Upstream, now time.Time) {
	if x.pool.RecordUnreachable(u.ID, now) {
		x.g.nodes.announceUnreachable(route.RefOf(u))
	}
	x.g.conns.lost(u.ID)
	x.g.cacheIndex.AvoidEngine(u.ID, now.Add(doubtTerm))
}

// notRun goes on after a replica that refused.
func (x *exchange) notRun(a *attempt, now time.Time) (bool, refusal) {
	a.end(route.OutcomeNeutral, now)
	a.plan.Cancel()
	x.learnRefusal(a, now)
	x.need.Exclude = append(x.need.Exclude, a.choice.ID)
	x.refused++
	x.g.metrics.refusedByReplicas.Add(1)
	x.g.log.Info("replica refused", "request", x.terms.ID, "replica", a.choice.ID, "status", a.head.Status,
		"weights", a.choice.Weights, "newest", x.need.NewestVersion, "limit", a.answer.Limit.String(),
		"draining", a.answer.Draining, "backoff", a.answer.Backoff, "not_run", x.refused)
	if x.refused > mostRefusals || !x.mayRetry(now) {
		return false, x.noneLeft()
	}
	return true, refusal{}
}

const (
	// fullTerm is for how long a replica that was full is passed over.
	fullTerm = 60 * time.Millisecond
	// otherTerm is for how long one is that is likely changing its weights.
	otherTerm = 400 * time.Millisecond
	// goneTerm is for how long one is at whose address another answers: its entry
	// in the list lasts up to three heartbeats, some seconds, after its end. At 0.4 s
	// the retry budget was spent on it, and 24 large prompts a day were refused or
	// failed where now 4 are (engines that crash and come back, four seeds).
	goneTerm = 4 * time.Second
)

// learnRefusal takes from a refusal what it says of the replica.
func (x *exchange) learnRefusal(a *attempt, now time.Time) {
	if a.head.Status != http.StatusMisdirectedRequest {
		term := fullTerm
		if x.need.NewestVersion > a.choice.Weights && a.choice.Weights > 0 {
			// It is likely changing its weights.
			term = otherTerm
		}
		x.pool.Avoid(a.choice.ID, now.Add(term))
		return
	}
	if x.need.NewestVersion > a.choice.Weights && a.choice.Weights > 0 {
		x.pool.RecordWeights(route.RefOf(&a.choice.Upstream), x.need.Model, x.need.NewestVersion)
		return
	}
	x.pool.Avoid(a.choice.ID, now.Add(goneTerm))
	x.g.cacheIndex.AvoidEngine(a.choice.ID, now.Add(goneTerm))
}

// unknown goes on after a connection that was lost while the request may have
// run: only a repeatable one may be sent again.
func (x *exchange) unknown(ctx context.Context, a *attempt, err error, now time.Time) (bool, refusal) {
	x.ran++
	x.lostRun(ctx, a, err, now)
	if ctx.Err() != nil {
		a.end(route.OutcomeNeutral, now)
		x.dropResting(a, now)
		return false, x.outOfTime()
	}
	a.end(route.OutcomeFailed, now)
	if lostPeer(err) {
		x.lost(&a.choice.Upstream, now)
	} else {
		x.pool.RecordDisconnect(a.choice.ID, now)
	}
	x.g.log.Warn("answer lost", "request", x.terms.ID, "content", x.fingerprint(), "replica", a.choice.ID, "attempts", x.ran, "err", err)
	return x.repeat(a.choice.ID, now)
}

// repeat says whether a request that may have run is sent again.
func (x *exchange) repeat(failed string, now time.Time) (bool, refusal) {
	x.need.Exclude = append(x.need.Exclude, failed)
	if !x.route.Repeatable() || x.ran >= x.route.MaxAttempts || !x.mayRetry(now) {
		return false, refuse(http.StatusBadGateway, reasonLost)
	}
	return true, refusal{}
}

// mayRetry says whether time and budget allow another attempt.
func (x *exchange) mayRetry(now time.Time) bool {
	if x.limit.Sub(now) < timeLeft {
		return false
	}
	return x.g.retryBudget(x.service.Name).Take(now)
}

// outOfTime is the answer at the limit: it depends on whether the request may
// have run.
func (x *exchange) outOfTime() refusal {
	if x.ran == 0 && !x.g.awake() {
		return comeBack(reasonSuspended, startRetry)
	}
	if x.ran == 0 {
		return comeBack(reasonDeadline, fullRetry)
	}
	return refuse(http.StatusGatewayTimeout, reasonDeadline)
}

// noneLeft is the answer when no replica takes the request.
func (x *exchange) noneLeft() refusal {
	if x.ran > 0 {
		return refuse(http.StatusBadGateway, reasonLost)
	}
	why := x.pool.Availability(&x.need, boottime.Now())
	if x.refused > 0 && why.Eligible+why.Excluded[route.ExcludedTried] > 0 {
		return comeBack(reasonReplicasFull, fullRetry)
	}
	return absent(why)
}

// absences are the reasons of which a refusal names the first that holds.
var absences = []struct {
	why    route.Exclusion
	reason string
}{
	{route.ExcludedCold, reasonCold},
	{route.ExcludedLimited, reasonLimited},
	{route.ExcludedBackoff, reasonBackoff},
	{route.ExcludedEvacuated, reasonEvacuated},
	{route.ExcludedOutside, reasonOutsideHomes},
	{route.ExcludedDraining, reasonDraining},
}

// absent is the answer when there is no replica that may be asked at all.
func absent(why route.Availability) refusal {
	retry := noReplicaRetry
	if why.RetryAfter > 0 {
		retry = why.RetryAfter
	}
	for _, a := range absences {
		if why.Excluded[a.why] > 0 {
			return comeBack(a.reason, retry)
		}
	}
	return comeBack(reasonNoReplica, retry)
}

// take delivers a replica's answer.
func (x *exchange) take(ctx context.Context, a *attempt) (bool, refusal) {
	x.ran++
	if x.route.Streaming && a.head.Status == http.StatusOK {
		return x.takeStream(ctx, a)
	}
	x.first(a, boottime.Now())
	body, err := a.readWhole()
	now := boottime.Now()
	if err != nil {
		a.end(x.outcomeOf(ctx), now)
		x.lostRun(ctx, a, err, now)
		if ctx.Err() != nil {
			return false, x.outOfTime()
		}
		x.g.log.Warn("answer cut short", "request", x.terms.ID, "content", x.fingerprint(), "replica", a.choice.ID, "err", err)
		return x.repeat(a.choice.ID, now)
	}
	a.answered = true
	x.finished(now)
	w := &wholeAnswer{head: a.head, body: body}
	if !failedStatus(a.head.Status) {
		a.end(route.OutcomeOK, now)
		x.writeWhole(w)
		x.logAnswer(a, now)
		return false, refusal{}
	}
	a.end(route.OutcomeFailed, now)
	x.g.log.Info("replica failed", "request", x.terms.ID, "route", x.route.Name, "replica", a.choice.ID,
		"status", a.head.Status, "draining", a.answer.Draining, "backoff", a.answer.Backoff, "attempts", x.ran, "after", now.Sub(x.came))
	x.held = w
	return x.repeat(a.choice.ID, now)
}

// first records that the first byte of the answer has come.
func (x *exchange) first(a *attempt, now time.Time) {
	if a.took == 0 && a.realm != "" {
		x.g.cacheIndex.RecordPrefill(a.choice.ID, a.realm, x.terms.Shared())
	}
	a.first(now)
	x.leaveQueue(now)
}

// outcomeOf blames the replica unless the request ended for another reason.
func (x *exchange) outcomeOf(ctx context.Context) route.Outcome {
	if ctx.Err() != nil {
		return route.OutcomeNeutral
	}
	return route.OutcomeFailed
}

func (x *exchange) writeWhole(w *wholeAnswer) {
	x.out.whole(w.head.Status, w.head.EndToEnd(), w.body)
}

func (x *exchange) refuse(f refusal) {
	x.g.metrics.countRefusal(f.reason)
	x.logRefusal(f, boottime.Now())
	x.out.raw(f.message(x.g.codec, x.terms.ID, x.out.settle()))
}
