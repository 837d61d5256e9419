package entry

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/upstream"
)

const (
	// noUpstreamRetry is when to come back if no replica may take a request.
	noUpstreamRetry = time.Second
	// mostUnreached is how many engines that can't be reached are tried for one request beyond
	// what retries allow: each may take a connection's time.
	mostUnreached = 8
)

// Run is one completion from admission to its last token.
type Run struct {
	parts   *Dependencies
	call    *Call
	ctx     context.Context
	cancel  context.CancelFunc
	log     *slog.Logger
	imports *importGroup

	place     *route.AdmissionTicket
	claim     *control.Claim
	weights   string
	chain     prompt.Chain
	match     prompt.Match
	decision  route.Decision
	exclude   []string
	ticket    *route.InFlightRun
	stream    *upstream.Stream
	reached   bool // A byte of it may have reached an upstream.
	unreached int  // Tries by which no byte did,
	nobody    bool // and whether the last one was such.
	first     upstream.Event
	pending   bool // First has not been returned yet.
	cached    int
	source    string
	tokens    int
	resumedAt int // Tokens had at the last break.
	done      bool
	sent      time.Time // The attempt under way.
	life      time.Time // The engine's start, as its answer told it.
	watched   bool      // Another node has let it run, as engines have ended under its content.
}

// Source values say where a prompt's reused state came from.
const (
	SourceNone   = "recomputed"
	SourceHot    = "hot"
	SourceImport = "imported"
)

// start brings a run to its first token, or explains why not.
func (r *Run) start() *Failure {
	if f := r.admit(); f != nil {
		return f
	}
	if f := r.acquireClaim(); f != nil {
		return f
	}
	r.fixWeights()
	if f := r.connect(0); f != nil {
		r.voidClaim()
		return f
	}
	r.place.FirstToken(time.Now())
	r.parts.Metrics.FirstTokenMicro.Add(time.Since(r.call.Received).Microseconds())
	r.parts.Metrics.PromptTokens.Add(int64(r.chain.Tokens))
	r.parts.Metrics.CachedTokens.Add(int64(r.cached))
	return nil
}

// fixWeights sets the weight version for the rest of the run, and with it the
// prompt's identity.
func (r *Run) fixWeights() {
	state := r.parts.State.State()
	r.weights = r.parts.Fleet.ServedWeights(r.call.Model, state.Models[r.call.Model].Weights)
	r.chain = prompt.NewChain(r.call.scope(state, r.weights), r.call.Prompt)
	r.match = r.parts.Directory.Observe(r.ctx, r.chain)
}

// admit waits for the organisation's turn.
func (r *Run) admit() *Failure {
	limit := r.call.Received.Add(r.parts.Settings.Limits.QueueWait.Std())
	if d := r.call.Deadline; !d.IsZero() {
		// What is let in at the last moment still has its way to go.
		if d = d.Add(-r.parts.Admission.FirstTokenTime(r.call.Received)); d.Before(limit) {
			limit = d
		}
	}
	o := r.call.Organisation
	tenant := route.Tenant{
		Name:            o.Name,
		Share:           o.Share,
		Concurrency:     o.Concurrency,
		TokensPerSecond: o.TokensPerSecond,
	}
	cost := float64(prompt.TokenCount(r.call.Prompt) + r.call.MaxTokens)
	place, err := r.parts.Admission.Enqueue(tenant, cost, r.call.Priority, limit, time.Now())
	var refused *route.RefusedError
	if errors.As(err, &refused) {
		if refused.Reason == route.RefusedOverload && !r.call.Deadline.IsZero() {
			return refusal(CodeDeadline, refused.RetryAfter, "the deadline can't be kept: %v", refused)
		}
		return admissionRefusal(refused)
	}
	r.place = place
	timer := time.NewTimer(time.Until(limit))
	defer timer.Stop()
	select {
	case <-place.Ready():
		return nil
	case <-r.ctx.Done():
		return goneFailure()
	case <-timer.C:
	}
	if refused, inside := place.GiveUp(time.Now()); !inside {
		return admissionRefusal(refused)
	}
	return nil
}

func admissionRefusal(e *route.RefusedError) *Failure {
	return refusal(string(e.Reason), e.RetryAfter, "%v", e)
}

