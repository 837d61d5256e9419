package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/http1"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
)

// attemptResult is what is known about one attempt to send a request to a replica.
type attemptResult int

// Results of attempts.
const (
	// resultUnsent: no connection could be made, so the request did not run.
	resultUnsent attemptResult = iota
	// resultAbandoned: nothing was sent because no client waits for the answer any more.
	resultAbandoned
	// resultReplicaWithdrawn: nothing was sent because the replica no longer accepts
	// requests.
	resultReplicaWithdrawn
	// resultNotRun: the replica answered that it did not run the request.
	resultNotRun
	// resultUnknown: the request may have run.
	resultUnknown
	// resultAnswered: the replica has begun an answer.
	resultAnswered
)

// attempt is one attempt to have a request served by one replica.
type attempt struct {
	conns          *upstreamConns
	codec          Codec
	choice         route.Choice
	inFlight       *route.InFlightRequest
	plan           *route.Plan
	realm          string // Namespace of the prompt's KV cache, see the type realm.
	startedAt      time.Time
	firstByteAfter time.Duration // From startedAt to the first byte of the answer's body.
	lastBytesAt    time.Time     // When bytes of the body last arrived.
	longestPause   time.Duration // Longest time between two reads of the body.
	unread         time.Duration // For which the answer was left unread for want of memory.
	conn           *upstreamConn
	// connKey is the key of conn in conns: the replica's ID, or the name of the node that forwards.
	connKey     string
	via         *via        // The node that forwards the attempt, nil if it is sent directly.
	cancelAbort func() bool // Keeps the end of the context from aborting conn.
	// written is set once the whole request has been written to the connection.
	written    atomic.Bool
	writeDone  chan struct{} // Closed when write returns.
	mismatched bool          // Answers to other requests arrived before this one's.
	// answered is set once the replica's whole answer has been read. endUnconfirmed means that the answer ended with
	// its connection and that the replica is not known to be alive.
	answered       bool
	endUnconfirmed bool
	canary         canaryAttempt
	handoff        *handoff // Nil unless the run is being handed over.
	// origin is the attempt whose run this one goes on with, nil for none.
	origin *attempt

	head *http1.Head
	body *http1.Body
	info site.ResponseInfo
}

// newAttempt counts the request as in flight at the chosen replica and returns the
// attempt.
func newAttempt(x *exchange, c route.Choice, p *route.Plan, now time.Time) *attempt {
	return &attempt{
		conns:     x.g.conns,
		codec:     x.g.codec,
		connKey:   c.ID,
		choice:    c,
		inFlight:  x.pool.Begin(c, now),
		plan:      p,
		startedAt: now,
		writeDone: make(chan struct{}),
	}
}

// recordFirstByte records that the first byte of the answer's body has arrived.
func (a *attempt) recordFirstByte(now time.Time) {
	if a.firstByteAfter > 0 {
		return
	}
	a.firstByteAfter = now.Sub(a.startedAt)
	a.plan.FirstByte(a.inFlight.FirstByte(now), now)
}

// recordBodyBytes records the arrival of more of the body, to find the longest pause.
func (a *attempt) recordBodyBytes(now time.Time) {
	if !a.lastBytesAt.IsZero() {
		a.longestPause = max(a.longestPause, now.Sub(a.lastBytesAt))
	}
	a.lastBytesAt = now
	a.conn.recordBody()
}

// end records the outcome of the attempt.
func (a *attempt) end(o route.Outcome, now time.Time) {
	a.inFlight.End(o, now)
}

// sendRequest sends the request to the replica and waits for the head of its answer, at
// most until ctx ends.
func (a *attempt) sendRequest(ctx context.Context, x *exchange, d *site.Dispatch) (result attemptResult, err error) {
	maxIdle := maxIdleRepeatable
	if !x.route.Repeatable() {
		maxIdle = maxIdleOnce
	}
	if err = a.connect(ctx, x, maxIdle); err != nil {
		return resultUnsent, err
	}
	conn := a.conn.conn
	if x.abandoned(ctx) { // Getting a grant or connecting may have taken long.
		a.closeUnsent()
		return resultAbandoned, nil
	}
	if x.isBlocked() || a.inFlight.ExceedsBytes() || a.inFlight.ExceedsSlots() || !x.pool.Accepts(&a.choice.Upstream, boottime.Now()) || a.conn.silent() {
		a.putConn()
		return resultReplicaWithdrawn, nil
	}
	// Aborting ends reads and writes, and drops bytes that the replica has not received
	// yet, so that they don't reach it late.
	a.cancelAbort = context.AfterFunc(ctx, func() { http1.Abort(conn) })
	length := http1.NoLength
	if len(x.body) > 0 || x.head.Has("Content-Length") || x.head.Has("Transfer-Encoding") {
		length = len(x.body)
	}
	message, err := a.forwardLine(x)
	if err != nil {
		a.closeUnsent()
		return resultUnsent, err
	}
	message = http1.AppendRequest(message, x.head.Method, x.head.Target, a.codec.UpstreamHeaders(x.head, d), length)
	a.conns.begin(a.conn, newFlight(x, a))
	go a.write(message, x.body)
	if err = a.readForwardReply(x); err != nil {
		return a.notForwarded(err)
	}
	a.head, a.body, a.mismatched, err = a.conn.readAnswer(x.head.Method, x.info.ID, a.codec)
	if err != nil {
		a.closeConn()
		return resultUnknown, err
	}
	a.info = a.codec.ResponseInfo(a.head)
	if a.info.NotRun {
		return resultNotRun, nil
	}
	return resultAnswered, nil
}

