package peer

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/drumpath/drumpath/pkg/http1"
)

const (
	dialTimeout = time.Second
	// unacked ends a connection whose peer acknowledges nothing.
	unacked = 1500 * time.Millisecond
)

// Dial connects to a node and says hello.
func Dial(ctx context.Context, addr netip.AddrPort, hello Hello) (c *jsonrpc2.Conn, err error) {
	c, _, err = dial(ctx, addr, hello)
	return c, err
}

func dial(ctx context.Context, addr netip.AddrPort, hello Hello) (c *jsonrpc2.Conn, timed *timedConn, err error) {
	defer func() { err = eris.Wrapf(err, "dial %s", addr) }()
	conn, err := http1.Dial(addr.String(), dialTimeout, unacked)
	if err != nil {
		return nil, nil, err
	}
	timed = newTimedConn(conn)
	c = jsonrpc2.NewConn(context.Background(), newStream(timed), callerHandler{timed}, jsonrpc2.SetLogger(rpcLog{slog.New(slog.DiscardHandler)}))
	if err := c.Call(ctx, MethodHello, hello, nil); err != nil {
		_ = c.Close() // The hello's error is told.
		return nil, nil, err
	}
	return c, timed, nil
}

// callerHandler hears what the other node says by itself on a connection that only makes
// calls.
type callerHandler struct{ conn *timedConn }

// Handle implements jsonrpc2.Handler.
func (h callerHandler) Handle(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Method == methodComing {
		h.conn.tells()
	}
}

// Client calls other nodes over one kept connection each.
type Client struct {
	key string

	mu     sync.Mutex
	conns  map[netip.AddrPort]*lazyConn
	closed bool
}

// lazyConn is dialled by the first call; others wait for that.
type lazyConn struct {
	ready chan struct{}
	conn  *jsonrpc2.Conn
	timed *timedConn
	err   error
	// pinging is set while it is being found out whether the node still answers.
	pinging atomic.Bool
}

// call makes a call. One that has ended by its limit may have met a path that no
// longer carries this connection: kept, it would lose every later call as well.
func (l *lazyConn) call(ctx context.Context, method string, params, result any) error {
	sent := time.Now()
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
	if since := l.timed.heard(); since.After(sent) {
		sent = since
	}
	if time.Since(sent) >= silentTerm {
		_ = l.conn.Close() // Nothing comes on it any more.
	} else {
		l.ping()
	}
	return err
}

// ping finds out whether the node still answers on this connection, and closes it
// otherwise.
func (l *lazyConn) ping() {
	if !l.pinging.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer l.pinging.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), silentTerm)
		defer cancel()
		before := l.timed.heard()
		err := l.conn.Call(ctx, methodPing, nil, nil)
		if err != nil && ctx.Err() != nil && l.timed.heard().Equal(before) {
			_ = l.conn.Close() // Nothing comes on it any more.
		}
	}()
}

// ended says whether the connection was made and has been closed since.
func (l *lazyConn) ended() bool {
	select {
	case <-l.ready:
	default:
		return false
	}
	if l.err != nil {
		return false // Those who wait for it are told.
	}
	select {
	case <-l.conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

// NewClient returns a client that authenticates with the peers' key.
func NewClient(key string) *Client {
	return &Client{key: key, conns: map[netip.AddrPort]*lazyConn{}}
}

// Call calls a method of the node at addr; result may be nil.
func (c *Client) Call(ctx context.Context, addr netip.AddrPort, method string, params, result any) (err error) {
	defer func() { err = eris.Wrapf(err, "%s at %s", method, addr) }()
	l, err := c.lazy(ctx, addr)
	if err != nil {
		return err
	}
	return l.call(ctx, method, params, result)
}

// CallWithin is Call for an answer that may be large: it must begin within a time,
// and is then waited for while bytes of that node keep coming.
func (c *Client) CallWithin(ctx context.Context, within time.Duration, addr netip.AddrPort, method string, params, result any) (err error) {
	defer func() { err = eris.Wrapf(err, "%s at %s", method, addr) }()
	limit := time.Now().Add(within)
	reach, cancelReach := context.WithDeadline(ctx, limit)
	defer cancelReach()
	l, err := c.lazy(reach, addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer l.timed.endWhenSilent(cancel, limit)()
	return l.call(ctx, method, params, result)
}

// Notify sends a call without an answer to the node at addr.
func (c *Client) Notify(ctx context.Context, addr netip.AddrPort, method string, params any) (err error) {
	defer func() { err = eris.Wrapf(err, "%s at %s", method, addr) }()
	l, err := c.lazy(ctx, addr)
	if err != nil {
		return err
	}
	if time.Since(l.timed.heard()) >= silentTerm {
		l.ping() // Nothing else answers where only notes are sent.
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
				_ = l.conn.Close() // The peer sees it.
			}
		default:
		}
	}
}

// lazy is the connection to a node, dialled if there is none.
func (c *Client) lazy(ctx context.Context, addr netip.AddrPort) (*lazyConn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, net.ErrClosed
	}
	l, ok := c.conns[addr]
	if !ok || l.ended() {
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

// dial fills in a connection and forgets it once it ends.
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
			_ = l.conn.Close() // Nobody has it.
		}
		<-l.conn.DisconnectNotify()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[addr] == l {
		delete(c.conns, addr)
	}
}
