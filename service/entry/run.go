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
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/pkg/upstream"
)

const (
	// noUpstreamRetryAfter is the Retry-After if no replica can take a request.
	noUpstreamRetryAfter = time.Second
	// maxUnreachable is how many unreachable engines one request may try without spending the
	// retry budget. It is bounded as each try may last as long as a connection attempt.
	maxUnreachable = 8
)

// Run is one completion from admission to its last token.
type Run struct {
	deps    *Dependencies
	call    *Call
	ctx     context.Context
	cancel  context.CancelFunc
	log     *slog.Logger
	imports *importGroup

	admission        *route.AdmissionTicket
	claim            *control.Claim
	weights          string
	chain            prompt.Chain
	match            prompt.Match
	decision         route.Decision
	excluded         []string
	inFlight         *route.InFlightRun
	stream           *upstream.Stream
	reached          bool // A byte of the request may have reached an upstream.
	unreachableCount int  // Tries whose engine could not be reached.
	lastUnreachable  bool // The last try was one of them.
	firstEvent       upstream.Event
	firstPending     bool // Next has not returned firstEvent yet.
	cachedTokens     int
	source           string
	completionTokens int
	tokensAtBreak    int // Tokens received when the stream last broke off.
	done             bool
	sentAt           time.Time         // Start of the current attempt.
	engineStarted    time.Time         // As reported with the answer; zero if unknown.
	grant            *site.Fingerprint // The cause for which Suspects.StartRun has permitted this run, nil for none.
}

// Sources of a prompt's reused KV cache, as reported in the usage. SourceHot means that the
// engine still had it.
const (
	SourceNone   = "recomputed"
	SourceHot    = "hot"
	SourceImport = "imported"
)

// start runs the request up to its first token, or returns why it can't.
func (r *Run) start() *Failure {
	if f := r.admit(); f != nil {
		return f
	}
	if f := r.acquireClaim(); f != nil {
		return f
	}
	r.selectWeights()
	if f := r.connect(0); f != nil {
		r.voidClaim()
		return f
	}
	r.admission.FirstToken(time.Now())
	r.deps.Metrics.FirstTokenMicro.Add(time.Since(r.call.Received).Microseconds())
	r.deps.Metrics.PromptTokens.Add(int64(r.chain.Tokens))
	r.deps.Metrics.CachedTokens.Add(int64(r.cachedTokens))
	return nil
}

// selectWeights fixes the weight version for the rest of the run. It is part of the
// prompt's cache keys, so the directory of KV caches is queried here too.
func (r *Run) selectWeights() {
	state := r.deps.State.State()
	r.weights = r.deps.Fleet.ServedWeights(r.call.Model, state.Models[r.call.Model].Weights)
	r.chain = prompt.NewChain(r.call.scope(state, r.weights), r.call.Prompt)
	r.match = r.deps.Directory.Observe(r.ctx, r.chain)
}

// admit waits until the request is admitted under its organisation's share.
func (r *Run) admit() *Failure {
	limit := r.call.Received.Add(r.deps.Settings.Limits.QueueWait.Std())
	if d := r.call.Deadline; !d.IsZero() {
		// An admitted request still needs the time to its first token.
		if d = d.Add(-r.deps.Admission.FirstTokenTime(r.call.Received)); d.Before(limit) {
			limit = d
		}
	}
	organisation := r.call.Organisation
	tenant := route.Organisation{
		Name:            organisation.Name,
		Share:           organisation.Share,
		Concurrency:     organisation.Concurrency,
		TokensPerSecond: organisation.TokensPerSecond,
	}
	cost := float64(prompt.TokenCount(r.call.Prompt) + r.call.MaxTokens)
	admission, err := r.deps.Admission.Enqueue(tenant, cost, r.call.Priority, limit, time.Now())
	var refused *route.RefusedError
	if errors.As(err, &refused) {
		if refused.Reason == route.RefusedOverload && !r.call.Deadline.IsZero() {
			return refusal(CodeDeadline, refused.RetryAfter, "the deadline can't be kept: %v", refused)
		}
		return admissionRefusal(refused)
	}
	r.admission = admission
	timer := time.NewTimer(time.Until(limit))
	defer timer.Stop()
	select {
	case <-admission.Ready():
		return nil
	case <-r.ctx.Done():
		return clientGoneFailure()
	case <-timer.C:
	}
	if refused, admitted := admission.GiveUp(time.Now()); !admitted {
		return admissionRefusal(refused)
	}
	return nil
}

