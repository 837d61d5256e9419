package gateway

import (
	"context"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/http1"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
)

// streamCloseTimeout is how long the stream of a run that its engine has stopped may stay
// open. The engine closes it before it copies the memory.
const streamCloseTimeout = 400 * time.Millisecond

// maxHandoffs is how many targets are tried for a run: one may have no room, as the loads of
// other nodes are known late.
const maxHandoffs = 3

// handoff is the move of a run's memory to another engine. The move call is made while the
// relay still reads the stream of the source.
//
//	state      entered on                     left on
//	moving     the move call                  its result
//	stopped    a result with a handle         the end of the source's stream
//	resuming   wait, by the exchange          a holder of the copy has begun, or all have failed
//
// A result without a handle leaves the run at its source.
type handoff struct {
	g         *Gateway
	pool      *route.Pool
	source    *attempt
	requestID string
	target    copyHolder
	startedAt time.Time
	done      chan struct{} // Closed once the result is known.

	mu        locks.Mutex
	result    site.MoveResult
	finished  bool
	discarded bool // The copy will not be used.
	closed    bool // The source's connection is no longer read.
}

// copyHolder is an engine that can go on with a run from a copy of its memory.
type copyHolder struct {
	choice   route.Choice
	inFlight *route.InFlightRequest
}

// considerHandoff starts to hand the run over if another engine should go on with it. It is
// called after events have been passed on.
func (x *exchange) considerHandoff(r *streamRelay, a *attempt, now time.Time) {
	e := x.service.Engine
	if e == nil || !e.Moves || a.via != nil || r.lastID == "" || x.out.failed || x.pickInput.Tokens == 0 {
		return
	}
	if x.handedOver || x.handoffs >= maxHandoffs || a.handoff != nil && !a.handoff.foundNoRoom() {
		return
	}
	// Without a framing of the body, a stream that its engine closed can't be told from one
	// that has ended.
	if a.body.Framing() == http1.FramingClose {
		return
	}
	if x.g.stopRequestedAt.Load() != nil || x.g.siteState.disabled.RunHandoff {
		return
	}
	remaining := x.expectedTokens() - r.passedOn*e.EventTokens
	if remaining <= e.EventTokens {
		return // At most one event is left.
	}
	x.g.nodes.refreshPeerLoads(now)
	source := a.choice
	if a.info.Weights > 0 {
		source.Weights = a.info.Weights
	}
	target, ok := x.pool.HandoffTarget(&route.HandoffInput{
		Pick:        x.currentInput(now),
		Source:      &source,
		EventTokens: e.EventTokens,
		Remaining:   remaining,
	}, now)
	if !ok {
		return
	}
	x.handoffs++
	h := &handoff{
		g:         x.g,
		pool:      x.pool,
		source:    a,
		requestID: x.info.ID,
		target:    copyHolder{choice: target, inFlight: x.pool.BeginResumed(target, now)},
		startedAt: now,
		done:      make(chan struct{}),
	}
	a.handoff = h
	x.g.metrics.handoffsStarted.Add(1)
	x.g.nodes.sendLoadsSoon()
	go h.move()
}

// expectedTokens is the expected number of tokens that the request generates.
func (x *exchange) expectedTokens() int {
	n := x.info.MaxTokens
	if hint := x.info.LengthHint; hint > 0 && (n == 0 || hint < n) {
		n = hint
	}
	return n
}

// move makes the move call. Its own timeout ends it, also if the client has left or the node
// stops: a copy that was made must then be dropped.
func (h *handoff) move() {
	defer close(h.done)
	source := &h.source.choice
	result, err := h.g.platform.Engines.MoveRun(context.Background(), source.Addr, site.MoveOrder{
		RequestID: h.requestID,
		Target:    h.target.choice.Addr,
		Last:      true,
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.result, h.finished = result, true
	if err != nil {
		h.g.log.Info("run not moved", "request", h.requestID, "replica", source.ID, "target", h.target.choice.ID,
			"stopped", result.Handle != "", "after", boottime.Since(h.startedAt), "err", err)
	}
	if result.NoRoom {
		h.pool.Avoid(h.target.choice.ID, boottime.Now().Add(fullPause))
	}
	if !result.Copied {
		h.target.inFlight.End(route.OutcomeNeutral, boottime.Now())
	}
	switch {
	case result.Handle == "":
	case h.discarded:
		go h.drop()
	case !h.closed:
		// If it fails, so does the next read.
		_ = h.source.conn.conn.SetReadDeadline(time.Now().Add(streamCloseTimeout))
	}
}

// foundNoRoom reports whether the target had no room and the run was not stopped, so that another
// target may be tried.
func (h *handoff) foundNoRoom() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.finished && h.result.NoRoom && h.result.Handle == ""
}

// outcomeUnknown reports whether the run may have been stopped and copied without this node
// knowing the handle.
func (h *handoff) outcomeUnknown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.finished || h.result.Unknown
}

