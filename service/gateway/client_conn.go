package gateway

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/http1"
	"github.com/drumpath/drumpath/pkg/site"
)

// clientConn is one connection of a client. It carries one request at a time.
//
//	state     entered by            left by
//	resting   accept, an answer     the first byte, a close, the idle limit, a stop
//	heading   the first byte        the whole head, a fault, the limit of the head
//	bodying   the head              the whole body, a fault, the request's limit
//	serving   the body              the answer, the client's leaving
//	refused   a fault               the client's close, a short while
//
// While a request is served, another goroutine waits for the next byte, so that
// a client that leaves is noticed at once.
type clientConn struct {
	g    *Gateway
	conn net.Conn
	r    *bufio.Reader
	// mu keeps the end of a rest and its hurrying apart: a deadline that is set
	// once a request is served would look as if its client had left.
	mu      sync.Mutex
	state   connState
	entered time.Time // The state.
	hurried bool      // The rest is ending.
	// next tells when the first byte of the next request has come.
	next chan error
}

// connState is what a connection carries.
type connState int

// States of connections.
const (
	connResting connState = iota
	connHeading
	connBodying
	connServing
	connRefused
	connStates // How many there are.
)

const (
	clientBuffer = 4 << 10
	// writeSlack is how long after a request's limit its answer may be written.
	writeSlack = 2 * time.Second
	// lingerTime is for how long a client that is refused is read on, so that it
	// sees the answer and not a reset.
	lingerTime = 500 * time.Millisecond
	// leaveEvery is how often it is looked whether a client has left that has sent
	// more: a fifth of the half second within which a replica is to stop.
	leaveEvery = 100 * time.Millisecond
	// bodyTime bounds a body whose head tells no limit.
	bodyTime = 10 * time.Second
)

func newClientConn(g *Gateway, conn net.Conn) *clientConn {
	return &clientConn{
		g:       g,
		conn:    conn,
		r:       bufio.NewReaderSize(conn, clientBuffer),
		entered: time.Now(),
		next:    make(chan error, 1),
	}
}

// serve carries requests until the connection ends.
func (c *clientConn) serve() {
	defer c.close()
	c.await(context.Background(), nil)
	for c.rest() {
		if !c.one() {
			return
		}
	}
}

// await waits for the next byte beside whatever else is done until ctx ends; left is
// called if the connection ends instead, or behind that byte.
func (c *clientConn) await(ctx context.Context, left context.CancelCauseFunc) {
	go func() {
		_, err := c.r.Peek(1)
		if err != nil && left != nil {
			left(leaveCause(err))
		}
		c.next <- err
		if err == nil && left != nil {
			c.watch(ctx, left)
		}
	}()
}

// watch looks whether the client leaves. Bytes of its next request, which nobody reads
// yet, keep a read from telling so.
func (c *clientConn) watch(ctx context.Context, left context.CancelCauseFunc) {
	t := time.NewTicker(leaveEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if err := clientLeft(c.conn); err != nil {
			left(err)
			return
		}
	}
}

// clientLeft is why a client's connection carries no answer any more, nil if it does.
func clientLeft(conn net.Conn) error {
	left, err := http1.PeerClosed(conn)
	switch {
	case err != nil:
		return leaveCause(err)
	case left:
		return errClientLeft
	default:
		return nil
	}
}

// leaveCause tells a connection that the node has closed from one that its client has.
func leaveCause(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return errStopped
	}
	return errClientLeft
}

// rest waits for the next request and says whether there is one.
func (c *clientConn) rest() bool {
	c.setReadLimit(c.g.limits().IdleTimeout)
	c.enter(connResting)
	defer c.enter(connHeading)
	if !c.g.keepsIdleConns() {
		c.hurry()
	}
	return <-c.next == nil
}

func (c *clientConn) enter(s connState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.entered, c.hurried = s, time.Now(), false
}

func (c *clientConn) carries() connState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// restsSince is when the connection came to rest; ok is false if it does not rest, or
// its rest is ending.
func (c *clientConn) restsSince() (t time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entered, c.state == connResting && !c.hurried
}