func goneFailure() *Failure {
	return &Failure{Status: statusCallerGone, Code: CodeGone, Ran: NotRun, Message: "the caller went away"}
}

// statusCallerGone is never seen by a caller; it is for logs.
const statusCallerGone = 499

// connect tries replicas until one gives its first event. Resumed runs start
// after the tokens that the caller has.
func (r *Run) connect(resumeAfter int) *Failure {
	var last *Failure
	for {
		if f := r.suspected(); f != nil {
			return f
		}
		f, again := r.attempt(resumeAfter)
		if f == nil {
			return nil
		}
		if last != nil && r.reached && f.Code == CodeNoUpstream {
			// What went wrong before says more than that nobody is left.
			return last
		}
		last = f
		if !again || r.ctx.Err() != nil || !r.mayRetry() {
			return f
		}
		r.parts.Metrics.Retries.Add(1)
	}
}

// mayRetry says whether another replica may be tried after a failure. A try that reached
// nobody takes no retry: it put load on no engine, and with some engines that have ended and
// are still listed it would spend the retries of the whole node.
func (r *Run) mayRetry() bool {
	if r.nobody && r.unreached <= mostUnreached {
		return true
	}
	return r.parts.Retries.Take()
}

// attempt places and starts the run once; again says whether another replica
// may be tried.
func (r *Run) attempt(resumeAfter int) (f *Failure, again bool) {
	now := time.Now()
	d, err := r.parts.Policy.Place(&route.Request{
		Model:    r.call.Model,
		Weights:  r.weights,
		DataHall: r.parts.Settings.Node.DataHall,
		Chain:    r.chain,
		Match:    r.match,
		Exclude:  r.exclude,
	}, now)
	if err != nil {
		return r.failure(refusal(CodeNoUpstream, noUpstreamRetry, "%v", err)), false
	}
	if f := r.missesDeadline(d, now); f != nil && resumeAfter == 0 {
		return r.failure(f), false
	}
	engine, ok := r.parts.Upstreams.Engine(d.Replica)
	if !ok {
		r.exclude = append(r.exclude, d.Replica)
		return r.failure(refusal(CodeNoUpstream, noUpstreamRetry, "engine %s is gone", d.Replica)), true
	}
	r.decision = d
	r.source = SourceNone
	if d.Cached > 0 {
		r.source = SourceHot
	}
	if d.Import != nil && r.fetch(engine, d) {
		r.source = SourceImport
	}
	r.parts.Directory.Placed(r.chain, d.Replica)
	return r.send(engine, d, resumeAfter)
}

// missesDeadline refuses at once what would come too late.
func (r *Run) missesDeadline(d route.Decision, now time.Time) *Failure {
	if r.call.Deadline.IsZero() {
		return nil
	}
	late := now.Add(d.FirstToken()).Sub(r.call.Deadline)
	if late <= 0 {
		return nil
	}
	return refusal(CodeDeadline, max(late, minLateRetry), "the first token would come %s too late", late.Round(time.Millisecond))
}

const minLateRetry = 50 * time.Millisecond

// send starts the run on an engine and waits for its first event.
func (r *Run) send(engine *upstream.Engine, d route.Decision, resumeAfter int) (f *Failure, again bool) {
	r.ticket = r.parts.Fleet.Begin(d.Replica, d.Recompute, time.Now())
	r.sent, r.life = boottime.Now(), time.Time{}
	stream, err := engine.Run(r.ctx, upstream.RunRequest{
		RequestID:   r.call.RequestID,
		Model:       r.call.Model,
		Weights:     r.weights,
		Adapter:     r.call.Adapter,
		Prompt:      r.call.Prompt,
		MaxTokens:   r.call.MaxTokens,
		Priority:    r.call.Priority,
		CacheSalt:   r.chain.Root,
		ResumeAfter: resumeAfter,
	})
	if err == nil {
		r.reached = true
		r.stream = stream
		if load, ok := stream.Load(); ok {
			r.parts.Loads.Report(d.Replica, load)
			r.life = time.UnixMilli(int64(load.Boot))
		}
		r.first, err = stream.Next()
	}
	if err == nil {
		r.pending = true
		r.ticket.FirstToken()
		if resumeAfter == 0 {
			r.noteReuse(r.first.CachedTokens)
		}
		return nil, false
	}
	return r.sendFailed(d.Replica, err)
}

