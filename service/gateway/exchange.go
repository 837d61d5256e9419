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
	"github.com/drumpath/drumpath/service/origins"
)

// exchange is one client request, from its arrival until it is answered.
type exchange struct {
	g          *Gateway
	out        *clientWriter
	head       *http1.Head
	body       []byte
	info       site.RequestInfo
	receivedAt time.Time
	deadline   time.Time // Of the final answer.
	// cancel ends the request when its client's connection has closed.
	cancel context.CancelCauseFunc

	snapshot     *site.Snapshot // The configuration by which it is served.
	route        *site.Route
	organisation *site.Organisation
	service      *site.Service
	pool         *route.Pool
	pickInput    route.PickInput

	waiting *route.WaitingPrompt // Its place in the prompt queue, also once admitted.
	limits  route.StartLimits
	// expectedWait is the wait for which the queue refused the prompt.
	expectedWait time.Duration
	mayHaveRun   int // Number of attempts that may have run.
	notRunCount  int // Number of attempts that were refused or could not be sent.
	unreached    int // Of those, the attempts for which no connection could be made.
	// connecting is the time spent on connections that could not be made.
	connecting time.Duration
	// slowConnects counts those that timed out. After one, the request goes through another node
	// if it can't use a connection on which the replica was just heard.
	slowConnects int
	// forwardersTried are the nodes that did not forward the request.
	forwardersTried []string
	// failedAnswer is a replica's error answer, kept while another replica is tried.
	failedAnswer *wholeAnswer
	// retried is set if the client has probably sent the request before.
	retried bool
	// stream is set once bytes of a streamed answer have been sent to the client.
	stream *streamRelay
	// resumption is set while the run is to go on from a copy of its memory.
	resumption *resumption
	handoffs   int        // Move calls.
	handedOver bool       // Another engine went on with the run.
	backup     *runBackup // Nil if the run has none.
	// begun is where the stream began that the client takes up, nil if it takes up none.
	begun *origins.Answer

	fingerprinted bool
	content       site.Fingerprint // Valid if fingerprinted is set.
	// suspectRun is the cause for which the current attempt holds a grant, nil for none.
	suspectRun *site.Fingerprint
}

// Cancellation causes of requests whose client connection has closed.
var (
	errClientLeft  = errors.New("the client closed the connection")
	errNodeStopped = errors.New("the node closed the connection because it stopped")
)

const (
	// maxRefusals is how many replicas may refuse a request before it is given up.
	maxRefusals = 3
	// minTimeLeft is the least time to the deadline for which another replica is tried.
	minTimeLeft = 20 * time.Millisecond
	// noReplicaRetryAfter is the Retry-After when there is no replica.
	noReplicaRetryAfter = 500 * time.Millisecond
	// fullRetryAfter is the Retry-After when the replicas that were asked were full.
	fullRetryAfter = 150 * time.Millisecond
	// startRetryAfter is the Retry-After of a node that has just started or resumed.
	startRetryAfter = 300 * time.Millisecond
)

// serve answers the request.
func (x *exchange) serve(ctx context.Context) {
	if !x.g.synced() {
		x.refuse(retryLater(reasonSuspended, startRetryAfter))
		return
	}
	if f, ok := x.admit(); !ok {
		x.refuse(f)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, boottime.Until(x.deadline))
	defer cancel()
	if f, ok := x.findOrigin(ctx); !ok {
		x.endRequest(ctx, f)
		return
	}
	if f, ok := x.findPool(); !ok {
		x.refuse(f)
		return
	}
	if f, blocked := x.refusalIfBlocked(); blocked {
		x.refuse(f)
		return
	}
	x.g.retryBudget(x.service.Name).AddRequest(x.receivedAt)
	defer func() { x.leaveQueue(boottime.Now()) }()
	defer x.dropFailedAnswer()
	defer func() {
		x.releaseResumption()
		x.releaseBackup(x.out.ended)
	}()
	if f, ok := x.enqueue(ctx); !ok {
		x.endRequest(ctx, f)
		return
	}
	for {
		if again, f := x.try(ctx); !again {
			x.endRequest(ctx, f)
			return
		}
	}
}

