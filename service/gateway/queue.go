package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/route"
)

const (
	// queueEvery is how often it is looked whether an engine has room for the
	// first prompt that waits, beside each time that this node's own leave some.
	queueEvery = 20 * time.Millisecond
	// beginShare is the part of a route's target within which an engine must be
	// expected to begin a prompt for it to be sent there.
	beginShare = 0.25
	// lateBeginShare is that for a prompt that can no longer be answered in good
	// time: it is not to delay those that can, at other nodes too. The share grows
	// to lateMostShare until the prompt's limit, so that it is served all the same.
	lateBeginShare = 0.1
	lateMostShare  = 0.5
	// stopTime is for how long a prompt waits once the node has been told to stop:
	// what is sent later may not end within the grace period.
	stopTime = time.Second
	// leastRetry is the least time after which a refused caller is to come back:
	// sooner would find the same queue.
	leastRetry = 250 * time.Millisecond
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
		case <-g.promptQueued:
		}
		for ctx.Err() == nil && g.stepQueues() {
			sleep(ctx, queueEvery)
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
	if x.service.Engine == nil || x.need.Tokens == 0 || x.g.siteState.disabled.PromptQueue {
		return refusal{}, true
	}
	now := boottime.Now()
	own := x.ownTime(now)
	x.lateFrom, x.sendBy = x.came.Add(x.route.Target-own), x.limit.Add(-own)
	ask := route.QueueRequest{
		Cost:     float64(x.need.Tokens),
		Priority: x.priority(),
		Deadline: x.sendBy,
		Fits:     x.fits,
	}
	if x.organisation != nil {
		ask.Organisation = x.organisation.Name
	}
	w, err := x.g.promptQueue(x.service.Name).Enqueue(ask, now)
	if err != nil {
		return overloaded(err), false
	}
	x.place = w
	select { // Most need no timers.
	case <-w.Ready():
		return letIn(w)
	default:
	}
	return x.wait(ctx, w, now)
}

// wait waits in the queue. Once the prompt can't be answered in good time any more it
// gives way to those that can; when it can't be answered at all it is refused.
func (x *exchange) wait(ctx context.Context, w *route.WaitingPrompt, now time.Time) (f refusal, ok bool) {
	select {
	case x.g.promptQueued <- struct{}{}:
	default:
	}
	lateTimer, limitTimer := time.NewTimer(x.lateFrom.Sub(now)), time.NewTimer(x.sendBy.Sub(now))
	defer lateTimer.Stop()
	defer limitTimer.Stop()
	stopped := x.g.stopRequested
	for {
		select {
		case <-w.Ready():
			return letIn(w)
		case <-stopped:
			stopped = nil
			limitTimer.Reset(min(stopTime, boottime.Until(x.sendBy)))
			continue
		case <-ctx.Done():
			w.Done(boottime.Now())
			return x.outOfTime(), false
		case <-lateTimer.C:
			w.MarkLate(boottime.Now())
			continue
		case <-limitTimer.C:
		}
		w.GiveUp(boottime.Now())
		return letIn(w)
	}
}

// letIn says whether a prompt that waits no longer was let in.
func letIn(w *route.WaitingPrompt) (f refusal, ok bool) {
	if err := w.Err(); err != nil {
		return overloaded(err), false
	}
	return refusal{}, true
}

// ownTime is how long the prompt takes at an engine to its first token, without what
// waits there before it; 0 if there is no engine for it.
func (x *exchange) ownTime(now time.Time) time.Duration {
	c, ok := x.pick(now)
	if !ok {
		return 0
	}
	return c.Expected - c.Wait
}

// fits says whether an engine is expected to begin the prompt soon. Where there is no
// engine at all it says so too: the attempt finds out, and the caller is told at once.
func (x *exchange) fits(late bool, now time.Time) bool {
	c, ok := x.pick(now)
	share := beginShare
	if late {
		past := float64(now.Sub(x.lateFrom)) / float64(max(1, x.sendBy.Sub(x.lateFrom)))
		share = lateBeginShare + past*(lateMostShare-lateBeginShare)
	}
	return !ok || c.Wait <= time.Duration(share*float64(x.route.Target))
}

func overloaded(err error) refusal {
	retry := leastRetry
	var refused *route.RefusedError
	if errors.As(err, &refused) {
		retry = max(retry, refused.RetryAfter)
	}
	return comeBack(reasonOverloaded, retry)
}

// leaveQueue lets the next prompt be looked at: this one has been sent, or is over.
func (x *exchange) leaveQueue(now time.Time) {
	if x.place != nil {
		x.place.Done(now)
	}
}
