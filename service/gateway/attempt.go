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

// fate is what is known of one attempt at a replica.
type fate int

// Fates of attempts.
const (
	// fateUnsent: no byte has left, so it did not run.
	fateUnsent fate = iota
	// fateOver: no byte has left, as there is nobody to send it for any more.
	fateOver
	// fateWithdrawn: no byte has left, as the replica takes no request any more.
	fateWithdrawn
	// fateNotRun: the replica says that it did not run.
	fateNotRun
	// fateUnknown: it may have run.
	fateUnknown
	// fateAnswered: there is an answer.
	fateAnswered
)

// attempt is one try of a request at one replica.
type attempt struct {
	conns   *upstreamConns
	codec   Codec
	choice  route.Choice
	flight  *route.InFlightRequest
	plan    *route.Plan
	realm   string // Of the prompt's kept state.
	begun   time.Time
	took    time.Duration // To the first byte of the answer's body.
	last    time.Time     // When bytes of the body came last.
	longest time.Duration // Pause between them.
	conn    *upstreamConn
	stop    func() bool
	// written is set once the whole request was handed to the connection.
	written atomic.Bool
	writing chan struct{}
	crossed bool
	// answered is set once the replica has given its whole answer.
	answered bool

	head   *http1.Head
	body   *http1.Body
	answer site.ResponseInfo
}

// newAttempt records that a request is about to be sent to a replica.
func newAttempt(x *exchange, c route.Choice, p *route.Plan, now time.Time) *attempt {
	return &attempt{
		conns:   x.g.conns,
		codec:   x.g.codec,
		choice:  c,
		flight:  x.pool.Begin(c, now),
		plan:    p,
		begun:   now,
		writing: make(chan struct{}),
	}
}

// first records that the first byte of the answer has come.
func (a *attempt) first(now time.Time) {
	if a.took > 0 {
		return
	}
	a.took = now.Sub(a.begun)
	a.plan.FirstByte(a.flight.FirstByte(now), now)
}

// gap notes the pause before bytes of a stream.
func (a *attempt) gap(now time.Time) {
	if !a.last.IsZero() {
		a.longest = max(a.longest, now.Sub(a.last))
	}
	a.last = now
}

// end records how the attempt ended.
func (a *attempt) end(o route.Outcome, now time.Time) {
	a.flight.End(o, now)
}

// begin sends a request to a replica and waits for the head of its answer. It
// ends when ctx does.
func (a *attempt) begin(ctx context.Context, x *exchange, d *site.Dispatch) (f fate, err error) {
	rested := restedLong
	if !x.route.Repeatable() {
		rested = restedShort
	}
	if a.conn, err = a.conns.take(a.choice.ID, a.choice.Addr, rested); err != nil {
		return fateUnsent, err
	}
	conn := a.conn.conn
	if x.over(ctx) { // A grant, or connecting, may have taken long.
		a.conn.close()
		a.conn = nil
		return fateOver, nil
	}
	if !x.pool.Accepts(&a.choice.Upstream, boottime.Now()) {
		a.conns.give(a.choice.ID, a.conn)
		a.conn = nil
		return fateWithdrawn, nil
	}
	// It ends reads and writes, and what a replica has not yet taken does not reach it
	// late.
	a.stop = context.AfterFunc(ctx, func() { http1.Abort(conn) })
	length := http1.NoLength
	if len(x.body) > 0 || x.head.Has("Content-Length") || x.head.Has("Transfer-Encoding") {
		length = len(x.body)
	}
	message := http1.AppendRequest(nil, x.head.Method, x.head.Target, a.codec.UpstreamHeaders(x.head, d), length)
	go a.write(message, x.body)
	a.head, a.body, a.crossed, err = a.conn.readAnswer(x.head.Method, x.terms.ID, a.codec)
	if err != nil {
		a.discard()
		return fateUnknown, err
	}
	a.answer = a.codec.ResponseInfo(a.head)
	if a.answer.NotRun {
		return fateNotRun, nil
	}
	return fateAnswered, nil
}

const (
	// restedLong and restedShort bound how long a connection may have rested. A
	// replica may forget one early, and a request lost that way must not be
	// sent again if it may run once only. At 1.5 s for those, 0.4 connections were
	// made for each request; now 0.25 are, and no more requests are lost.
	restedLong  = 10 * time.Second
	restedShort = 6 * time.Second
)

// write sends the request; reading the answer notices when it fails.
func (a *attempt) write(message, body []byte) {
	defer close(a.writing)
	buffers := net.Buffers{message}
	if len(body) > 0 {
		buffers = append(buffers, body)
	}
	if _, err := buffers.WriteTo(a.conn.conn); err == nil {
		a.written.Store(true)
	}
}

// finish gives the connection back if it may be used again, and closes it
// otherwise.
func (a *attempt) finish() {
	if a.conn == nil {
		return
	}
	stopped := a.stop()
	last := a.head == nil || a.head.Close() || a.crossed || !a.body.Done() ||
		a.body.Framing() == http1.FramingClose || !a.written.Load()
	if last || !stopped {
		a.discard()
		return
	}
	a.conn.keepFrom(a.head)
	a.conns.give(a.choice.ID, a.conn)
	a.conn = nil
}

// discard closes the connection, which also has the replica stop its work.
func (a *attempt) discard() {
	if a.conn == nil {
		return
	}
	a.stop()
	a.conn.close()
	<-a.writing
	a.conn = nil
}

// lostPeer says whether an error shows that the replica can't be reached, as
// against one that closed the connection.
func lostPeer(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout() && !errors.Is(err, os.ErrDeadlineExceeded)
}

// silentLeast is for how long a replica must have said nothing on a connection that is
// given up for those that rest to be given up with it. Most answers begin sooner, so
// that slow ones cost few new connections.
const silentLeast = time.Second

// dropResting closes the resting connections to a replica from which an attempt that
// ended had heard nothing for long: where a path has lost what was open on it, each of
// them would cost another request its whole time.
func (x *exchange) dropResting(a *attempt, now time.Time) {
	heard := a.begun
	if a.last.After(heard) {
		heard = a.last
	}
	quiet := now.Sub(heard)
	if quiet < silentLeast {
		return
	}
	if n := x.g.conns.lost(a.choice.ID); n > 0 {
		x.g.metrics.idleConnsClosed.Add(int64(n))
		x.g.log.Warn("idle connections closed", "request", x.terms.ID, "replica", a.choice.ID, "quiet", quiet, "closed", n)
	}
}

// readWhole reads a body that is answered whole.
func (a *attempt) readWhole() ([]byte, error) { return http1.ReadAll(a.body, maxWhole) }

// maxWhole bounds a replica's answer that is not a stream, in bytes.
const maxWhole = 32 << 20

// failedStatus says whether an answer is a failure of the replica's own.
func failedStatus(status int) bool { return status >= http.StatusInternalServerError }
