package peer

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/netproxy"
)

// newProxiedServer starts a server behind a proxy that can stop forwarding on its open
// connections, and a client that connects through it. notifications counts those received.
func newProxiedServer(t *testing.T) (p *netproxy.Proxy, c *Client, notifications *atomic.Int64) {
	s, err := NewServer(netip.MustParseAddrPort("127.0.0.1:0"), map[Role]string{RolePeer: "key"}, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	s.Handle(RolePeer, "echo", func(_ context.Context, in json.RawMessage) (any, error) { return in, nil })
	s.Handle(RolePeer, "never", func(ctx context.Context, _ json.RawMessage) (any, error) { <-ctx.Done(); return nil, ctx.Err() })
	notifications = &atomic.Int64{}
	s.Handle(RolePeer, "note", func(context.Context, json.RawMessage) (any, error) { notifications.Add(1); return nil, nil })
	s.Start()
	t.Cleanup(s.Close)
	p, err = netproxy.New(s.Addr())
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	c = NewClient("key")
	t.Cleanup(c.Close)
	return p, c, notifications
}

func everyConn() bool { return true }

// scheduleSlack is added to the time limits, for a busy machine. It can't hide a failure:
// without the timeouts under test, a silent connection stays in use forever.
const scheduleSlack = time.Second

// directions has which directions the proxy stops forwarding: to the server, and from it.
var directions = map[string][2]bool{"to": {true, false}, "from": {false, true}, "both": {true, true}}

// Guards against reusing a connection that has gone silent: each call on it timed out and
// the next one used it again, so the node never reached the other one, although a new
// connection would have worked at once.
func TestCallAfterASilentOneUsesANewConnection(t *testing.T) {
	const timeout = 2 * silenceTimeout
	for name, stopped := range directions {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, c, _ := newProxiedServer(t)
			call := func() error { return c.CallWithin(t.Context(), timeout, p.Addr(), "echo", "x", nil) }
			assert.NilError(t, call())
			p.Silence(stopped[0], stopped[1], everyConn)
			started := time.Now()
			assert.ErrorIs(t, call(), errSilent)
			assert.Assert(t, time.Since(started) < timeout+scheduleSlack, "%v", time.Since(started))
			assert.NilError(t, call())
			assert.Equal(t, p.OpenConnections(), 1)
		})
	}
}

// Guards against a silent connection that stays in use because each call on it is shorter
// than silenceTimeout, or because only notifications are sent.
func TestShortCallsAndNotificationsDropASilentConnection(t *testing.T) {
	const short = silenceTimeout / 10
	for name, send := range map[string]func(c *Client, addr netip.AddrPort, received *atomic.Int64) (ok bool){
		"call": func(c *Client, addr netip.AddrPort, _ *atomic.Int64) bool {
			ctx, cancel := context.WithTimeout(context.Background(), short)
			defer cancel()
			return c.Call(ctx, addr, "echo", "x", nil) == nil
		},
		"note": func(c *Client, addr netip.AddrPort, received *atomic.Int64) bool {
			before := received.Load()
			err := c.Notify(context.Background(), addr, "note", "x")
			time.Sleep(short)
			return err == nil && received.Load() > before
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, c, received := newProxiedServer(t)
			assert.Assert(t, send(c, p.Addr(), received))
			p.Silence(true, true, everyConn)
			started := time.Now()
			for !send(c, p.Addr(), received) {
				assert.Assert(t, time.Since(started) < 3*silenceTimeout+scheduleSlack, "the silent connection is still in use")
			}
		})
	}
}

// Guards against closing a connection because of one slow call, which would end all other
// calls on it.
func TestSlowCallDoesNotCloseItsConnection(t *testing.T) {
	p, c, _ := newProxiedServer(t)
	assert.NilError(t, c.Call(t.Context(), p.Addr(), "echo", "x", nil))
	before, err := c.connTo(t.Context(), p.Addr())
	assert.NilError(t, err)
	slow := make(chan error, 1)
	go func() { slow <- c.CallWithin(t.Context(), 2*silenceTimeout, p.Addr(), "never", nil, nil) }()
	for started := time.Now(); time.Since(started) < 3*silenceTimeout; time.Sleep(silenceTimeout / 10) {
		assert.NilError(t, c.Call(t.Context(), p.Addr(), "echo", "x", nil))
	}
	assert.ErrorIs(t, <-slow, errSilent)
	after, err := c.connTo(t.Context(), p.Addr())
	assert.NilError(t, err)
	assert.Assert(t, after == before)
}
