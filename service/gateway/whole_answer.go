package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/http1"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/service/suspects"
)

// wholeAnswer is a replica's answer that has been read completely.
type wholeAnswer struct {
	head *http1.Head
	body [][]byte
	hold *responseHold // Of the body's memory.
}

// minUnreadToExcuse is how long a response must have been left unread for the end of its
// connection not to count against the replica: replicas wait for some seconds.
const minUnreadToExcuse = time.Second

// cutOffUnread reports whether an error of reading the answer probably means that the replica did
// not wait any longer for the node to read.
func (w *wholeAnswer) cutOffUnread(err error) bool {
	return w.hold.waited >= minUnreadToExcuse && !errors.Is(err, http1.ErrMalformed) && !errors.Is(err, http1.ErrBodyTooLarge)
}

// readWhole reads an answer that is not a stream, as fast as there is memory for it. After an
// error only the hold is valid, which has no memory any more.
func (x *exchange) readWhole(ctx context.Context, a *attempt) (w *wholeAnswer, err error) {
	// Requests that hold one answer and wait for the memory of another could wait for each other.
	if f := x.failedAnswer; f != nil && f.hold.counted > 0 {
		x.dropFailedAnswer()
	}
	w = &wholeAnswer{head: a.head, hold: x.g.responses.hold(x.organisationName())}
	w.body, err = http1.ReadPieces(a.body, maxAnswerBytes, func(n int) error { return w.hold.grow(ctx, int64(n)) })
	if err == nil {
		err = x.confirmEnd(a)
	}
	a.unread = w.hold.waited
	if err != nil {
		w.hold.release()
	}
	return w, err
}

const (
	// endSettleTime is how long after it was made a connection must be open for its replica to be alive: the kernel
	// closes the sockets of a process that ends one after the other.
	endSettleTime = 3 * time.Millisecond
	// endChecks is how many connections are made if they are reset. A replica that is ending refuses the second one;
	// one that has too many resets both.
	endChecks = 2
)

// confirmEnd returns an error if the answer ended with its connection, but not as its replica had sent it whole: the
// replica has ended, or the connection has failed. Without it a replica that was killed between two events had its streams
// passed on as whole ones.
func (x *exchange) confirmEnd(a *attempt) error {
	if a.body.Framing() != http1.FramingClose {
		return nil
	}
	if !sentWhole(a.writeDone, &a.written) {
		return http1.ErrBodyTruncated
	}
	alive, err := x.g.checkEndOfConnection(x.pool, &a.choice.Upstream)
	a.endUnconfirmed = !alive
	return err
}

// sendSettleTime is how long after the end of its answer a request may go on being sent.
const sendSettleTime = 500 * time.Millisecond

// sentWhole reports whether a request has been sent to its end, done being closed when sending ends. If that failed, the end of
// the connection tells nothing: the kernel reports a reset once, so if a write gets it, reads get an orderly end.
func sentWhole(done <-chan struct{}, written *atomic.Bool) bool {
	select {
	case <-done:
	case <-time.After(sendSettleTime):
	}
	return written.Load()
}

// checkEndOfConnection finds out whether a replica has ended that has just closed the connection of an answer with
// neither a length nor chunks. The error is http1.ErrBodyTruncated if it has, without having announced it; alive means
// that it has not.
func (g *Gateway) checkEndOfConnection(p *route.Pool, u *site.Upstream) (alive bool, err error) {
	if !p.IsActive(u.ID) {
		return false, nil // A replica that is shutting down completes its answers.
	}
	endedAt := boottime.Now()
	for range endChecks {
		conn, err := g.conns.dial(u.ID, u.Addr, upstreamDialTimeout)
		switch {
		case suspects.NotListening(err) && g.forwarding.faultOf(p, u, err, endedAt) != route.FaultOfPath:
			return false, http1.ErrBodyTruncated
		case err != nil:
			return false, nil
		}
		time.Sleep(endSettleTime)
		if http1.Idle(conn.conn) {
			g.conns.put(u.ID, conn)
			return true, nil
		}
		conn.close()
	}
	return false, nil
}

// handleCutOffUnread decides how to go on when a replica did not wait for the node to read its
// answer. The replica is not at fault.
func (x *exchange) handleCutOffUnread(a *attempt, w *wholeAnswer, err error, now time.Time) (bool, refusal) {
	a.end(route.OutcomeNeutral, now)
	x.g.responses.cutOff.Add(1)
	x.g.log.Warn("response cut off unread", "request", x.info.ID, "route", x.route.Name, "replica", a.choice.ID,
		"waited", w.hold.waited, "attempts", x.mayHaveRun, "err", err)
	again, f := x.mayRepeat(a.choice.ID, now)
	if !again {
		f.reason = reasonResponseMemory
	}
	return again, f
}

// writeWhole sends a replica's answer to the client, and gives its memory back.
func (x *exchange) writeWhole(w *wholeAnswer) {
	x.out.writeAnswer(w.head.Status, w.head.EndToEnd(), w.body...)
	w.body = nil
	w.hold.release()
}

// dropFailedAnswer gives the memory of a kept error answer back.
func (x *exchange) dropFailedAnswer() {
	if x.failedAnswer != nil {
		x.failedAnswer.body = nil
		x.failedAnswer.hold.release()
		x.failedAnswer = nil
	}
}