// endRequest ends a request that is not tried again. It answers with f if f has a
// status, the client is still connected, no stream has begun and no replica's error
// answer is kept.
func (x *exchange) endRequest(ctx context.Context, f refusal) {
	if context.Cause(ctx) == errGraceOver && f.status != 0 {
		f = x.stopRefusal()
	}
	switch {
	case context.Cause(ctx) == errClientLeft:
		x.g.metrics.clientsLeft.Add(1)
		x.g.log.Info("client left", "request", x.info.ID, "route", x.route.Name, "after", boottime.Since(x.receivedAt), "attempts", x.mayHaveRun)
		x.out.abort()
	case context.Cause(ctx) == errNodeStopped:
		if x.stream != nil {
			x.g.metrics.impact.countAbortedStream("stop")
		}
		x.g.log.Warn("cut by a stop", "request", x.info.ID, "route", x.route.Name, "after", boottime.Since(x.receivedAt), "attempts", x.mayHaveRun)
		x.out.abort()
	case f.status == 0:
	case x.stream != nil:
		x.g.metrics.impact.countAbortedStream(f.reason)
		x.g.log.Info("stream cut", "request", x.info.ID, "route", x.route.Name, "reason", f.reason)
		x.out.abort()
	case x.failedAnswer != nil:
		x.writeWhole(x.failedAnswer)
	default:
		x.refuse(f)
	}
}

// abandoned reports whether the request must not be sent any more because no client waits
// for its answer. It checks the connection itself, as the client may have closed it
// before the goroutine that waits for that has run. It also checks the clock: a node
// whose machine was suspended forwards nothing until it has synced again.
func (x *exchange) abandoned(ctx context.Context) bool {
	x.g.checkSuspension()
	if !x.g.synced() || boottime.Until(x.deadline) < minTimeLeft {
		return true
	}
	if err := connClosed(x.out.conn); err != nil {
		x.cancel(err)
	}
	return ctx.Err() != nil
}

// try makes one attempt. It reports whether to make another; if not, the request has
// been answered, or f is the answer if its status is set.
func (x *exchange) try(ctx context.Context) (again bool, f refusal) {
	if x.abandoned(ctx) {
		return false, x.deadlineRefusal()
	}
	if !x.endsInGrace() {
		return false, x.stopRefusal()
	}
	if f, ok := x.awaitClearance(ctx); !ok {
		return false, f
	}
	if x.resumption != nil {
		return x.tryResumption(ctx)
	}
	choice, ok := x.pickToSend(ctx)
	if !ok {
		x.endSuspectRun(false)
		return false, x.noReplicaRefusal()
	}
	now := boottime.Now()
	dispatch, plan := x.dispatch(choice, now)
	a := newAttempt(x, choice, plan, now)
	x.g.metrics.countSent(choice.HallExit)
	a.realm = dispatch.Realm
	x.beginCanary(a)
	x.leaveQueue(now)
	if x.pickInput.Tokens > 0 {
		x.g.nodes.sendLoadsSoon()
	}
	result, err := a.sendRequest(ctx, x, dispatch)
	defer func() {
		x.endSuspectRun(a.answered)
		a.releaseConn()
		a.endCanary()
	}()
	now = boottime.Now()
	if result == resultAnswered || result == resultNotRun {
		x.g.recordResponseInfo(x.pool, &a.choice.Upstream, a.head.Status, &a.info, a.startedAt, now)
	}
	switch result {
	case resultAnswered:
		if x.pickInput.Model != "" && a.info.Weights > 0 {
			x.pool.RecordWeights(route.RefOf(&choice.Upstream), x.pickInput.Model, a.info.Weights)
		}
		return x.deliver(ctx, a)
	case resultNotRun:
		return x.handleNotRun(a, now)
	case resultUnsent:
		return x.handleUnsent(ctx, a, err, now)
	case resultAbandoned, resultReplicaWithdrawn:
		a.end(route.OutcomeNeutral, now)
		a.plan.Cancel()
		return result == resultReplicaWithdrawn, x.deadlineRefusal()
	default:
		return x.handleUnknown(ctx, a, err, now)
	}
}

