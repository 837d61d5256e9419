package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/http1"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/site"
)

// clientConn is one connection of a client. It carries one request at a time.
//
//	state         entered on              left on
//	idle          accept, an answer       the first byte, a close, the idle timeout, a stop
//	reading head  the first byte          the whole head, an error, the head timeout
//	reading body  the head                the whole body, an error, the request's deadline
//	serving       the body                the answer, a close by the client
//	refused       an error                a close by the client, lingerTimeout
//
// While a request is served, another goroutine waits for the next byte, so that it
// notices at once if the client closes the connection.
type clientConn struct {
	g    *Gateway
	conn net.Conn
	r    *bufio.Reader
	// mu orders the end of the idle state and endIdle: a read deadline that is set once
	// a request is served would look as if its client had left.
	mu         locks.Mutex
	state      connState
	stateSince time.Time
	endingIdle bool // Set by endIdle.
	// firstByte receives nil once the first byte of the next request has come, or why
	// none will.
	firstByte chan error
}

// connState is the state of a client's connection.
type connState int

// States of a connection, see clientConn.
const (
	connIdle connState = iota
	connReadingHead
	connReadingBody
	connServing
	connRefused
	connStateCount // Number of states.
)

const (
	clientBufferSize = 4 << 10
	// writeGrace is how long after a request's deadline its answer may be written.
	writeGrace = 2 * time.Second
	// lingerTimeout is how long a refused client's bytes are still read, so that it sees
	// the answer and not a reset.
	lingerTimeout = 500 * time.Millisecond
	// closeCheckInterval is how often a connection with unread bytes is checked for a
	// close by the client: a fifth of the half second within which a replica must stop.
	closeCheckInterval = 100 * time.Millisecond
	// defaultBodyTimeout bounds reading a body whose head sets no timeout.
	defaultBodyTimeout = 10 * time.Second
)

func newClientConn(g *Gateway, conn net.Conn) *clientConn {
	return &clientConn{
		g:          g,
		conn:       conn,
		r:          bufio.NewReaderSize(conn, clientBufferSize),
		stateSince: time.Now(),
		firstByte:  make(chan error, 1),
	}
}

// serve serves requests until the connection ends.
func (c *clientConn) serve() {
	defer c.close()
	c.awaitFirstByte(context.Background(), nil)
	for c.awaitRequest() {
		if !c.serveRequest() {
			return
		}
	}
}

// awaitFirstByte waits in the background for the next byte. It calls onClose if the
// connection closes instead or, until ctx ends, after that byte.
func (c *clientConn) awaitFirstByte(ctx context.Context, onClose context.CancelCauseFunc) {
	go func() {
		_, err := c.r.Peek(1)
		if err != nil && onClose != nil {
			onClose(closeCause(err))
		}
		c.firstByte <- err
		if err == nil && onClose != nil {
			c.watchForClose(ctx, onClose)
		}
	}()
}

// watchForClose polls whether the client closes the connection. A read would not show
// it, because unread bytes of the client's next request come first.
func (c *clientConn) watchForClose(ctx context.Context, onClose context.CancelCauseFunc) {
	t := time.NewTicker(closeCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if err := connClosed(c.conn); err != nil {
			onClose(err)
			return
		}
	}
}

// connClosed returns why a client's connection can't carry an answer any more, nil if it
// can.
func connClosed(conn net.Conn) error {
	closed, err := http1.PeerClosed(conn)
	switch {
	case err != nil:
		return closeCause(err)
	case closed:
		return errClientLeft
	default:
		return nil
	}
}

// closeCause distinguishes a connection that the node has closed from one that its
// client has.
func closeCause(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return errNodeStopped
	}
	return errClientLeft
}

// awaitRequest waits for the next request and reports whether there is one.
func (c *clientConn) awaitRequest() bool {
	c.setReadTimeout(c.g.limits().IdleTimeout)
	c.setState(connIdle)
	defer c.setState(connReadingHead)
	if !c.g.keepsIdleConns() {
		c.endIdle()
	}
	return <-c.firstByte == nil
}

func (c *clientConn) setState(s connState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.stateSince, c.endingIdle = s, time.Now(), false
}

func (c *clientConn) currentState() connState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// idleSince is when the connection became idle; ok is false if it is not idle or endIdle
// has been called.
func (c *clientConn) idleSince() (t time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stateSince, c.state == connIdle && !c.endingIdle
}

// endIdle lets an idle connection's wait for a request time out, which closes it, and
// reports whether the connection is idle.
func (c *clientConn) endIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connIdle {
		return false
	}
	c.endingIdle = true
	_ = c.conn.SetReadDeadline(time.Now()) // It fails only if the connection is closed already.
	return true
}

func (c *clientConn) setReadTimeout(d time.Duration) {
	_ = c.conn.SetReadDeadline(time.Now().Add(d)) // If it fails, so does the next read.
}

