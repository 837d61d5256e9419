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

// maxGrantRequests is for how many replicas that name a limit a grant is asked for one request. Those
// that name none are used then, or it is refused: asking takes time.
const maxGrantRequests = 3

// pickToSend picks the replica that the request is sent to now; ok is false if there is
// none. One that names a limit needs a grant: without, each node would send it its usual part of
// the load, and together they would send a replica in need many times what it takes.
func (x *exchange) pickToSend(ctx context.Context) (c route.Choice, ok bool) {
	x.pickInput.Send = true
	defer func() { x.pickInput.Send, x.pickInput.UnlimitedOnly = false, false }()
	for grantRequests := 0; ; grantRequests++ {
		x.pickInput.UnlimitedOnly = grantRequests >= maxGrantRequests
		c, ok = x.pick(boottime.Now())
		if !ok || x.g.rateLimits.MaySend(ctx, &c.Upstream) {
			return c, ok
		}
	}
}

// recordAnswerInfo takes from an answer what its replica says of itself. One that comes from another
// replica, at a reused address, tells nothing of this one.
func (x *exchange) recordAnswerInfo(a *attempt, now time.Time) {
	if a.head.Status == http.StatusMisdirectedRequest {
		return
	}
	u := &a.choice.Upstream
	x.g.rateLimits.ObserveAnswer(u, &a.info, a.startedAt, now)
	if a.info.Draining {
		x.g.nodes.hearDraining(route.RefOf(u))
	}
	if a.info.Backoff > 0 {
		x.pool.BackOff(u, a.info.Backoff, now)
	}
}

// orderCountingEngines counts orders in what replicas take from all nodes. Orders don't wait for
// a grant: operators bound the time in which weights are replaced.
type orderCountingEngines struct {
	Engines

	siteState *SiteState
	limits    *ratelimit.Limits
}

// Order gives an engine an order.
func (c orderCountingEngines) Order(ctx context.Context, addr netip.AddrPort, o site.Order) (site.OrderOutcome, error) {
	for _, p := range c.siteState.Pools() {
		if u, ok := p.Upstream(o.Instance); ok {
			c.limits.Spend(&u)
		}
	}
	return c.Engines.Order(ctx, addr, o)
}