// handleUnsent decides how to go on when no connection to the replica could be made.
func (x *exchange) handleUnsent(ctx context.Context, a *attempt, err error, now time.Time) (bool, refusal) {
	if isNotForwarded(err) {
		return x.handleNotForwarded(ctx, a, err, now)
	}
	a.end(x.g.forwarding.outcomeOfFailure(), now)
	a.plan.Cancel()
	x.g.forwarding.reportFailure(x.pool, &a.choice.Upstream, err)
	if timedOut(err) {
		x.slowConnects++
	}
	x.g.log.Warn("replica not reached", "request", x.info.ID, "replica", a.choice.ID, "addr", a.choice.Addr, "after", now.Sub(a.startedAt), "err", err)
	x.pickInput.Exclude = append(x.pickInput.Exclude, a.choice.ID)
	x.notRunCount++
	x.unreached++
	x.connecting += now.Sub(a.startedAt)
	x.g.metrics.notConnected.record(now.Sub(a.startedAt))
	if x.notRunCount > maxRefusals || ctx.Err() != nil {
		return false, x.noReplicaRefusal()
	}
	return true, refusal{}
}

// unreachableFetchPause is how long nothing is fetched from an engine that could not be
// reached.
const unreachableFetchPause = 2 * time.Second

// recordUnreachable records that a replica can't be reached.
func (g *Gateway) recordUnreachable(p *route.Pool, u *site.Upstream, now time.Time) {
	if p.RecordUnreachable(u.ID, now) {
		g.nodes.announceUnreachable(route.RefOf(u))
	}
	g.conns.distrust(u)
	g.cacheIndex.AvoidEngine(u.ID, now.Add(unreachableFetchPause))
	g.reach.suspect(u, route.CheckAfterError)
}

// handleNotRun decides how to go on when the replica refused the request.
func (x *exchange) handleNotRun(a *attempt, now time.Time) (bool, refusal) {
	a.end(route.OutcomeNeutral, now)
	a.plan.Cancel()
	x.recordRefusal(a, now)
	x.pickInput.Exclude = append(x.pickInput.Exclude, a.choice.ID)
	x.notRunCount++
	x.g.metrics.refusedByReplicas.Add(1)
	x.g.log.Info("replica refused", "request", x.info.ID, "replica", a.choice.ID, "status", a.head.Status,
		"weights", a.choice.Weights, "newest", x.pickInput.NewestVersion, "limit", a.info.Limit.String(),
		"draining", a.info.Draining, "backoff", a.info.Backoff, "not_run", x.notRunCount)
	if x.notRunCount > maxRefusals || !x.mayRetry(now) {
		return false, x.noReplicaRefusal()
	}
	return true, refusal{}
}

const (
	// fullPause is how long a replica that was full is avoided.
	fullPause = 60 * time.Millisecond
	// weightsSwapPause is how long a replica that is probably swapping its weights is
	// avoided.
	weightsSwapPause = 400 * time.Millisecond
	// reusedAddressPause is how long a replica is avoided after another one has answered
	// at its address: its row in the list lasts up to three heartbeats, some seconds, after its
	// end. At 0.4 s the retry budget was spent on it, and 24 large prompts a day were
	// refused or failed; at 4 s it was 4 (engines that crash and restart, four seeds).
	reusedAddressPause = 4 * time.Second
)

// recordRefusal avoids a replica that refused for a time that depends on the reason.
func (x *exchange) recordRefusal(a *attempt, now time.Time) {
	if a.head.Status != http.StatusMisdirectedRequest {
		pause := fullPause
		if x.pickInput.NewestVersion > a.choice.Weights && a.choice.Weights > 0 {
			// It is probably swapping its weights.
			pause = weightsSwapPause
		}
		x.pool.Avoid(a.choice.ID, now.Add(pause))
		return
	}
	if x.pickInput.NewestVersion > a.choice.Weights && a.choice.Weights > 0 {
		x.pool.RecordWeights(route.RefOf(&a.choice.Upstream), x.pickInput.Model, x.pickInput.NewestVersion)
		return
	}
	x.pool.Avoid(a.choice.ID, now.Add(reusedAddressPause))
	x.g.cacheIndex.AvoidEngine(a.choice.ID, now.Add(reusedAddressPause))
}