// hurry ends a rest, and says whether the connection rests.
func (c *clientConn) hurry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connResting {
		return false
	}
	c.hurried = true
	_ = c.conn.SetReadDeadline(time.Now()) // A closed one has ended its rest.
	return true
}

func (c *clientConn) setReadLimit(d time.Duration) {
	_ = c.conn.SetReadDeadline(time.Now().Add(d)) // The next read tells.
}

// one serves one request and says whether another may follow.
func (c *clientConn) one() bool {
	limits := c.g.limits()
	c.setReadLimit(limits.HeadTimeout)
	head, err := http1.ReadRequest(c.r, limits.HeadBytes)
	if err != nil {
		c.refuseRead(err)
		return false
	}
	c.enter(connBodying)
	c.g.look()
	came := boottime.Now()
	terms, termsErr := c.g.codec.RequestInfo(head)
	body, err := c.readBody(head, &terms, limits, came)
	if err != nil {
		c.refuseRead(err)
		return false
	}
	c.enter(connServing)
	_ = c.conn.SetReadDeadline(time.Time{}) // The next read tells.
	last := head.Close()
	w := &clientWriter{
		conn:     c.conn,
		headless: head.Method == http.MethodHead,
		old:      head.Minor == 0,
		closing:  func() bool { return last || c.g.stopping() },
	}
	_ = c.conn.SetWriteDeadline(boottime.Monotonic(came.Add(c.g.maxRequestTime(&terms) + writeSlack))) // The next write tells.
	c.g.inFlight.Add(1)
	defer c.g.inFlight.Add(-1)
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	c.await(ctx, cancel)
	x := &exchange{g: c.g, out: w, head: head, body: body, terms: terms, came: came, cancel: cancel}
	if termsErr != nil {
		x.limit = came
		x.refuse(refuse(http.StatusBadRequest, reasonBadRequest))
	} else {
		x.serve(ctx)
	}
	return w.ended && !w.last()
}

// readBody reads a request's body within the time that the request has.
func (c *clientConn) readBody(h *http1.Head, t *site.RequestInfo, l site.Limits, came time.Time) ([]byte, error) {
	b, err := http1.RequestBody(h, c.r)
	if err != nil || b.Done() {
		return nil, err
	}
	if strings.EqualFold(h.Get("Expect"), "100-continue") {
		if _, err := c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, err
		}
	}
	within := bodyTime
	if t.ClientTimeout > 0 {
		within = t.ClientTimeout
	}
	_ = c.conn.SetReadDeadline(boottime.Monotonic(came.Add(within))) // The next read tells.
	return http1.ReadAll(b, l.BodyBytes)
}

// refuseRead answers what could not be read as a request; a connection that has
// broken is only closed.
func (c *clientConn) refuseRead(err error) {
	c.enter(connRefused)
	f := refusal{}
	switch {
	case errors.Is(err, http1.ErrMalformed):
		f = refuse(http.StatusBadRequest, reasonBadRequest)
	case errors.Is(err, http1.ErrHeadTooLarge):
		f = refuse(http.StatusRequestHeaderFieldsTooLarge, reasonHeadTooLarge)
	case errors.Is(err, http1.ErrBodyTooLarge):
		f = refuse(http.StatusRequestEntityTooLarge, reasonTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		f = refuse(http.StatusRequestTimeout, reasonTooSlow)
	default:
		return
	}
	c.g.metrics.countRefusal(f.reason)
	_ = c.conn.SetWriteDeadline(time.Now().Add(lingerTime)) // The next write tells.
	if _, err := c.conn.Write(f.message(c.g.codec, "", true)); err != nil {
		return
	}
	c.linger()
}

// linger reads on for a while after a refusal: closing a connection with unread
// bytes resets it, and the client would not see the answer.
func (c *clientConn) linger() {
	if t, ok := c.conn.(*net.TCPConn); ok {
		_ = t.CloseWrite() // What is read on is dropped either way.
	}
	c.setReadLimit(lingerTime)
	buf := make([]byte, clientBuffer)
	for {
		if _, err := c.conn.Read(buf); err != nil {
			return
		}
	}
}

func (c *clientConn) close() {
	_ = c.conn.Close() // There is nothing left to be done with it.
	c.g.clients.remove(c)
}
