package peer

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/drumpath/drumpath/pkg/http1"
	"github.com/drumpath/drumpath/pkg/locks"
)

const (
	dialTimeout = time.Second
	// unackedTimeout closes a connection on which sent data stays unacknowledged.
	unackedTimeout = 1500 * time.Millisecond
	// AnswerSlack is added to a call's hold time for the answer to begin.
	AnswerSlack = 300 * time.Millisecond
)

// Dial connects to a node and authenticates with a hello call.
func Dial(ctx context.Context, addr netip.AddrPort, hello Hello) (c *jsonrpc2.Conn, err error) {
	c, _, err = dial(ctx, addr, hello)
	return c, err
}

func dial(ctx context.Context, addr netip.AddrPort, hello Hello) (c *jsonrpc2.Conn, timed *timedConn, err error) {
	defer func() { err = eris.Wrapf(err, "dial %s", addr) }()
	conn, err := http1.Dial(addr.String(), dialTimeout, unackedTimeout)
	if err != nil {
		return nil, nil, err
	}
	timed = newTimedConn(conn)
	c = jsonrpc2.NewConn(context.Background(), newStream(timed), clientHandler{timed}, jsonrpc2.SetLogger(rpcLog{slog.New(slog.DiscardHandler)}))
	if err := c.Call(ctx, MethodHello, hello, nil); err != nil {
		_ = c.Close() // The error of the hello call is returned.
		return nil, nil, err
	}
	return c, timed, nil
}

// clientHandler handles the notifications that the server sends on a client's connection.
type clientHandler struct{ conn *timedConn }

// Handle implements jsonrpc2.Handler.
func (h clientHandler) Handle(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Method == methodLargeAnswer {
		h.conn.recordAnnouncement()
	}
}

// Client calls other nodes over one persistent connection each.
type Client struct {
	key string

	mu     locks.Mutex
	conns  map[netip.AddrPort]*lazyConn
	closed bool
}

// lazyConn is a connection that the first call dials; later calls wait until ready is
// closed.
type lazyConn struct {
	ready chan struct{}
	conn  *jsonrpc2.Conn
	timed *timedConn
	err   error
	// pinging is set while a ping checks whether the node still answers.
	pinging atomic.Bool
}

// call makes a call. If it times out, the network path of the connection may be lost.
// The connection is then closed or checked with a ping, as otherwise every later call on
// it would be lost as well.
func (l *lazyConn) call(ctx context.Context, method string, params, result any) error {
	silentSince := time.Now()
	err := l.conn.Call(ctx, method, params, result)
	if err == nil || ctx.Err() == nil {
		return err
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errSilent):
		err = errSilent
	case !errors.Is(cause, context.DeadlineExceeded):
		return err
	}
	if received := l.timed.lastReceived(); received.After(silentSince) {
		silentSince = received
	}
	if time.Since(silentSince) >= silenceTimeout {
		_ = l.conn.Close() // It has been silent for too long.
	} else {
		l.ping()
	}
	return err
}

// ping checks whether the node still answers on this connection, and closes it
// otherwise.
func (l *lazyConn) ping() {
	if !l.pinging.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer l.pinging.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), silenceTimeout)
		defer cancel()
		receivedBefore := l.timed.lastReceived()
		err := l.conn.Call(ctx, methodPing, nil, nil)
		if err != nil && ctx.Err() != nil && l.timed.lastReceived().Equal(receivedBefore) {
			_ = l.conn.Close() // Nothing was received since the ping.
		}
	}()
}

// closed reports whether the connection was established and has been closed since.
func (l *lazyConn) closed() bool {
	select {
	case <-l.ready:
	default:
		return false
	}
	if l.err != nil {
		return false // Callers that wait for ready get the error.
	}
	select {
	case <-l.conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

// NewClient returns a client that authenticates with the peer key.
func NewClient(key string) *Client {
	return &Client{key: key, conns: map[netip.AddrPort]*lazyConn{}}
}

// Call calls a method of the node at addr; result may be nil.
func (c *Client) Call(ctx context.Context, addr netip.AddrPort, method string, params, result any) (err error) {
	defer func() { err = eris.Wrapf(err, "%s at %s", method, addr) }()
	l, err := c.connTo(ctx, addr)
	if err != nil {
		return err
	}
	return l.call(ctx, method, params, result)
}

// CallWithin is Call for an answer that may be large: the answer must begin to arrive, or be
// announced, within startTimeout. After that the call goes on while the answer keeps arriving.
func (c *Client) CallWithin(ctx context.Context, startTimeout time.Duration, addr netip.AddrPort, method string, params, result any) (err error) {
	defer func() { err = eris.Wrapf(err, "%s at %s", method, addr) }()
	startDeadline := time.Now().Add(startTimeout)
	dialCtx, cancelDial := context.WithDeadline(ctx, startDeadline)
	defer cancelDial()
	l, err := c.connTo(dialCtx, addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer l.timed.cancelWhenSilent(cancel, startDeadline)()
	return l.call(ctx, method, params, result)
}

// Notify sends a notification, which has no answer, to the node at addr.
func (c *Client) Notify(ctx context.Context, addr netip.AddrPort, method string, params any) (err error) {
	defer func() { err = eris.Wrapf(err, "%s at %s", method, addr) }()
	l, err := c.connTo(ctx, addr)
	if err != nil {
		return err
	}
	if time.Since(l.timed.lastReceived()) >= silenceTimeout {
		l.ping() // Notifications have no answers that would show a lost connection.
	}
	return l.conn.Notify(ctx, method, params)
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, l := range c.conns {
		select {
		case <-l.ready:
			if l.conn != nil {
				_ = l.conn.Close() // The connection is dropped in any case.
			}
		default:
		}
	}
}

// connTo returns the connection to a node and dials one if there is none.
func (c *Client) connTo(ctx context.Context, addr netip.AddrPort) (*lazyConn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, net.ErrClosed
	}
	l, ok := c.conns[addr]
	if !ok || l.closed() {
		l = &lazyConn{ready: make(chan struct{})}
		c.conns[addr] = l
		go c.dial(addr, l)
	}
	c.mu.Unlock()
	select {
	case <-l.ready:
		return l, l.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial establishes a connection and removes it from conns once it ends.
func (c *Client) dial(addr netip.AddrPort, l *lazyConn) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	l.conn, l.timed, l.err = dial(ctx, addr, Hello{Role: RolePeer, Secret: c.key})
	close(l.ready)
	if l.err == nil {
		c.mu.Lock()
		closed := c.closed
		c.mu.Unlock()
		if closed {
			_ = l.conn.Close() // Close did not see this connection.
		}
		<-l.conn.DisconnectNotify()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[addr] == l {
		delete(c.conns, addr)
	}
}
