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

// maxGrantRequests bounds for how many rate-limited replicas a grant is requested per
// request, as that takes time. After that only replicas without a limit are used.
const maxGrantRequests = 3

// pickToSend picks the replica to send the request to; ok is false if there is none. A
// replica that announces a limit needs a grant: otherwise each node would send it its
// usual share of the load, and together they would exceed the limit many times.
func (x *exchange) pickToSend(ctx context.Context) (c route.Choice, ok bool) {
	x.pickInput.Send = true
	// A roll-out may have completed while the request waited: the old replicas stop then.
	x.pickInput.Software = x.softwareRule(boottime.Now())
	defer func() { x.pickInput.Send, x.pickInput.UnlimitedOnly = false, false }()
	for grantRequests := 0; ; grantRequests++ {
		x.pickInput.UnlimitedOnly = grantRequests >= maxGrantRequests
		c, ok = x.pickListed(ctx)
		if !ok || x.g.rateLimits.MaySend(ctx, &c.Upstream) {
			return c, ok
		}
	}
}

// recordResponseInfo records what a replica's answer says about it. An answer from another
// replica at a reused address says nothing about this one.
func (g *Gateway) recordResponseInfo(p *route.Pool, u *site.Upstream, status int, info *site.ResponseInfo, sentAt, now time.Time) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	g.rateLimits.ObserveResponse(u, info, sentAt, now)
	g.recordBrittle(p, u, info, sentAt, now)
	if info.Draining {
		g.nodes.recordDraining(route.RefOf(u))
	}
	if info.Backoff > 0 {
		p.BackOff(u, info.Backoff, now)
	}
}

// recordBrittle records whether an answer says that the replicas of its service are brittle, and
// tells the other nodes of the beginning: some of them may not have had an answer since.
func (g *Gateway) recordBrittle(p *route.Pool, u *site.Upstream, info *site.ResponseInfo, sentAt, now time.Time) {
	switch {
	case info.Brittle && p.RecordBrittle(now):
		g.log.Warn("replicas are brittle", "service", u.Service, "replica", u.ID)
		g.nodes.broadcast(updateFor(route.RefOf(u), replicaUpdate{Brittle: true}))
	case !info.Brittle && p.RecordNotBrittle(sentAt, now):
		g.log.Warn("replicas are no longer brittle", "service", u.Service, "replica", u.ID)
	}
}

// orderCountingEngines counts orders against the rate limits of replicas. Orders don't
// wait for a grant, because operators bound the time in which weights are replaced.
type orderCountingEngines struct {
	Engines

	siteState *SiteState
	limits    *ratelimit.Limits
}

// Order sends an order to an engine.
func (c orderCountingEngines) Order(ctx context.Context, addr netip.AddrPort, o site.Order) (site.OrderOutcome, error) {
	for _, p := range c.siteState.Pools() {
		if u, ok := p.Upstream(o.Instance); ok {
			c.limits.Spend(&u)
		}
	}
	return c.Engines.Order(ctx, addr, o)
}
