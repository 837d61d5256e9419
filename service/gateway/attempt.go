package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

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
	// fateNotRun: the replica says that it did not run.
	fateNotRun
	// fateUnknown: it may have run.
	fateUnknown
	// fateAnswered: there is an answer.
	fateAnswered
)

// attempt is one try of a request at one replica.
type attempt struct {
	conns  *upstreamConns
	codec  Codec
	choice route.Choice
	conn   *upstreamConn
	stop   func() bool
	// written is set once the whole request was handed to the connection.
	written atomic.Bool
	writing chan struct{}
	crossed bool

	head   *http1.Head
	body   *http1.Body
	answer site.Answer
}

// beginAttempt sends a request to a replica and waits for the head of its
// answer. It ends when ctx does.
func (g *Gateway) beginAttempt(ctx context.Context, x *exchange, c route.Choice, d *site.Dispatch) (a *attempt, f fate, err error) {
	a = &attempt{conns: g.conns, codec: g.codec, choice: c, writing: make(chan struct{})}
	rested := restedLong
	if !x.route.Repeatable() {
		rested = restedShort
	}
	if a.conn, err = g.conns.take(c.ID, c.Addr, rested); err != nil {
		return a, fateUnsent, err
	}
	conn := a.conn.conn
	a.stop = context.AfterFunc(ctx, func() { _ = conn.Close() }) // It ends reads and writes.
	length := http1.NoLength
	if len(x.body) > 0 || x.head.Has("Content-Length") || x.head.Has("Transfer-Encoding") {
		length = len(x.body)
	}
	message := http1.AppendRequest(nil, x.head.Method, x.head.Target, g.codec.Forwarded(x.head, d), length)
	go a.write(message, x.body)
	a.head, a.body, a.crossed, err = a.conn.readAnswer(x.head.Method, x.terms.ID, g.codec)
	if err != nil {
		a.discard()
		return a, fateUnknown, err
	}
	a.answer = g.codec.Answer(a.head)
	if a.answer.NotRun {
		return a, fateNotRun, nil
	}
	return a, fateAnswered, nil
}

const (
	// restedLong and restedShort bound how long a connection may have rested. A
	// replica may forget one early, and a request lost that way must not be
	// sent again if it may run once only.
	restedLong  = 10 * time.Second
	restedShort = 1500 * time.Millisecond
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
		a.body.Framing() == http1.FramedClose || !a.written.Load()
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

// readWhole reads a body that is answered whole.
func (a *attempt) readWhole() ([]byte, error) { return http1.ReadAll(a.body, maxWhole) }

// maxWhole bounds a replica's answer that is not a stream, in bytes.
const maxWhole = 32 << 20

// failedStatus says whether an answer is a failure of the replica's own.
func failedStatus(status int) bool { return status >= http.StatusInternalServerError }