// handleUnknown decides how to go on when the connection was lost while the request may
// have run. Only a repeatable request may be sent again.
func (x *exchange) handleUnknown(ctx context.Context, a *attempt, err error, now time.Time) (bool, refusal) {
	x.mayHaveRun++
	if errors.Is(err, errWeightsReplaced) {
		return x.handleWithdrawn(a, now)
	}
	x.recordLostRun(ctx, a, err)
	x.recordCanary(ctx, a, true)
	if ctx.Err() != nil {
		a.end(route.OutcomeNeutral, now)
		x.closeIdleAfterSilence(a, now)
		return false, x.deadlineRefusal()
	}
	switch {
	case a.via != nil: // The other node knows whether the replica is at fault.
		a.end(route.OutcomeNeutral, now)
		x.g.forwarding.paths.PauseForwarder(a.via.name, now)
		x.forwardersTried = append(x.forwardersTried, a.via.name)
	case errors.Is(err, errReplicaGone): // The check has recorded it.
		a.end(route.OutcomeFailed, now)
	case errors.Is(err, errPathLost):
		a.end(route.OutcomeNeutral, now)
	case isUnreachable(err):
		a.end(x.g.forwarding.outcomeOfFailure(), now)
		x.g.forwarding.reportFailure(x.pool, &a.choice.Upstream, err)
	default:
		a.end(route.OutcomeFailed, now)
		x.pool.RecordDisconnect(a.choice.ID, now)
	}
	x.g.log.Warn("answer lost", "request", x.info.ID, "content", x.fingerprint(), "replica", a.choice.ID, "via", a.viaName(), "attempts", x.mayHaveRun, "err", err)
	if x.takeBackup(ctx, a) {
		return true, refusal{}
	}
	return x.mayRepeat(a.choice.ID, now)
}

// mayRepeat reports whether a request that may have run is sent again, and if not, what
// to answer.
func (x *exchange) mayRepeat(failed string, now time.Time) (bool, refusal) {
	x.pickInput.Exclude = append(x.pickInput.Exclude, failed)
	if !x.route.Repeatable() || x.mayHaveRun >= x.route.MaxAttempts || !x.mayRetry(now) {
		return false, refuse(http.StatusBadGateway, reasonAnswerLost)
	}
	return true, refusal{}
}

// mayRetry reports whether the deadline and the retry budget allow another attempt.
func (x *exchange) mayRetry(now time.Time) bool {
	if x.deadline.Sub(now) < minTimeLeft {
		return false
	}
	return x.g.retryBudget(x.service.Name).takeLogged(now)
}

// deadlineRefusal is the answer at the deadline. It says whether the request may have
// run.
func (x *exchange) deadlineRefusal() refusal {
	if x.mayHaveRun == 0 && !x.g.synced() {
		return retryLater(reasonSuspended, startRetryAfter)
	}
	if x.mayHaveRun == 0 {
		return retryLater(reasonDeadline, fullRetryAfter)
	}
	return refuse(http.StatusGatewayTimeout, reasonDeadline)
}

// noReplicaRefusal is the answer when no replica accepts the request.
func (x *exchange) noReplicaRefusal() refusal {
	if x.mayHaveRun > 0 {
		return refuse(http.StatusBadGateway, reasonAnswerLost)
	}
	if len(x.pickInput.UnlistedSoftware) > 0 {
		return retryLater(reasonSoftwareUnlisted, startRetryAfter)
	}
	availability := x.pool.Availability(&x.pickInput, boottime.Now())
	if x.notRunCount > 0 && availability.Eligible+availability.Excluded[route.ExcludedTried] > 0 {
		if x.unreached == x.notRunCount {
			return retryLater(reasonUnreachable, fullRetryAfter)
		}
		return retryLater(reasonReplicasFull, fullRetryAfter)
	}
	return unavailableRefusal(availability)
}

