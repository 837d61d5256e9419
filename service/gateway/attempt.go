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

// attemptResult is what is known of one attempt at a replica.
type attemptResult int

// Fates of attempts.
const (
	// resultUnsent: no byte has left, so it did not run.
	resultUnsent attemptResult = iota
	// resultAbandoned: no byte has left, as there is nobody to send it for any more.
	resultAbandoned
	// resultReplicaWithdrawn: no byte has left, as the replica takes no request any more.
	resultReplicaWithdrawn
	// resultNotRun: the replica says that it did not run.
	resultNotRun
	// resultUnknown: it may have run.
	resultUnknown
	// resultAnswered: there is an answer.
	resultAnswered
)

// attempt is one try of a request at one replica.
type attempt struct {
	conns          *upstreamConns
	codec          Codec
	choice         route.Choice
	inFlight       *route.InFlightRequest
	plan           *route.Plan
	realm          string // Of the prompt's kept state.
	startedAt      time.Time
	firstByteAfter time.Duration // To the first byte of the answer's body.
	lastBytesAt    time.Time     // When bytes of the body came last.
	longestPause   time.Duration // Pause between them.
	conn           *upstreamConn
	cancelAbort    func() bool
	// written is set once the whole request was handed to the connection.
	written    atomic.Bool
	writeDone  chan struct{}
	mismatched bool
	// answered is set once the replica has given its whole answer.
	answered bool

	head *http1.Head
	body *http1.Body
	info site.ResponseInfo
}

// newAttempt records that a request is about to be sent to a replica.
func newAttempt(x *exchange, c route.Choice, p *route.Plan, now time.Time) *attempt {
	return &attempt{
		conns:     x.g.conns,
		codec:     x.g.codec,
		choice:    c,
		inFlight:  x.pool.Begin(c, now),
		plan:      p,
		startedAt: now,
		writeDone: make(chan struct{}),
	}
}

// recordFirstByte records that the first byte of the answer has come.
func (a *attempt) recordFirstByte(now time.Time) {
	if a.firstByteAfter > 0 {
		return
	}
	a.firstByteAfter = now.Sub(a.startedAt)
	a.plan.FirstByte(a.inFlight.FirstByte(now), now)
}

// recordBodyBytes notes the pause before bytes of a stream.
func (a *attempt) recordBodyBytes(now time.Time) {
	if !a.lastBytesAt.IsZero() {
		a.longestPause = max(a.longestPause, now.Sub(a.lastBytesAt))
	}
	a.lastBytesAt = now
}

// end records how the attempt ended.
func (a *attempt) end(o route.Outcome, now time.Time) {
	a.inFlight.End(o, now)
}

// sendRequest sends a request to a replica and waits for the head of its answer. It
// ends when ctx does.
func (a *attempt) sendRequest(ctx context.Context, x *exchange, d *site.Dispatch) (result attemptResult, err error) {
	maxIdle := maxIdleRepeatable
	if !x.route.Repeatable() {
		maxIdle = maxIdleOnce
	}
	if a.conn, err = a.conns.get(a.choice.ID, a.choice.Addr, maxIdle); err != nil {
		return resultUnsent, err
	}
	conn := a.conn.conn
	if x.abandoned(ctx) { // A grant, or connecting, may have taken long.
		a.conn.close()
		a.conn = nil
		return resultAbandoned, nil
	}
	if !x.pool.Accepts(&a.choice.Upstream, boottime.Now()) {
		a.conns.put(a.choice.ID, a.conn)
		a.conn = nil
		return resultReplicaWithdrawn, nil
	}
	// It ends reads and writes, and what a replica has not yet taken does not reach it
	// late.
	a.cancelAbort = context.AfterFunc(ctx, func() { http1.Abort(conn) })
	length := http1.NoLength
	if len(x.body) > 0 || x.head.Has("Content-Length") || x.head.Has("Transfer-Encoding") {
		length = len(x.body)
	}
	message := http1.AppendRequest(nil, x.head.Method, x.head.Target, a.codec.UpstreamHeaders(x.head, d), length)
	go a.write(message, x.body)
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
	// maxIdleRepeatable and restedShort bound how long a connection may have rested. A
	// replica may forget one early, and a request lost that way must not be
	// sent again if it may run once only. At 1.5 s for those, 0.4 connections were
	// made for each request; now 0.25 are, and no more requests are lost.
	maxIdleRepeatable = 10 * time.Second
	maxIdleOnce       = 6 * time.Second
)

// write sends the request; reading the answer notices when it fails.
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

// releaseConn gives the connection back if it may be used again, and closes it
// otherwise.
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
	a.conns.put(a.choice.ID, a.conn)
	a.conn = nil
}

// closeConn closes the connection, which also has the replica stop its work.
func (a *attempt) closeConn() {
	if a.conn == nil {
		return
	}
	a.cancelAbort()
	a.conn.close()
	<-a.writeDone
	a.conn = nil
}

// isUnreachable says whether an error shows that the replica can't be reached, as
// against one that closed the connection.
func isUnreachable(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout() && !errors.Is(err, os.ErrDeadlineExceeded)
}

// minSilence is for how long a replica must have said nothing on a connection that is
// given up for those that rest to be given up with it. Most answers begin sooner, so
// that slow ones cost few new connections.
const minSilence = time.Second

// closeIdleAfterSilence closes the resting connections to a replica from which an attempt that
// ended had heard nothing for long: where a path has lost what was open on it, each of
// them would cost another request its whole time.
func (x *exchange) closeIdleAfterSilence(a *attempt, now time.Time) {
	lastHeard := a.startedAt
	if a.lastBytesAt.After(lastHeard) {
		lastHeard = a.lastBytesAt
	}
	silence := now.Sub(lastHeard)
	if silence < minSilence {
		return
	}
	if n := x.g.conns.closeIdle(a.choice.ID); n > 0 {
		x.g.metrics.dropped.Add(int64(n))
		x.g.log.Warn("idle connections closed", "request", x.info.ID, "replica", a.choice.ID, "quiet", silence, "closed", n)
	}
}

// readBody reads a body that is answered whole.
func (a *attempt) readBody() ([]byte, error) { return http1.ReadAll(a.body, maxAnswerBytes) }

// maxAnswerBytes bounds a replica's answer that is not a stream, in bytes.
const maxAnswerBytes = 32 << 20

// isServerError says whether an answer is a failure of the replica's own.
func isServerError(status int) bool { return status >= http.StatusInternalServerError }
