package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/pkg/suspect"
	"github.com/drumpath/drumpath/service/suspects"
)

// watchedRetry is when to come back with a watched request while another of its kind is
// under way: one that ends its replica does so within some hundred milliseconds.
const watchedRetry = 500 * time.Millisecond

// fingerprint names what the request asks and for whom. It is made only once, and only
// for requests that need it.
func (x *exchange) fingerprint() site.Fingerprint {
	if !x.hashed {
		x.content = site.NewFingerprint(x.organisationName(), x.head.Method, x.head.Get("Host"), x.head.Target, x.body)
		x.hashed = true
	}
	return x.content
}

func (x *exchange) sketch() uint64 {
	return suspect.QuickHash(x.organisationName(), x.head.Method, x.head.Get("Host"), x.head.Target, x.body)
}

// organisationName is "" for a request without one.
func (x *exchange) organisationName() string {
	if x.organisation == nil {
		return ""
	}
	return x.organisation.Name
}

// suspected judges the request by what is known of its content.
func (x *exchange) suspected() suspect.Case {
	if x.g.suspects.Empty() {
		return suspect.Case{} // Nothing has to be hashed.
	}
	return x.g.suspects.Case(x.fingerprint())
}

// blocked refuses a request under which replicas have ended. Without it each repeat ended
// one more replica, 17 to 21 of 18 in 16 s; now three end.
func (x *exchange) blocked() (f refusal, yes bool) {
	c := x.suspected()
	if c.Verdict() != suspect.Blocked {
		return f, false
	}
	x.g.log.Warn("request blocked", "request", x.terms.ID, "content", c.Content, "ends", len(c.Ends), "replicas", c.Replicas(), "attempts", x.ran)
	if x.ran > 0 {
		return refuse(http.StatusBadGateway, reasonEndsReplicas), true
	}
	return refuse(http.StatusBadRequest, reasonEndsReplicas), true
}

// cleared says whether the request may be sent to a replica now.
func (x *exchange) cleared(ctx context.Context) (f refusal, ok bool) {
	x.g.suspects.WaitLearned(ctx)
	if f, yes := x.blocked(); yes {
		return f, false
	}
	c := x.suspected()
	if c.Verdict() == suspect.Allowed || x.g.suspects.MayRun(ctx, c.Content, boottime.Until(x.limit)) {
		x.watched = c.Verdict() != suspect.Allowed
		return f, true
	}
	if x.ran > 0 {
		return refuse(http.StatusBadGateway, reasonLost), false
	}
	return comeBack(reasonWatched, watchedRetry), false
}

// sent ends an attempt at a watched request: the next one is let run by whatever has been
// heard of this one, or at once.
func (x *exchange) sent(finished bool) {
	if x.watched && !finished {
		x.g.suspects.EndRun(x.content)
	}
	x.watched = false
}

// finished notes that a replica ran the request to its end.
func (x *exchange) finished(now time.Time) {
	x.g.suspects.RecordFinish(x.sketch(), x.fingerprint, now)
}

// lostRun notes that the answer to an attempt was lost while it may have run. Whether its
// replica has ended a new connection tells, or else the attempts of others and the
// platform's list. One whose connection fell silent is not asked: that could take long.
func (x *exchange) lostRun(ctx context.Context, a *attempt, err error, now time.Time) {
	u := &a.choice.Upstream
	silent := ctx.Err() != nil || lostPeer(err) // Its client left, its time was over, or the path fell silent.
	if !silent && !x.pool.IsActive(u.ID) {
		return // It left as planned, and cut what it still had: long answers meet that often.
	}
	run := suspects.LostRun{
		Content:   x.fingerprint(),
		QuickHash: x.sketch(),
		RequestID: x.terms.ID,
		Replica:   u.ID,
		StartKey:  suspects.StartKeyOf(u.ID, u.Started),
		Addr:      u.Addr,
		StartedAt: a.begun,
		LostAt:    now,
	}
	if silent {
		x.g.suspects.RecordLostRun(run)
		return
	}
	conn, err := dialUpstream(u.Addr.String())
	switch {
	case err == nil:
		x.g.conns.give(u.ID, conn)
		run.Reachable = true
		x.g.suspects.RecordLostRun(run)
	case suspects.NotListening(err):
		x.lost(u, boottime.Now())
		x.g.suspects.RecordEnd(run, boottime.Now())
	default:
		x.g.suspects.RecordLostRun(run)
	}
}

// notReached notes that a replica took no connection.
func (x *exchange) notReached(u *site.Upstream, err error, now time.Time) {
	x.lost(u, now)
	if suspects.NotListening(err) {
		x.g.suspects.RecordNotListening(suspects.StartKeyOf(u.ID, u.Started), now)
	}
}
