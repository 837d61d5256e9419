package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/route"
)

const (
	// queuePollInterval is how often it is looked whether an engine has room for the
	// first prompt that waits, beside each time that this node's own leave some.
	queuePollInterval = 20 * time.Millisecond
	// startWaitShare is the part of a route's target within which an engine must be
	// expected to begin a prompt for it to be sent there.
	startWaitShare = 0.25
	// lateStartWaitShare is that for a prompt that can no longer be answered in good
	// time: it is not to delay those that can, at other nodes too. The share grows
	// to lateMostShare until the prompt's limit, so that it is served all the same.
	lateStartWaitShare    = 0.1
	maxLateStartWaitShare = 0.5
	// queueTimeAfterStop is for how long a prompt waits once the node has been told to stop:
	// what is sent later may not end within the grace period.
	queueTimeAfterStop = time.Second
	// minQueueRetryAfter is the least time after which a refused caller is to come back:
	// sooner would find the same queue.
	minQueueRetryAfter = 250 * time.Millisecond
)

// promptQueue is the queue in front of a service of engines.
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

// runQueues looks at the queues again and again while prompts wait in them. On most
// nodes none do most of the time, and need not be woken 50 times a second.
func (g *Gateway) runQueues(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.queued:
		}
		for ctx.Err() == nil && g.stepQueues() {
			sleep(ctx, queuePollInterval)
		}
	}
}

// stepQueues lets in prompts for which there is room and says whether any still wait.
func (g *Gateway) stepQueues() (waiting bool) {
	g.queuesMu.Lock()
	list := make([]*route.PromptQueue, 0, len(g.queues))
	for _, q := range g.queues {
		list = append(list, q)
	}
	g.queuesMu.Unlock()
	now := boottime.Now()
	for _, q := range list {
		q.Step(now)
		waiting = waiting || q.Len() > 0
	}
	return waiting
}

// enqueue waits until the prompt is let in; ok is false if it is refused.
func (x *exchange) enqueue(ctx context.Context) (f refusal, ok bool) {
	if x.service.Engine == nil || x.pickInput.Tokens == 0 || x.g.beliefs.without.PromptQueue {
		return refusal{}, true
	}
	now := boottime.Now()
	processing := x.processingTime(now)
	x.lateAfter, x.sendBy = x.receivedAt.Add(x.route.Target-processing), x.deadline.Add(-processing)
	request := route.QueueRequest{
		Cost:     float64(x.pickInput.Tokens),
		Priority: x.priority(),
		Deadline: x.sendBy,
		Fits:     x.engineReadySoon,
	}
	if x.organisation != nil {
		request.Organisation = x.organisation.Name
	}
	w, err := x.g.promptQueue(x.service.Name).Enqueue(request, now)
	if err != nil {
		return overloaded(err), false
	}
	x.waiting = w
	select { // Most need no timers.
	case <-w.Ready():
		return queueResult(w)
	default:
	}
	return x.waitInQueue(ctx, w, now)
}

// waitInQueue waits in the queue. Once the prompt can't be answered in good time any more it
// gives way to those that can; when it can't be answered at all it is refused.
func (x *exchange) waitInQueue(ctx context.Context, w *route.WaitingPrompt, now time.Time) (f refusal, ok bool) {
	select {
	case x.g.queued <- struct{}{}:
	default:
	}
	lateTimer, limitTimer := time.NewTimer(x.lateAfter.Sub(now)), time.NewTimer(x.sendBy.Sub(now))
	defer lateTimer.Stop()
	defer limitTimer.Stop()
	stopped := x.g.stopped
	for {
		select {
		case <-w.Ready():
			return queueResult(w)
		case <-stopped:
			stopped = nil
			limitTimer.Reset(min(queueTimeAfterStop, boottime.Until(x.sendBy)))
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
		return queueResult(w)
	}
}

// queueResult says whether a prompt that waits no longer was let in.
func queueResult(w *route.WaitingPrompt) (f refusal, ok bool) {
	if err := w.Err(); err != nil {
		return overloaded(err), false
	}
	return refusal{}, true
}

// processingTime is how long the prompt takes at an engine to its first token, without what
// waits there before it; 0 if there is no engine for it.
func (x *exchange) processingTime(now time.Time) time.Duration {
	c, ok := x.pick(now)
	if !ok {
		return 0
	}
	return c.Expected - c.Wait
}

// engineReadySoon says whether an engine is expected to begin the prompt soon. Where there is no
// engine at all it says so too: the attempt finds out, and the caller is told at once.
func (x *exchange) engineReadySoon(late bool, now time.Time) bool {
	c, ok := x.pick(now)
	share := startWaitShare
	if late {
		elapsed := float64(now.Sub(x.lateAfter)) / float64(max(1, x.sendBy.Sub(x.lateAfter)))
		share = lateStartWaitShare + elapsed*(maxLateStartWaitShare-lateStartWaitShare)
	}
	return !ok || c.Wait <= time.Duration(share*float64(x.route.Target))
}

func overloaded(err error) refusal {
	retry := minQueueRetryAfter
	var refused *route.RefusedError
	if errors.As(err, &refused) {
		retry = max(retry, refused.RetryAfter)
	}
	return retryLater(reasonOverloaded, retry)
}

// leaveQueue lets the next prompt be looked at: this one has been sent, or is over.
func (x *exchange) leaveQueue(now time.Time) {
	if x.waiting != nil {
		x.waiting.Done(now)
	}
}