// wait waits for the result after the source's stream has ended early; ok is false if the run
// can't go on from the copy.
func (h *handoff) wait(ctx context.Context) (result site.MoveResult, ok bool) {
	h.closeSource()
	select {
	case <-h.done:
	case <-ctx.Done():
		return result, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.result, h.result.Handle != ""
}

// closeSource records that the source's connection is no longer read, and reports whether its
// read deadline may have been set.
func (h *handoff) closeSource() (deadlineSet bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	return h.finished && h.result.Handle != ""
}

// discard drops the copy, if there is one, once the result is known. Further calls do nothing.
func (h *handoff) discard() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.discarded {
		return
	}
	h.discarded = true
	h.target.inFlight.End(route.OutcomeNeutral, boottime.Now())
	if h.finished && h.result.Handle != "" {
		go h.drop()
	}
}

// drop frees the copy at both ends, or at least at the target if the source can't be reached.
func (h *handoff) drop() {
	for _, c := range []*route.Choice{&h.source.choice, &h.target.choice} {
		err := h.g.platform.Engines.DropCopy(context.Background(), c.Addr, h.result.Handle)
		if err == nil {
			h.g.metrics.copiesDropped.Add(1)
			return
		}
		h.g.log.Info("copy not dropped", "request", h.requestID, "replica", c.ID, "err", err)
	}
}

// resumption is a run that goes on from a copy of its memory.
type resumption struct {
	copy      site.RunCopy
	origin    *attempt
	startedAt time.Time
	handoff   *handoff // Nil if the copy is a backup.
	// holders are the engines that may go on with the run, in the order in which to try them.
	holders []copyHolder
}

// release frees what the resumption holds if no engine went on with the run.
func (s *resumption) release(now time.Time) {
	if s.handoff != nil {
		s.handoff.discard()
	}
	for _, h := range s.holders {
		h.inFlight.End(route.OutcomeNeutral, now)
	}
	s.origin.end(route.OutcomeNeutral, now)
}

// releaseResumption gives up resuming the run.
func (x *exchange) releaseResumption() {
	if x.resumption != nil {
		x.resumption.release(boottime.Now())
		x.resumption = nil
	}
}

// takeHandoff prepares to resume a run whose stream at the source has ended early; ok is false
// if the run has not been stopped for a handoff, and the stream was lost.
func (x *exchange) takeHandoff(ctx context.Context, a *attempt) (ok bool) {
	h := a.handoff
	if h == nil {
		return false
	}
	if x.out.failed {
		h.closeSource() // The source is not to run on until the result is known.
		h.discard()
		return false
	}
	result, ok := h.wait(ctx)
	if !ok || ctx.Err() != nil {
		h.discard()
		x.handoffs = maxHandoffs // A repeat of the run is not to be lost in the same way.
		return false
	}
	x.resumption = &resumption{
		copy:      site.RunCopy{Addr: a.choice.Addr, Handle: result.Handle},
		origin:    a,
		startedAt: h.startedAt,
		handoff:   h,
	}
	if result.Copied {
		x.resumption.holders = append(x.resumption.holders, h.target)
	}
	source := copyHolder{choice: a.choice, inFlight: a.inFlight}
	source.choice.Weights = h.target.choice.Weights
	x.resumption.holders = append(x.resumption.holders, source)
	return true
}

// tryResumption sends the request to the next engine that can go on with the run from the copy
// of its memory. It counts as the same run, not as a repeat.
func (x *exchange) tryResumption(ctx context.Context) (again bool, f refusal) {
	s := x.resumption
	holder := s.holders[0]
	s.holders = s.holders[1:]
	now := boottime.Now()
	a := newResumedAttempt(x, s.origin, holder, now)
	if !x.pool.MayResume(&holder.choice, x.currentInput(now), now) {
		x.endSuspectRun(false)
		return x.afterFailedResumption(ctx, a, resultReplicaWithdrawn, nil, now)
	}
	defer func() {
		x.endSuspectRun(a.answered)
		a.releaseConn()
	}()
	result, err := a.sendRequest(ctx, x, x.resumedDispatch(&holder.choice, s.copy, now))
	now = boottime.Now()
	if result == resultAnswered || result == resultNotRun {
		x.g.recordResponseInfo(x.pool, &a.choice.Upstream, a.head.Status, &a.info, a.startedAt, now)
	}
	if result == resultAnswered && x.isRest(a) {
		x.resumption = nil
		if a.inFlight != s.origin.inFlight {
			s.origin.end(route.OutcomeOK, now)
			x.handedOver = x.handedOver || s.handoff != nil
		}
		x.g.metrics.runsResumed.Add(1)
		x.g.log.Info("run resumed", "request", x.info.ID, "route", x.route.Name, "from", s.origin.choice.ID, "replica", a.choice.ID,
			"backup", s.handoff == nil, "last_event", x.lastEvent(), "after_ms", now.Sub(s.startedAt).Milliseconds())
		return x.relayStream(ctx, a)
	}
	return x.afterFailedResumption(ctx, a, result, err, now)
}