func admissionRefusal(e *route.RefusedError) *Failure {
	return refusal(string(e.Reason), e.RetryAfter, "%v", e)
}

func clientGoneFailure() *Failure {
	return &Failure{Status: statusClientGone, Code: CodeCallerGone, Ran: NotRun, Message: "the caller went away"}
}

// statusClientGone is never seen by a client; it is for logs.
const statusClientGone = 499

// connect tries replicas until one returns its first event. Resumed runs start
// after the tokens that the client already has.
func (r *Run) connect(resumeAfter int) *Failure {
	var lastFailure *Failure
	for {
		if f := r.checkSuspected(); f != nil {
			return f
		}
		f, retryable := r.attempt(resumeAfter)
		if f == nil {
			return nil
		}
		if lastFailure != nil && r.reached && f.Code == CodeNoUpstream {
			// The earlier failure says more than that no replica is left.
			return lastFailure
		}
		lastFailure = f
		if !retryable || r.ctx.Err() != nil || !r.mayRetry() {
			return f
		}
		r.deps.Metrics.Retries.Add(1)
	}
}

// mayRetry reports whether another replica may be tried after a failure. An unreachable engine
// doesn't spend the retry budget: the try put no load on any engine, and a few engines that
// have ended but are still listed would use up the budget of the whole node.
func (r *Run) mayRetry() bool {
	if r.lastUnreachable && r.unreachableCount <= maxUnreachable {
		return true
	}
	return r.deps.Retries.Take()
}

// attempt chooses a replica and starts the run there; retryable reports whether another
// replica may be tried.
func (r *Run) attempt(resumeAfter int) (f *Failure, retryable bool) {
	now := time.Now()
	decision, err := r.deps.Policy.Place(&route.Request{
		Model:    r.call.Model,
		Weights:  r.weights,
		DataHall: r.deps.Settings.Node.DataHall,
		Chain:    r.chain,
		Match:    r.match,
		Exclude:  r.excluded,
	}, now)
	if err != nil {
		return r.setRan(refusal(CodeNoUpstream, noUpstreamRetryAfter, "%v", err)), false
	}
	if f := r.checkDeadline(decision, now); f != nil && resumeAfter == 0 {
		return r.setRan(f), false
	}
	engine, ok := r.deps.Upstreams.Engine(decision.Replica)
	if !ok {
		r.excluded = append(r.excluded, decision.Replica)
		return r.setRan(refusal(CodeNoUpstream, noUpstreamRetryAfter, "engine %s is gone", decision.Replica)), true
	}
	r.decision = decision
	r.source = SourceNone
	if decision.Cached > 0 {
		r.source = SourceHot
	}
	if decision.Import != nil && r.importKVCache(engine, decision) {
		r.source = SourceImport
	}
	r.deps.Directory.Placed(r.chain, decision.Replica)
	return r.send(engine, decision, resumeAfter)
}

// checkDeadline refuses a request whose first token is expected after its deadline.
func (r *Run) checkDeadline(decision route.Decision, now time.Time) *Failure {
	if r.call.Deadline.IsZero() {
		return nil
	}
	late := now.Add(decision.FirstToken()).Sub(r.call.Deadline)
	if late <= 0 {
		return nil
	}
	return refusal(CodeDeadline, max(late, minDeadlineRetryAfter), "the first token would come %s too late", late.Round(time.Millisecond))
}

const minDeadlineRetryAfter = 50 * time.Millisecond

// send starts the run on an engine and waits for its first event.
func (r *Run) send(engine *upstream.Engine, decision route.Decision, resumeAfter int) (f *Failure, retryable bool) {
	r.inFlight = r.deps.Fleet.Begin(decision.Replica, decision.Recompute, time.Now())
	r.sentAt, r.engineStarted = boottime.Now(), time.Time{}
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
			r.deps.Loads.Report(decision.Replica, load)
			r.engineStarted = time.UnixMilli(int64(load.Boot))
		}
		r.firstEvent, err = stream.Next()
	}
	if err == nil {
		r.firstPending = true
		r.inFlight.FirstToken()
		if resumeAfter == 0 {
			r.recordReuse(r.firstEvent.CachedTokens)
		}
		return nil, false
	}
	return r.handleRunError(decision.Replica, err)
}