const (
	// maxIdleRepeatable and maxIdleOnce bound how long a connection may have been idle
	// before it is used again, for requests that may be repeated and for those that may
	// run only once. A replica may close an idle connection early, and a request lost
	// that way must not be sent again if it may run only once. At 1.5 s for those, 0.4
	// connections were made per request; at 6 s it is 0.25, and no more requests are
	// lost.
	maxIdleRepeatable = 10 * time.Second
	maxIdleOnce       = 6 * time.Second
)

// write sends the request. It returns no error: reading the answer fails if writing did.
func (a *attempt) write(message, body []byte) {
	defer close(a.writeDone)
	buffers := net.Buffers{message}
	if len(body) > 0 {
		buffers = append(buffers, body)
	}
	if _, err := buffers.WriteTo(a.conn.conn); err == nil {
		a.written.Store(true)
	}
}

// releaseConn puts the connection back into the pool if it can be used again, and closes
// it otherwise.
func (a *attempt) releaseConn() {
	if a.conn == nil {
		return
	}
	notAborted := a.cancelAbort()
	unusable := a.head == nil || a.head.Close() || a.mismatched || !a.body.Done() ||
		a.body.Framing() == http1.FramingClose || !a.written.Load()
	if unusable || !notAborted {
		a.closeConn()
		return
	}
	a.conn.readKeepAlive(a.head)
	a.putConn()
}

// putConn returns the connection to the pool.
func (a *attempt) putConn() {
	a.conns.put(a.connKey, a.conn)
	a.conn = nil
	a.endVia()
}

// closeConn closes the connection, which also makes the replica stop working on the
// request.
func (a *attempt) closeConn() {
	if a.conn == nil {
		return
	}
	a.cancelAbort()
	a.conns.end(a.conn)
	a.conn.close()
	<-a.writeDone
	a.conn = nil
	a.endVia()
}

// isUnreachable reports whether an error means that the replica can't be reached, rather
// than that it closed the connection.
func isUnreachable(err error) bool {
	return timedOut(err) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// minSilence is how long a replica must have sent nothing on an abandoned connection for
// its idle connections to be closed too. Most answers begin sooner, so slow ones cost
// few new connections. route.CheckSilence is enough if nothing came on any connection.
const minSilence = time.Second

// closeIdleAfterSilence closes the idle connections to a replica that had sent nothing
// for a long time when an attempt ended. If the network path has silently dropped its
// open connections, each idle one would cost another request all of its time.
func (x *exchange) closeIdleAfterSilence(a *attempt, now time.Time) {
	lastHeard := a.startedAt
	if a.lastBytesAt.After(lastHeard) {
		lastHeard = a.lastBytesAt
	}
	silence, limit := now.Sub(lastHeard), minSilence
	if a.via == nil {
		x.g.reach.unanswered(x.pool, a, silence)
		if x.g.conns.contact(a.choice.ID, a.choice.Addr).silence() >= route.CheckSilence {
			limit = route.CheckSilence
		}
	}
	if silence < limit {
		return
	}
	if n := a.conns.closeIdle(a.connKey); n > 0 {
		x.g.metrics.idleConnsClosed.Add(int64(n))
		x.g.log.Warn("idle connections closed", "request", x.info.ID, "replica", a.choice.ID, "quiet", silence, "closed", n)
	}
}

// maxAnswerBytes bounds a replica's answer that is not a stream.
const maxAnswerBytes = 32 << 20

// isServerError reports whether a status means that the replica itself failed.
func isServerError(status int) bool { return status >= http.StatusInternalServerError }
