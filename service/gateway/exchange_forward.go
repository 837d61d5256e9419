package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/route"
)

// connect makes or reuses a connection to the replica, or to a node that forwards the request
// while there is no path to the replica.
func (a *attempt) connect(ctx context.Context, x *exchange, maxIdle time.Duration) (err error) {
	u, f := &a.choice.Upstream, x.g.forwarding
	if a.choice.NewConnection {
		maxIdle = 0
	}
	if !f.lost(u) && !(x.slowConnects > 0 && f.enabled()) {
		if a.conn = a.conns.getIdle(u.ID, maxIdle); a.conn != nil {
			return nil
		}
		if a.conn, err = a.conns.dial(u.ID, u.Addr, upstreamDialTimeout); err == nil {
			f.recordConnected(u)
		}
		return err
	}
	// Connections on which the replica was just heard may live on while no new ones are made.
	if c := a.conns.contact(u.ID, u.Addr); c.heardAt.Load() != 0 && c.silence() < route.CheckSilence {
		if a.conn = a.conns.getIdle(u.ID, maxIdle); a.conn != nil {
			return nil
		}
	}
	if a.conn, a.via, err = f.connect(ctx, u, &x.forwardersTried, maxIdle); err != nil {
		return err
	}
	f.counts.sent.Add(1)
	a.conns, a.connKey = f.conns, a.via.name
	return nil
}

// endVia ends the attempt's count at the node that forwards it.
func (a *attempt) endVia() {
	if a.via != nil && a.via.end != nil {
		a.via.end()
		a.via.end = nil
	}
}

// viaName is the name of the node that forwards the attempt, "" for none.
func (a *attempt) viaName() string {
	if a.via == nil {
		return ""
	}
	return a.via.name
}

// closeUnsent closes a connection on which nothing was sent.
func (a *attempt) closeUnsent() {
	a.conn.close()
	a.conn = nil
	a.endVia()
}

// forwardLine returns what precedes the request if another node forwards it.
func (a *attempt) forwardLine(x *exchange) ([]byte, error) {
	if a.via == nil {
		return nil, nil
	}
	return appendForwardLine(nil, forwardHead{
		Replica:    newForwardedReplica(&a.choice.Upstream),
		Node:       x.g.nodes.self.Name,
		Request:    x.info.ID,
		Content:    x.fingerprint(),
		QuickHash:  x.quickHash(),
		Parts:      x.sharedParts(),
		Repeatable: x.route.Repeatable(),
		Streaming:  x.route.Streaming,
		ExpectedMS: a.choice.Expected.Milliseconds(),
		PauseMS:    x.route.GapTarget.Milliseconds(),
		LeftMS:     boottime.Until(x.deadline).Milliseconds(),
	})
}

// readForwardReply reads what precedes the replica's answer if another node forwards the request.
// The error is a *notForwardedError if that node did not send it on.
func (a *attempt) readForwardReply(x *exchange) error {
	if a.via == nil {
		return nil
	}
	var reply forwardReply
	if err := readForwardLine(a.conn.r, &reply); err != nil {
		return unexpectedEOF(err)
	}
	if reply.Reason == "" {
		x.g.forwarding.paths.RecordForwarder(a.via.name, reply.Load, boottime.Now())
		return nil
	}
	return &notForwardedError{node: a.via.name, reason: reply.Reason}
}

// notForwarded returns the result of an attempt that got no answer by way of another node.
func (a *attempt) notForwarded(err error) (attemptResult, error) {
	result := resultUnknown
	if isNotForwarded(err) {
		result = resultUnsent
	}
	a.closeConn()
	return result, err
}

// isNotForwarded reports whether an error means that no other node has sent the request on.
func isNotForwarded(err error) bool {
	var notSent *notForwardedError
	return errors.As(err, &notSent) || errors.Is(err, errNoForwarder)
}

// handleNotForwarded decides how to go on when a request that needs another node was not sent on.
func (x *exchange) handleNotForwarded(ctx context.Context, a *attempt, err error, now time.Time) (bool, refusal) {
	a.end(route.OutcomeNeutral, now)
	a.plan.Cancel()
	x.notRunCount++
	x.unreached++
	x.connecting += now.Sub(a.startedAt)
	f := x.g.forwarding
	f.counts.notSent.Add(1)
	var notSent *notForwardedError
	if !errors.As(err, &notSent) {
		x.g.log.Warn("replica not reached", "request", x.info.ID, "replica", a.choice.ID, "addr", a.choice.Addr, "after", now.Sub(a.startedAt), "err", err)
		x.pickInput.Exclude = append(x.pickInput.Exclude, a.choice.ID)
		return x.notRunCount <= maxRefusals && ctx.Err() == nil, x.noReplicaRefusal()
	}
	x.g.log.Warn("request not forwarded", "request", x.info.ID, "node", notSent.node, "replica", a.choice.ID, "reason", string(notSent.reason))
	switch notSent.reason {
	case notForwardedUnreachable:
		f.paths.RecordForwarder(notSent.node, 0, now) // It reaches other replicas.
		x.pickInput.Exclude = append(x.pickInput.Exclude, a.choice.ID)
		f.resurvey(x.pool, &a.choice.Upstream)
	case notForwardedExcluded:
		x.pickInput.Exclude = append(x.pickInput.Exclude, a.choice.ID)
	default:
		f.paths.PauseForwarder(notSent.node, now)
		x.forwardersTried = append(x.forwardersTried, notSent.node)
	}
	again := x.notRunCount <= maxRefusals+maxForwardTries && ctx.Err() == nil
	return again, x.noReplicaRefusal()
}