// recordReuse records how many tokens the engine reused; what it was expected to have
// cached may have been evicted.
func (r *Run) recordReuse(cached int) {
	r.cachedTokens = cached
	if cached == 0 {
		r.source = SourceNone
	}
}

// handleRunError ends an attempt that failed and returns the failure to answer with.
func (r *Run) handleRunError(replica string, err error) (f *Failure, retryable bool) {
	r.excluded = append(r.excluded, replica)
	r.lastUnreachable = false
	r.endAttempt(outcomeOf(err, r.ctx.Err() != nil))
	var notRun *upstream.NotRunError
	var mismatch *upstream.MismatchError
	switch {
	case errors.As(err, &notRun):
		if r.lastUnreachable = notRun.Reason == upstream.ReasonUnreachable; r.lastUnreachable {
			r.unreachableCount++
		}
		r.log.Info("upstream did not run the request", "upstream", replica, "reason", notRun.Reason)
		return r.setRan(refusal(CodeNoUpstream, noUpstreamRetryAfter, "%v", err)), true
	case errors.As(err, &mismatch):
		r.deps.Metrics.Mismatched.Add(1)
		r.log.Error("answer of another request discarded", "upstream", replica, "err", err)
	default:
		r.log.Warn("upstream failed", "upstream", replica, "err", err)
		r.reportIfEnded(replica, err)
	}
	r.reached = true
	f = r.setRan(&Failure{Status: statusBadGateway, Code: CodeUpstreamFailed, Message: err.Error()})
	return f, !r.call.Once
}

const statusBadGateway = 502

func outcomeOf(err error, clientGone bool) route.Outcome {
	var notRun *upstream.NotRunError
	switch {
	case clientGone:
		return route.OutcomeNeutral
	case errors.As(err, &notRun) && notRun.Reason != upstream.ReasonUnreachable:
		return route.OutcomeNeutral
	default:
		return route.OutcomeFailed
	}
}

// setRan sets f.Ran to what is certain about whether the request ran, and returns f.
func (r *Run) setRan(f *Failure) *Failure {
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

// Next returns the next event of the answer, and io.EOF after the last one. A run
// that breaks off is resumed on another replica if that is allowed.
func (r *Run) Next() (upstream.Event, *Failure, error) {
	for {
		ev, err := r.firstEvent, error(nil)
		if !r.firstPending {
			ev, err = r.stream.Next()
		}
		r.firstPending = false
		if err == nil {
			if ev.Done {
				r.done = true
			} else {
				r.completionTokens++
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

// resume continues a broken run on another replica, or returns why it can't.
func (r *Run) resume(err error) *Failure {
	replica := r.decision.Replica
	received := r.stream.Tokens()
	if received > r.tokensAtBreak {
		// The run made progress, so replicas that failed earlier may be tried again.
		r.excluded = nil
	}
	r.tokensAtBreak = received
	f, retryable := r.handleRunError(replica, err)
	f.Code = CodeCutOff
	if !retryable || r.ctx.Err() != nil || !r.mayRetry() {
		return f
	}
	if failure := r.connect(received); failure != nil {
		failure.Code = CodeCutOff
		return failure
	}
	r.deps.Metrics.Resumed.Add(1)
	r.log.Info("run resumed", "from", replica, "on", r.decision.Replica, "tokens", received)
	return nil
}

func (r *Run) endAttempt(o route.Outcome) {
	if r.stream != nil {
		r.stream.Close()
		r.stream = nil
	}
	if r.inFlight != nil {
		r.inFlight.End(o, time.Now())
		r.inFlight = nil
	}
}

// Close ends the run and cancels it at the engine if it has not finished.
func (r *Run) Close() {
	outcome := route.OutcomeNeutral
	if r.done {
		outcome = route.OutcomeOK
		r.deps.Retries.Success()
	}
	r.endAttempt(outcome)
	r.reportFinished()
	if r.admission != nil {
		r.admission.Release(time.Now())
	}
	r.cancel()
}
