package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/drumpath/drumpath/pkg/route"
)

const (
	// queueEvery is how often it is looked whether an engine has room for the
	// first prompt that waits, beside each time that this node's own leave some.
	queueEvery = 20 * time.Millisecond
	// beginShare is the part of a route's target within which an engine must be
	// expected to begin a prompt for it to be sent there.
	beginShare = 0.25
	// lateBeginShare is that for a prompt that can't be answered in good time: it
	// is not to delay those that can.
	lateBeginShare = 0.1
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

// stepQueues lets in prompts for which there is room; the timer service calls it.
func (g *Gateway) stepQueues(context.Context) {
	g.queuesMu.Lock()
	list := make([]*route.PromptQueue, 0, len(g.queues))
	for _, q := range g.queues {
		list = append(list, q)
	}
	g.queuesMu.Unlock()
	now := time.Now()
	for _, q := range list {
		q.Step(now)
	}
}

// enqueue waits until the prompt is let in; ok is false if it is refused.
func (x *exchange) enqueue(ctx context.Context) (f refusal, ok bool) {
	if x.service.Engine == nil || x.need.Tokens == 0 {
		return refusal{}, true
	}
	now := time.Now()
	own := x.ownTime(now)
	ask := route.Ask{
		Cost:     float64(x.need.Tokens),
		Priority: x.priority(),
		Limit:    x.limit.Add(-own),
		Fits:     x.fits,
	}
	if x.organisation != nil {
		ask.Organisation = x.organisation.Name
	}
	w, err := x.g.promptQueue(x.service.Name).Offer(ask, now)
	if err != nil {
		return overloaded(err), false
	}
	x.place = w
	select { // Most need no timers.
	case <-w.Ready():
		return refusal{}, true
	default:
	}
	return x.wait(ctx, w, x.came.Add(x.route.Target-own).Sub(now), ask.Limit.Sub(now))
}

// wait waits in the queue: from late on the prompt gives way to those that can be
// answered in good time, and at the limit it is refused.
func (x *exchange) wait(ctx context.Context, w *route.WaitingPrompt, late, limit time.Duration) (f refusal, ok bool) {
	lateTimer, limitTimer := time.NewTimer(late), time.NewTimer(limit)
	defer lateTimer.Stop()
	defer limitTimer.Stop()
	for {
		select {
		case <-w.Ready():
			return refusal{}, true
		case <-ctx.Done():
			w.Done(time.Now())
			return refuse(http.StatusGatewayTimeout, reasonDeadline), false
		case <-lateTimer.C:
			w.Late(time.Now())
			continue
		case <-limitTimer.C:
		}
		refused, in := w.GiveUp(time.Now())
		if in {
			return refusal{}, true
		}
		return overloaded(refused), false
	}
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
		share = lateBeginShare
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
