package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/pkg/timer"
)

const (
	// queuePollInterval is how often the queues are checked for whether an engine has
	// room for the first prompt, in addition to each time that one of this node's own
	// prompts leaves.
	queuePollInterval = 20 * time.Millisecond
	// queueTimeAfterStop is how long a prompt may wait once the node has begun to stop:
	// one sent later might not finish within the grace period.
	queueTimeAfterStop = time.Second
	// minQueueRetryAfter is the least Retry-After of a full queue: a client that retries
	// sooner would find the same queue.
	minQueueRetryAfter = 250 * time.Millisecond
)

// promptQueue returns the queue in front of a service of engines.
func (g *Gateway) promptQueue(service string) *route.PromptQueue {
	g.queuesMu.Lock()
	defer g.queuesMu.Unlock()
	q, ok := g.queues[service]
	if !ok {
		q = route.NewPromptQueue()
		g.queues[service] = q
	}
	return q
}

// promptQueues lists the queues of all services.
func (g *Gateway) promptQueues() []*route.PromptQueue {
	g.queuesMu.Lock()
	defer g.queuesMu.Unlock()
	queues := make([]*route.PromptQueue, 0, len(g.queues))
	for _, q := range g.queues {
		queues = append(queues, q)
	}
	return queues
}

// runQueues steps the queues periodically while prompts wait in them. On most nodes none
// wait most of the time, and the node need not wake up 50 times a second.
func (g *Gateway) runQueues(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.promptQueued:
		}
		for ctx.Err() == nil && g.stepQueues() {
			timer.Sleep(ctx, queuePollInterval)
		}
	}
}

// stepQueues admits prompts for which there is room and reports whether any still wait.
func (g *Gateway) stepQueues() (waiting bool) {
	now := boottime.Now()
	for _, q := range g.promptQueues() {
		q.Step(now)
		waiting = waiting || q.Len() > 0
	}
	return waiting
}

// enqueue waits until the prompt is admitted; ok is false if it is refused.
func (x *exchange) enqueue(ctx context.Context) (f refusal, ok bool) {
	if x.begun != nil {
		// What the client has of its stream is lost if it waits or is refused by the load of replicas
		// that it can't go on at.
		return refusal{}, true
	}
	if x.service.Engine == nil {
		return x.enqueueForSlot(ctx)
	}
	if x.pickInput.Tokens == 0 || x.g.siteState.disabled.PromptQueue {
		return refusal{}, true
	}
	now := boottime.Now()
	processing, prefill := x.processing(now)
	x.limits = route.StartLimits{
		Target:    x.route.LatencyTarget,
		LateAfter: x.receivedAt.Add(x.route.LatencyTarget - processing),
		SendBy:    x.startLimit().Add(-processing),
	}
	request := route.QueueRequest{
		Cost:     float64(x.pickInput.Tokens),
		Priority: x.priority(),
		Deadline: x.limits.SendBy,
		Target:   x.route.LatencyTarget,
		Prefill:  prefill,
		Memory:   x.pickInput.Memory,
		Pool:     x.pool,
		Fits:     x.canStartSoon,

		ClientLeaves: x.startLimit(),
	}
	if x.organisation != nil {
		request.Organisation = x.organisation.Name
	}
	w, err := x.g.promptQueue(x.service.Name).Enqueue(request, now)
	if err != nil {
		return x.overloaded(err), false
	}
	x.waiting = w
	select { // Most prompts are admitted at once and need no timers.
	case <-w.Ready():
		return x.queueResult(w)
	default:
	}
	return x.waitInQueue(ctx, w, now)
}