// noteReuse takes over what the engine says it reused; what was expected of it
// may have been evicted meanwhile.
func (r *Run) noteReuse(cached int) {
	r.cached = cached
	if cached == 0 {
		r.source = SourceNone
	}
}

// sendFailed sorts out why a run did not start.
func (r *Run) sendFailed(replica string, err error) (f *Failure, again bool) {
	r.exclude = append(r.exclude, replica)
	r.nobody = false
	r.endAttempt(outcomeOf(err, r.ctx.Err() != nil))
	var notRun *upstream.NotRunError
	var crossed *upstream.MismatchError
	switch {
	case errors.As(err, &notRun):
		if r.nobody = notRun.Reason == upstream.ReasonUnreachable; r.nobody {
			r.unreached++
		}
		r.log.Info("upstream did not run the request", "upstream", replica, "reason", notRun.Reason)
		return r.failure(refusal(CodeNoUpstream, noUpstreamRetry, "%v", err)), true
	case errors.As(err, &crossed):
		r.parts.Metrics.Crossed.Add(1)
		r.log.Error("answer of another request discarded", "upstream", replica, "err", err)
	default:
		r.log.Warn("upstream failed", "upstream", replica, "err", err)
		r.noteLost(replica, err)
	}
	r.reached = true
	f = r.failure(&Failure{Status: statusBadGateway, Code: CodeUpstream, Message: err.Error()})
	return f, !r.call.Once
}

const statusBadGateway = 502

func outcomeOf(err error, gone bool) route.Outcome {
	var notRun *upstream.NotRunError
	switch {
	case gone:
		return route.OutcomeNeutral
	case errors.As(err, &notRun) && notRun.Reason != upstream.ReasonUnreachable:
		return route.OutcomeNeutral
	default:
		return route.OutcomeFailed
	}
}

// failure says what is certain of the run so far.
func (r *Run) failure(f *Failure) *Failure {
	switch {
	case !r.reached:
		f.Ran = NotRun
	case r.call.Once:
		f.Ran = OutcomeUnknown
	default:
		f.Ran = Failed
	}
	return f
}

// Next returns the next event of the answer; io.EOF follows the last one. A run
// that breaks off is resumed on another replica where that is allowed.
func (r *Run) Next() (upstream.Event, *Failure, error) {
	for {
		ev, err := r.first, error(nil)
		if !r.pending {
			ev, err = r.stream.Next()
		}
		r.pending = false
		if err == nil {
			if ev.Done {
				r.done = true
			} else {
				r.tokens++
			}
			return ev, nil, nil
		}
		if errors.Is(err, io.EOF) {
			return upstream.Event{}, nil, io.EOF
		}
		if f := r.resume(err); f != nil {
			return upstream.Event{}, f, nil
		}
	}
}

// resume goes on with a broken run elsewhere, or explains why it can't.
func (r *Run) resume(err error) *Failure {
	replica := r.decision.Replica
	had := r.stream.Tokens()
	if had > r.resumedAt {
		// It came further, so the others may be tried again.
		r.exclude = nil
	}
	r.resumedAt = had
	f, again := r.sendFailed(replica, err)
	f.Code = CodeCutOff
	if !again || r.ctx.Err() != nil || !r.mayRetry() {
		return f
	}
	if cut := r.connect(had); cut != nil {
		cut.Code = CodeCutOff
		return cut
	}
	r.parts.Metrics.Resumed.Add(1)
	r.log.Info("run resumed", "from", replica, "on", r.decision.Replica, "tokens", had)
	return nil
}

func (r *Run) endAttempt(o route.Outcome) {
	if r.stream != nil {
		r.stream.Close()
		r.stream = nil
	}
	if r.ticket != nil {
		r.ticket.End(o, time.Now())
		r.ticket = nil
	}
}

// Close ends the run, breaking it off upstream if it is not over.
func (r *Run) Close() {
	outcome := route.OutcomeNeutral
	if r.done {
		outcome = route.OutcomeOK
		r.parts.Retries.Success()
	}
	r.endAttempt(outcome)
	r.noteOver()
	if r.place != nil {
		r.place.Release(time.Now())
	}
	r.cancel()
}