// serveRequest serves one request and reports whether another may follow.
func (c *clientConn) serveRequest() bool {
	limits := c.g.limits()
	c.setReadTimeout(limits.HeadTimeout)
	head, err := http1.ReadRequest(c.r, limits.HeadBytes)
	if err != nil {
		c.refuseRead(err)
		return false
	}
	c.setState(connReadingBody)
	c.g.checkSuspension()
	receivedAt := boottime.Now()
	info, infoErr := c.g.codec.RequestInfo(head)
	body, release, err := c.readBody(head, &info, limits, receivedAt)
	defer release()
	if err != nil {
		c.refuseRead(err)
		return false
	}
	c.setState(connServing)
	_ = c.conn.SetReadDeadline(time.Time{}) // If it fails, so does the next read.
	clientCloses := head.Close()
	w := &clientWriter{
		conn:        c.conn,
		noBody:      head.Method == http.MethodHead,
		http10:      head.Minor == 0,
		shouldClose: func() bool { return clientCloses || c.g.stopping() },
	}
	// If it fails, so does the next write.
	_ = c.conn.SetWriteDeadline(boottime.Monotonic(receivedAt.Add(c.g.maxRequestTime(&info) + writeGrace)))
	c.g.inFlight.Add(1)
	defer c.g.inFlight.Add(-1)
	ctx, cancel := context.WithCancelCause(c.g.requests)
	defer cancel(nil)
	c.awaitFirstByte(ctx, cancel)
	x := &exchange{g: c.g, out: w, head: head, body: body, info: info, receivedAt: receivedAt, cancel: cancel}
	if infoErr != nil {
		x.deadline = receivedAt
		x.refuse(refuse(http.StatusBadRequest, reasonBadRequest))
	} else {
		x.serve(ctx)
	}
	if w.secondHead {
		c.g.log.Error("second answer not written", "request", info.ID)
	}
	return w.ended && !w.closesConn()
}

// readBody reads a request's body within the client's timeout, or defaultBodyTimeout. release
// gives its memory back.
func (c *clientConn) readBody(h *http1.Head, info *site.RequestInfo, limits site.Limits, receivedAt time.Time) (body []byte, release func(), err error) {
	release = func() {}
	b, err := http1.RequestBody(h, c.r)
	if err != nil || b.Done() {
		return nil, release, err
	}
	if b.Framing() == http1.FramingLength && b.Remaining() > int64(limits.BodyBytes) {
		return nil, release, http1.ErrBodyTooLarge
	}
	size := int64(unknownBodySize)
	if b.Framing() == http1.FramingLength {
		size = b.Remaining()
	}
	organisation := c.g.organisationOf(info.Key)
	if release, err = c.g.bodies.reserve(organisation, size); err != nil {
		return nil, release, err
	}
	if strings.EqualFold(h.Get("Expect"), "100-continue") {
		if _, err := c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, release, err
		}
	}
	timeout := defaultBodyTimeout
	if info.ClientTimeout > 0 {
		timeout = info.ClientTimeout
	}
	_ = c.conn.SetReadDeadline(boottime.Monotonic(receivedAt.Add(timeout))) // If it fails, so does the next read.
	if b.Framing() == http1.FramingLength {
		body, err = http1.ReadAll(b, limits.BodyBytes)
		return body, release, err
	}
	first, err := io.ReadAll(io.LimitReader(b, unknownBodySize))
	if err == nil && len(first) > limits.BodyBytes {
		err = http1.ErrBodyTooLarge
	}
	if err != nil || b.Done() {
		return first, release, err
	}
	// A body that is waiting for memory must not hold any of it, or several could wait for each
	// other.
	release()
	if release, err = c.g.bodies.reserve(organisation, int64(limits.BodyBytes)); err != nil {
		return nil, release, err
	}
	rest, err := http1.ReadAll(b, limits.BodyBytes-len(first))
	return append(first, rest...), release, err
}

// refuseRead answers a request that could not be read; a broken connection is only
// closed.
func (c *clientConn) refuseRead(err error) {
	c.setState(connRefused)
	f := refusal{}
	switch {
	case errors.Is(err, http1.ErrMalformed):
		f = refuse(http.StatusBadRequest, reasonBadRequest)
	case errors.Is(err, http1.ErrHeadTooLarge):
		f = refuse(http.StatusRequestHeaderFieldsTooLarge, reasonHeadTooLarge)
	case errors.Is(err, http1.ErrBodyTooLarge):
		f = refuse(http.StatusRequestEntityTooLarge, reasonTooLarge)
	case errors.Is(err, errNoBodyMemory):
		f = retryLater(reasonOverloaded, minQueueRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		f = refuse(http.StatusRequestTimeout, reasonTooSlow)
	default:
		return
	}
	c.g.metrics.countRefusal(f.reason)
	c.g.metrics.impact.countRefusal(f, refusalImpact{})
	_ = c.conn.SetWriteDeadline(time.Now().Add(lingerTimeout)) // If it fails, so does the next write.
	if _, err := c.conn.Write(f.encode(c.g.codec, "", true)); err != nil {
		return
	}
	c.linger()
}

// linger keeps reading for a while after a refusal: closing a connection with unread
// bytes resets it, and the client would not see the answer.
func (c *clientConn) linger() {
	if t, ok := c.conn.(*net.TCPConn); ok {
		_ = t.CloseWrite() // What is read below is discarded either way.
	}
	c.setReadTimeout(lingerTimeout)
	buf := make([]byte, clientBufferSize)
	for {
		if _, err := c.conn.Read(buf); err != nil {
			return
		}
	}
}

func (c *clientConn) close() {
	_ = c.conn.Close() // Nothing more is sent or read.
	c.g.clients.remove(c)
}