// waitInQueue waits for admission. Once the prompt can no longer meet its target it
// yields to those that can; when it can't be answered at all any more, or is blocked, it is refused.
func (x *exchange) waitInQueue(ctx context.Context, w *route.WaitingPrompt, now time.Time) (f refusal, ok bool) {
	select {
	case x.g.promptQueued <- struct{}{}:
	default:
	}
	lateTimer, limitTimer := time.NewTimer(x.limits.LateAfter.Sub(now)), time.NewTimer(x.limits.SendBy.Sub(now))
	defer lateTimer.Stop()
	defer limitTimer.Stop()
	stopped := x.g.stopRequested
	for {
		nextBlock := x.g.suspects.NextBlock()
		if f, blocked := x.refusalIfBlocked(); blocked {
			w.Done(boottime.Now())
			return f, false
		}
		select {
		case <-nextBlock:
			continue
		case <-w.Ready():
			return x.queueResult(w)
		case <-stopped:
			stopped = nil
			limitTimer.Reset(min(queueTimeAfterStop, boottime.Until(x.limits.SendBy)))
			continue
		case <-ctx.Done():
			w.Done(boottime.Now())
			return x.deadlineRefusal(), false
		case <-lateTimer.C:
			w.MarkLate(boottime.Now())
			continue
		case <-limitTimer.C:
		}
		w.GiveUp(boottime.Now())
		return x.queueResult(w)
	}
}

const (
	// A client leaves if it has no event of a stream, not even the first, within the longest
	// of minClientPatience, clientPatienceTargets times the route's target and
	// clientPatienceGaps times its allowed pause, however late the deadline is.
	minClientPatience     = 2 * time.Second
	clientPatienceTargets = 4
	clientPatienceGaps    = 8
)

// clientPatience is how long a client waits for the first event of a stream of a route.
func clientPatience(r *site.Route) time.Duration {
	return max(minClientPatience, clientPatienceTargets*r.LatencyTarget, clientPatienceGaps*r.GapTarget)
}

// startLimit is when the first byte of the answer must have arrived for the client to get
// it: its deadline, or earlier for a stream, whose client leaves before.
func (x *exchange) startLimit() time.Time {
	if left := x.receivedAt.Add(clientPatience(x.route)); x.route.Streaming && left.Before(x.deadline) {
		return left
	}
	return x.deadline
}

// queueResult reports whether a prompt that has left the queue was admitted, and returns
// the refusal if not.
func (x *exchange) queueResult(w *route.WaitingPrompt) (f refusal, ok bool) {
	if err := w.Err(); err != nil {
		return x.overloaded(err), false
	}
	return refusal{}, true
}

// processing is how long an engine needs for the prompt's first token, without the work
// queued there before it, and how many tokens it prefills; 0 if there is no engine.
func (x *exchange) processing(now time.Time) (duration time.Duration, prefill int) {
	c, ok := x.pick(now)
	if !ok {
		return 0, x.pickInput.Tokens
	}
	return c.Expected - c.Wait, c.PrefillTokens
}

// canStartSoon reports whether an engine is expected to start the prompt soon. It is
// also true if there is no engine at all: the attempt then fails and the client gets the
// refusal at once.
func (x *exchange) canStartSoon(late bool, now time.Time) bool {
	if late {
		// An engine that it may not be sent to yet must not keep it in this hall.
		x.pickInput.BeginWithin = x.limits.BeginWithin(true, now)
	}
	c, ok := x.pick(now)
	return !ok || x.limits.MayStart(&c, late, now)
}

// overloaded is the answer to a prompt that the queue refused.
func (x *exchange) overloaded(err error) refusal {
	var refused *route.RefusedError
	if !errors.As(err, &refused) {
		return retryLater(reasonOverloaded, minQueueRetryAfter)
	}
	x.expectedWait = refused.Wait
	if refused.Reason == route.RefusedServiceOverload {
		return retryLater(reasonServiceOverloaded, refused.RetryAfter)
	}
	return retryLater(reasonOverloaded, refused.RetryAfter)
}

// leaveQueue frees the prompt's place: it has been sent, or the request has ended.
func (x *exchange) leaveQueue(now time.Time) {
	if x.waiting != nil {
		x.waiting.Done(now)
	}
}