// afterFailedResumption decides how to go on when an engine did not go on with a run.
func (x *exchange) afterFailedResumption(ctx context.Context, a *attempt, result attemptResult, err error, now time.Time) (again bool, f refusal) {
	s := x.resumption
	x.recordFailedResumption(ctx, a, result, err, now)
	switch {
	case ctx.Err() != nil || result == resultAbandoned:
		return false, x.deadlineRefusal()
	case len(s.holders) > 0:
		return true, refusal{}
	}
	x.releaseResumption()
	if s.handoff != nil {
		x.pickInput.Exclude = append(x.pickInput.Exclude, s.handoff.target.choice.ID)
	}
	return x.mayRepeat(s.origin.choice.ID, now)
}

// recordFailedResumption records why an engine did not go on with a run.
func (x *exchange) recordFailedResumption(ctx context.Context, a *attempt, result attemptResult, err error, now time.Time) {
	status := 0
	outcome := route.OutcomeNeutral
	switch result {
	case resultNotRun:
		status = a.head.Status
		x.recordRefusal(a, now)
	case resultAnswered:
		status = a.head.Status
	case resultUnsent:
		if !isNotForwarded(err) {
			outcome = x.g.forwarding.outcomeOfFailure()
			x.g.forwarding.reportFailure(x.pool, &a.choice.Upstream, err)
		}
	case resultUnknown:
		outcome = x.outcomeOfFailure(ctx, a)
		x.recordLostRun(ctx, a, err)
	}
	a.end(outcome, now)
	x.g.metrics.resumptionsFailed.Add(1)
	x.g.log.Info("run not resumed", "request", x.info.ID, "replica", a.choice.ID, "status", status, "left", len(x.resumption.holders), "err", err)
}

// newResumedAttempt returns an attempt that goes on with a run at another engine. Its pauses
// include that between the two engines.
func newResumedAttempt(x *exchange, origin *attempt, h copyHolder, now time.Time) *attempt {
	return &attempt{
		conns:        x.g.conns,
		connKey:      h.choice.ID,
		codec:        x.g.codec,
		choice:       h.choice,
		inFlight:     h.inFlight,
		plan:         &route.Plan{},
		startedAt:    now,
		lastBytesAt:  origin.lastBytesAt,
		longestPause: origin.longestPause,
		origin:       origin,
		writeDone:    make(chan struct{}),
	}
}

// resumedDispatch is the metadata of a request that goes on with a run. The engine prefills
// only what the copy lacks, so nothing is fetched or saved.
func (x *exchange) resumedDispatch(c *route.Choice, from site.RunCopy, now time.Time) *site.Dispatch {
	d := &site.Dispatch{
		Instance:   c.ID,
		TimeLeft:   x.deadline.Sub(now),
		Priority:   x.priority(),
		Weights:    c.Weights,
		LastEvent:  x.lastEvent(),
		ResumeFrom: from,
		Backup:     x.backupFor(c, now),
	}
	if x.organisation != nil {
		d.Organisation = x.organisation.Name
	}
	if c.Weights > 0 {
		d.Realm = x.realm(c.Weights).String()
	}
	return d
}

// lastEvent is the ID of the last event that was passed on, "" for none.
func (x *exchange) lastEvent() string {
	if x.stream == nil {
		return ""
	}
	return x.stream.lastID
}

// endHandoff ends a handoff whose run finished at the source. The connection is not used
// again if its read deadline may have been set.
func (a *attempt) endHandoff() {
	if a.handoff == nil {
		return
	}
	if a.handoff.closeSource() {
		a.closeConn()
	}
	a.handoff.discard()
}

// firstAttempt is the attempt that prefilled the prompt.
func (a *attempt) firstAttempt() *attempt {
	for a.origin != nil {
		a = a.origin
	}
	return a
}
