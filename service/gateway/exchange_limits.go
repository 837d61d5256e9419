package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/service/ratelimit"
)

// mostAsks is for how many replicas that name a limit a grant is asked for one request. Those
// that name none are used then, or it is refused: asking takes time.
const mostAsks = 3

// pickToSend picks the replica that the request is sent to now; ok is false if there is
// none. One that names a limit needs a grant: without, each node would send it its usual part of
// the load, and together they would send a replica in need many times what it takes.
func (x *exchange) pickToSend(ctx context.Context) (c route.Choice, ok bool) {
	x.need.Send = true
	defer func() { x.need.Send, x.need.UnlimitedOnly = false, false }()
	for asks := 0; ; asks++ {
		x.need.UnlimitedOnly = asks >= mostAsks
		c, ok = x.pick(boottime.Now())
		if !ok || x.g.rateLimits.MaySend(ctx, &c.Upstream) {
			return c, ok
		}
	}
}

// learn takes from an answer what its replica says of itself. One that comes from another
// replica, at a reused address, tells nothing of this one.
func (x *exchange) learn(a *attempt, now time.Time) {
	if a.head.Status == http.StatusMisdirectedRequest {
		return
	}
	u := &a.choice.Upstream
	x.g.rateLimits.ObserveAnswer(u, &a.answer, a.begun, now)
	if a.answer.Draining {
		x.g.nodes.recordDraining(route.RefOf(u))
	}
	if a.answer.Backoff > 0 {
		x.pool.BackOff(u, a.answer.Backoff, now)
	}
}

// countedOrders counts orders in what replicas take from all nodes. Orders don't wait for
// a grant: operators bound the time in which weights are replaced.
type countedOrders struct {
	Engines

	beliefs *SiteState
	limits  *ratelimit.Limits
}

// Order gives an engine an order.
func (c countedOrders) Order(ctx context.Context, addr netip.AddrPort, o site.Order) (site.OrderOutcome, error) {
	for _, p := range c.beliefs.Pools() {
		if u, ok := p.Upstream(o.Instance); ok {
			c.limits.Spend(&u)
		}
	}
	return c.Engines.Order(ctx, addr, o)
}
