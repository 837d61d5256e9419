package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/drumpath/drumpath/pkg/route"
)

const (
	// adaptEvery is how often it is decided how many prompts are let in.
	adaptEvery = 100 * time.Millisecond
	// queueShare is the part of a route's target for which a prompt may wait
	// here, wantedShare that for which the median prompt may wait at a replica.
	// Measured, docs/POLICY.md.
	queueShare  = 0.5
	wantedShare = 0.45
	// mostInside bounds the prompts of one node that wait at replicas, for each
	// of these.
	mostInside = 8
	// leastRetry is the least time after which a refused caller is to come back:
	// sooner would find the same queue.
	leastRetry = 250 * time.Millisecond
)

// admission is the queue in front of a service of engines.
func (g *Gateway) admission(service string) *route.Admission {
	g.admissionMu.Lock()
	defer g.admissionMu.Unlock()
	a, ok := g.admissions[service]
	if !ok {
		a = route.NewStrictAdmission()
		g.admissions[service] = a
	}
	return a
}

// adapt lets more or fewer prompts in by what they wait at the replicas; the
// timer service calls it.
func (g *Gateway) adapt(context.Context) {
	now := time.Now()
	for service, p := range g.beliefs.Pools() {
		g.admissionMu.Lock()
		a := g.admissions[service]
		g.admissionMu.Unlock()
		if a != nil {
			a.Want(time.Duration(wantedShare * float64(g.target(service))))
			a.Adapt(p.MedianWait(now), mostInside*p.Size(), now)
		}
	}
}

// target is the longest target of the routes to a service.
func (g *Gateway) target(service string) time.Duration {
	longest := time.Duration(0)
	s := g.beliefs.Snapshot()
	if s == nil {
		return longest
	}
	for _, r := range s.Routes() {
		for _, share := range r.Split {
			if share.Service == service {
				longest = max(longest, r.Target)
			}
		}
	}
	return longest
}

// enqueue waits until the prompt is let in; ok is false if it is refused. What
// is prepared for a prompt that waits inside a replica gives way before its run,
// so what must wait waits here, in order of priority.
func (x *exchange) enqueue(ctx context.Context) (f refusal, ok bool) {
	if x.service.Engine == nil || x.need.Tokens == 0 {
		return refusal{}, true
	}
	now := time.Now()
	limit := x.came.Add(time.Duration(queueShare * float64(x.route.Target)))
	if limit.Before(now) {
		limit = now
	}
	name := ""
	if x.organisation != nil {
		name = x.organisation.Name
	}
	a := x.g.admission(x.service.Name)
	place, err := a.Offer(route.Tenant{Name: name, Share: 1}, float64(x.need.Tokens), -x.priority(), limit, now)
	if err != nil {
		return overloaded(err), false
	}
	x.place = place
	t := time.NewTimer(limit.Sub(now))
	defer t.Stop()
	select {
	case <-place.Ready():
		return refusal{}, true
	case <-ctx.Done():
		place.Leave(time.Now())
		return refuse(http.StatusGatewayTimeout, reasonDeadline), false
	case <-t.C:
	}
	refused, inside := place.GiveUp(time.Now())
	if inside {
		return refusal{}, true
	}
	return overloaded(refused), false
}

func overloaded(err error) refusal {
	retry := leastRetry
	var refused *route.RefusedError
	if errors.As(err, &refused) {
		retry = max(retry, refused.RetryAfter)
	}
	return comeBack(reasonOverloaded, retry)
}

// leaveQueue gives the place inside up: the replica has begun to answer, or the
// request is over.
func (x *exchange) leaveQueue(now time.Time) {
	if x.place == nil {
		return
	}
	x.place.Leave(now)
	x.place = nil
}
