package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/pkg/suspect"
	"github.com/drumpath/drumpath/service/suspects"
)

// suspectRetryAfter is the Retry-After of a watched request while another one with the
// same cause runs. A request that ends its replica does so within some hundred milliseconds.
const suspectRetryAfter = 500 * time.Millisecond

// fingerprint identifies the request's content and organisation. It is computed only
// once, and only for requests that need it.
func (x *exchange) fingerprint() site.Fingerprint {
	if !x.fingerprinted {
		x.content = site.NewFingerprint(x.organisationName(), x.head.Method, x.head.Get("Host"), x.head.Target, x.body)
		x.fingerprinted = true
	}
	return x.content
}

// quickHash is a cheap, non-cryptographic hash of the same data as fingerprint.
func (x *exchange) quickHash() uint64 {
	return suspect.QuickHash(x.organisationName(), x.head.Method, x.head.Get("Host"), x.head.Target, x.body)
}

// sharedParts returns the IDs of the parts of the prompt that other requests may share.
func (x *exchange) sharedParts() []string {
	shared := x.info.Shared()
	ids := make([]string, len(shared))
	for i, p := range shared {
		ids[i] = p.ID
	}
	return ids
}

// organisationName returns "" for a request without an organisation.
func (x *exchange) organisationName() string {
	if x.organisation == nil {
		return ""
	}
	return x.organisation.Name
}

// judge returns how the request is treated by what is known of replicas that ended under it, or under parts of its
// prompt, and the case that this rests on.
func (x *exchange) judge() (suspect.Case, suspect.Verdict) {
	if x.g.suspects.Empty() {
		return suspect.Case{}, suspect.Allowed // Skips the hashing.
	}
	return x.g.suspects.Judge(suspect.Cause{Fingerprint: x.fingerprint()}, x.service.Name, x.sharedParts())
}

// refusalIfBlocked refuses a request under which replicas have ended, or under a part of whose prompt they have.
// Without it each repeat ended one more replica: 17 to 21 of 18 in 16 s, where three end now. Of twelve that are replaced
// within 0.6 s, 53 to 71 ended in 8 s under prompts that shared a part.
func (x *exchange) refusalIfBlocked() (f refusal, blocked bool) {
	c, verdict := x.judge()
	if verdict != suspect.Blocked {
		return f, false
	}
	x.g.log.Warn("request blocked", "request", x.info.ID, "content", x.fingerprint(), "cause", c.Kind.String(), "service", x.service.Name, "part", c.Part,
		"ends", len(c.Ends), "replicas", c.Replicas(), "attempts", x.mayHaveRun)
	f = refuse(http.StatusBadRequest, reasonEndsReplicas)
	if x.mayHaveRun > 0 {
		f.status = http.StatusBadGateway
	}
	f.part = c.Part
	return f, true
}

// awaitClearance waits until the request may be sent to a replica; ok is false if it is
// refused. A watched request needs a grant.
func (x *exchange) awaitClearance(ctx context.Context) (f refusal, ok bool) {
	x.g.suspects.WaitLearned(ctx)
	if f, blocked := x.refusalIfBlocked(); blocked {
		return f, false
	}
	c, verdict := x.judge()
	switch {
	case verdict == suspect.Allowed:
		return f, true
	case verdict == suspect.Watched && x.g.suspects.StartRun(ctx, c.Fingerprint, boottime.Until(x.deadline)):
		x.suspectRun = &c.Fingerprint
		return f, true
	}
	if x.mayHaveRun > 0 {
		return refuse(http.StatusBadGateway, reasonAnswerLost), false
	}
	return retryLater(reasonSuspected, suspectRetryAfter), false
}

// isBlocked reports whether the request has been blocked since it was cleared.
func (x *exchange) isBlocked() bool {
	_, verdict := x.judge()
	return verdict == suspect.Blocked
}

// endSuspectRun ends an attempt. If it held a grant and got no
// whole answer, it gives the grant back, so that the next attempt need not wait for it
// to expire.
func (x *exchange) endSuspectRun(finished bool) {
	if x.suspectRun != nil && !finished {
		x.g.suspects.EndRun(*x.suspectRun)
	}
	x.suspectRun = nil
}

// recordFinish records that a replica finished the request and is still alive.
func (x *exchange) recordFinish(a *attempt, now time.Time) {
	if a.endUnconfirmed {
		return
	}
	x.g.suspects.RecordFinish(x.quickHash(), x.fingerprint, now)
	if !isServerError(a.head.Status) {
		x.g.suspects.RecordPartFinishes(x.service.Name, x.sharedParts(), now)
	}
}

// newLostRun describes a run whose answer was lost now.
func newLostRun(u *site.Upstream, request string, content site.Fingerprint, quickHash uint64, parts []string, startedAt time.Time) suspects.LostRun {
	return suspects.LostRun{
		Content:   content,
		QuickHash: quickHash,
		RequestID: request,
		Service:   u.Service,
		Parts:     parts,
		Replica:   u.ID,
		StartKey:  suspects.StartKeyOf(u.ID, u.Started),
		Addr:      u.Addr,
		StartedAt: startedAt,
		LostAt:    boottime.Now(),
	}
}

// recordLostRun records that the answer to an attempt was lost while the request may have run. A
// node that has forwarded it does that itself.
func (x *exchange) recordLostRun(ctx context.Context, a *attempt, err error) {
	if a.via != nil {
		return
	}
	run := newLostRun(&a.choice.Upstream, x.info.ID, x.fingerprint(), x.quickHash(), x.sharedParts(), a.startedAt)
	// The client left, the deadline passed, or the network path fell silent.
	x.g.recordLostRun(x.pool, &a.choice.Upstream, run, ctx.Err() != nil || isUnreachable(err))
}

// recordLostRun finds out whether the replica of a lost run has ended, by a new connection. If
// that is inconclusive, other attempts and the platform's list decide. If the connection fell
// silent, it makes none, as that could take long.
func (g *Gateway) recordLostRun(p *route.Pool, u *site.Upstream, run suspects.LostRun, silent bool) {
	if !silent && !p.IsActive(u.ID) {
		// It shut down as planned and cut its remaining answers, which is common for
		// long ones.
		return
	}
	if silent {
		g.suspects.RecordLostRun(run)
		return
	}
	conn, err := g.conns.dial(u.ID, u.Addr, upstreamDialTimeout)
	switch {
	case err == nil:
		g.conns.put(u.ID, conn)
		run.Reachable = true
		g.suspects.RecordLostRun(run)
	case suspects.NotListening(err) && g.forwarding.faultOf(p, u, err, run.LostAt) != route.FaultOfPath:
		g.recordUnreachable(p, u, boottime.Now())
		g.suspects.RecordEnd(run, boottime.Now())
	default:
		g.suspects.RecordLostRun(run)
	}
}