// unavailableReasons are checked in order; a refusal names the first that holds for some
// replica.
var unavailableReasons = []struct {
	exclusion route.Exclusion
	reason    string
}{
	{route.ExcludedBytes, reasonRequestBytes},
	{route.ExcludedBrittle, reasonBrittle},
	{route.ExcludedCold, reasonCold},
	{route.ExcludedLimited, reasonLimited},
	{route.ExcludedBackoff, reasonBackoff},
	{route.ExcludedEvacuated, reasonEvacuated},
	{route.ExcludedOutside, reasonOutsideHomes},
	{route.ExcludedDraining, reasonDraining},
}

// unavailableRefusal is the answer when every replica is excluded.
func unavailableRefusal(availability route.Availability) refusal {
	retry := noReplicaRetryAfter
	if availability.RetryAfter > 0 {
		retry = availability.RetryAfter
	}
	for _, a := range unavailableReasons {
		if availability.Excluded[a.exclusion] > 0 {
			return retryLater(a.reason, retry)
		}
	}
	return retryLater(reasonNoReplica, retry)
}

// deliver passes a replica's answer on to the client.
func (x *exchange) deliver(ctx context.Context, a *attempt) (bool, refusal) {
	x.mayHaveRun++
	switch {
	case x.stream != nil && !x.isRest(a):
		return x.handleNoRest(ctx, a)
	case x.route.Streaming && a.mayHoldEvents():
		return x.relayStream(ctx, a)
	}
	headAt := boottime.Now()
	w, err := x.readWhole(ctx, a)
	now := boottime.Now()
	if err != nil && ctx.Err() == nil && w.cutOffUnread(err) {
		return x.handleCutOffUnread(a, w, err, now)
	}
	if err != nil {
		a.end(x.outcomeOfFailure(ctx, a), now)
		x.recordLostRun(ctx, a, err)
		x.recordCanary(ctx, a, true)
		if ctx.Err() != nil {
			return false, x.deadlineRefusal()
		}
		x.g.log.Warn("answer cut short", "request", x.info.ID, "content", x.fingerprint(), "replica", a.choice.ID, "err", err)
		return x.mayRepeat(a.choice.ID, now)
	}
	a.answered = true
	x.recordFirstByte(a, headAt)
	x.recordFinish(a, now)
	x.recordCanary(ctx, a, isServerError(a.head.Status))
	if !isServerError(a.head.Status) {
		a.end(route.OutcomeOK, now)
		x.writeWhole(w)
		x.logAnswer(a, now)
		return false, refusal{}
	}
	a.end(route.OutcomeFailed, now)
	x.g.log.Info("replica failed", "request", x.info.ID, "route", x.route.Name, "replica", a.choice.ID,
		"status", a.head.Status, "draining", a.info.Draining, "backoff", a.info.Backoff, "attempts", x.mayHaveRun, "after", now.Sub(x.receivedAt))
	x.failedAnswer = w
	return x.mayRepeat(a.choice.ID, now)
}

// recordFirstByte records that the first byte of the answer's body has arrived.
func (x *exchange) recordFirstByte(a *attempt, now time.Time) {
	if a.firstByteAfter == 0 && a.realm != "" {
		x.g.cacheIndex.RecordPrefill(a.choice.ID, a.realm, x.info.Shared())
	}
	a.recordFirstByte(now)
	x.leaveQueue(now)
}

// outcomeOfFailure counts a failure against the replica unless the request had ended, or the node
// that forwarded it may be at fault.
func (x *exchange) outcomeOfFailure(ctx context.Context, a *attempt) route.Outcome {
	if ctx.Err() != nil || a.via != nil {
		return route.OutcomeNeutral
	}
	return route.OutcomeFailed
}

func (x *exchange) refuse(f refusal) {
	f = x.checkGuarantee(f)
	x.g.metrics.countRefusal(f.reason)
	now := boottime.Now()
	impact := x.refusalImpact(now)
	x.g.metrics.impact.countRefusal(f, impact)
	x.logRefusal(f, impact, now)
	x.out.writeMessage(f.encode(x.g.codec, x.info.ID, x.out.fixClose()))
}
