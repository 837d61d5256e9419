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

// suspectRetryAfter is when to come back with a watched request while another of its kind is
// under way: one that ends its replica does so within some hundred milliseconds.
const suspectRetryAfter = 500 * time.Millisecond

// fingerprint names what the request asks and for whom. It is made only once, and only
// for requests that need it.
func (x *exchange) fingerprint() site.Fingerprint {
	if !x.fingerprinted {
		x.content = site.NewFingerprint(x.organisationName(), x.head.Method, x.head.Get("Host"), x.head.Target, x.body)
		x.fingerprinted = true
	}
	return x.content
}

func (x *exchange) quickHash() uint64 {
	return suspect.QuickHash(x.organisationName(), x.head.Method, x.head.Get("Host"), x.head.Target, x.body)
}

// organisationName is "" for a request without one.
func (x *exchange) organisationName() string {
	if x.organisation == nil {
		return ""
	}
	return x.organisation.Name
}

// suspectCase judges the request by what is known of its content.
func (x *exchange) suspectCase() suspect.Case {
	if x.g.suspects.Empty() {
		return suspect.Case{} // Nothing has to be hashed.
	}
	return x.g.suspects.Case(x.fingerprint())
}

// refusalIfBlocked refuses a request under which replicas have ended. Without it each repeat ended
// one more replica, 17 to 21 of 18 in 16 s; now three end.
func (x *exchange) refusalIfBlocked() (f refusal, blocked bool) {
	c := x.suspectCase()
	if c.Verdict() != suspect.Blocked {
		return f, false
	}
	x.g.log.Warn("request blocked", "request", x.info.ID, "content", c.Content, "ends", len(c.Ends), "replicas", c.Replicas(), "attempts", x.mayHaveRun)
	if x.mayHaveRun > 0 {
		return refuse(http.StatusBadGateway, reasonEndsReplicas), true
	}
	return refuse(http.StatusBadRequest, reasonEndsReplicas), true
}

// awaitClearance says whether the request may be sent to a replica now.
func (x *exchange) awaitClearance(ctx context.Context) (f refusal, ok bool) {
	x.g.suspects.WaitLearned(ctx)
	if f, blocked := x.refusalIfBlocked(); blocked {
		return f, false
	}
	c := x.suspectCase()
	if c.Verdict() == suspect.Allowed || x.g.suspects.MayRun(ctx, c.Content, boottime.Until(x.deadline)) {
		x.suspectRun = c.Verdict() != suspect.Allowed
		return f, true
	}
	if x.mayHaveRun > 0 {
		return refuse(http.StatusBadGateway, reasonAnswerLost), false
	}
	return retryLater(reasonSuspected, suspectRetryAfter), false
}

// endSuspectRun ends an attempt at a watched request: the next one is let run by whatever has been
// heard of this one, or at once.
func (x *exchange) endSuspectRun(finished bool) {
	if x.suspectRun && !finished {
		x.g.suspects.EndRun(x.content)
	}
	x.suspectRun = false
}

// recordFinish notes that a replica ran the request to its end.
func (x *exchange) recordFinish(now time.Time) {
	x.g.suspects.RecordFinish(x.quickHash(), x.fingerprint, now)
}

// recordLostRun notes that the answer to an attempt was lost while it may have run. Whether its
// replica has ended a new connection tells, or else the attempts of others and the
// platform's list. One whose connection fell silent is not asked: that could take long.
func (x *exchange) recordLostRun(ctx context.Context, a *attempt, err error, now time.Time) {
	u := &a.choice.Upstream
	silent := ctx.Err() != nil || isUnreachable(err) // Its client left, its time was over, or the path fell silent.
	if !silent && !x.pool.IsActive(u.ID) {
		return // It left as planned, and cut what it still had: long answers meet that often.
	}
	run := suspects.LostRun{
		Content:   x.fingerprint(),
		QuickHash: x.quickHash(),
		Request:   x.info.ID,
		Replica:   u.ID,
		StartKey:  suspects.StartKeyOf(u.ID, u.Started),
		Addr:      u.Addr,
		Begun:     a.startedAt,
		At:        now,
	}
	if silent {
		x.g.suspects.RecordLostRun(run)
		return
	}
	conn, err := dialUpstream(u.Addr.String())
	switch {
	case err == nil:
		x.g.conns.put(u.ID, conn)
		run.Reachable = true
		x.g.suspects.RecordLostRun(run)
	case suspects.NotListening(err):
		x.recordUnreachable(u, boottime.Now())
		x.g.suspects.RecordEnd(run, boottime.Now())
	default:
		x.g.suspects.RecordLostRun(run)
	}
}

// recordNotReached notes that a replica took no connection.
func (x *exchange) recordNotReached(u *site.Upstream, err error, now time.Time) {
	x.recordUnreachable(u, now)
	if suspects.NotListening(err) {
		x.g.suspects.RecordNotListening(suspects.StartKeyOf(u.ID, u.Started), now)
	}
}
