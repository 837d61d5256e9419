package onplatform_test

import (
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/netproxy"
	"github.com/drumpath/drumpath/internal/standin/onplatform"
	sitepkg "github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/platform"
)

// startProxiedReplica starts a replica that nodes reach only through a proxy.
func (s *site) startProxiedReplica(service, id string) (*onplatform.Replica, *netproxy.Proxy) {
	r, err := onplatform.NewReplica(id)
	assert.NilError(s.t, err)
	s.t.Cleanup(r.Close)
	p := s.newProxy(r.Addr())
	s.listReplicaAt(service, r, p.Addr(), "ready", 1)
	return r, p
}

func (s *site) newProxy(target netip.AddrPort) *netproxy.Proxy {
	p, err := netproxy.New(target)
	assert.NilError(s.t, err)
	s.t.Cleanup(p.Close)
	return p
}

// loadAllowance is added to time limits so that a busy machine does not fail the tests. Without a
// limit of their own the calls here end after 20 s or never.
const loadAllowance = time.Second

func everyConn() bool { return true }

// forEachLostDirection runs a test with bytes lost to the target, from it, and both ways.
func forEachLostDirection(t *testing.T, test func(t *testing.T, silence func(*netproxy.Proxy) int)) {
	for name, lost := range map[string][2]bool{"to": {true, false}, "from": {false, true}, "both": {true, true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t, func(p *netproxy.Proxy) int { return p.Silence(lost[0], lost[1], everyConn) })
		})
	}
}

// openIdleConns leaves the node with idle connections to a replica.
func (n *node) openIdleConns(a *onplatform.Replica, conns int) {
	n.site.t.Helper()
	n.openIdleConnsSlowly(a, conns, 0)
}

// openIdleConnsSlowly is like openIdleConns but has the requests wait for latency, once all are at the replica.
func (n *node) openIdleConnsSlowly(a *onplatform.Replica, conns int, latency time.Duration) {
	n.site.t.Helper()
	answerNow := make(chan struct{})
	a.Script(onplatform.After(answerNow, onplatform.OK("from "+a.ID)))
	var done sync.WaitGroup
	for range conns {
		done.Go(func() {
			n.site.waitUntil("the request is answered", func() bool { return n.send(request("POST", "/once/x", "body")).status == 200 })
		})
	}
	n.site.waitUntil("each request has a connection of its own", func() bool { return a.OpenConnections() >= conns })
	time.Sleep(latency)
	close(answerNow)
	done.Wait()
	a.Script(onplatform.OK("from " + a.ID))
}

// The path to a replica silently lost all bytes while connections to it were idle. Each idle
// connection then cost one more request, which is not idempotent and so ended with 504 at its
// deadline, until the rest were closed for their age. After the first loss, requests must use
// new connections.
func TestSilentIdleConnectionsCostOneRequest(t *testing.T) {
	const (
		idleConns = 5
		limit     = 1200 * time.Millisecond // The Deadline-Ms of the request.
	)
	forEachLostDirection(t, func(t *testing.T, silence func(*netproxy.Proxy) int) {
		s := newSite(t)
		a, p := s.startProxiedReplica(appService, "a")
		n := s.startReadyNode("n1")
		n.openIdleConns(a, idleConns)
		assert.Assert(t, silence(p) > 1)
		start := time.Now()
		got := n.send(request("POST", "/once/x", "lost", "Deadline-Ms: 1200"))
		assert.Equal(t, got.status, 504) // It may have run, so no Retry-After.
		assert.Equal(t, got.header.Get("Retry-After"), "")
		assert.Assert(t, time.Since(start) < limit+loadAllowance, "%v", time.Since(start))
		for range idleConns {
			assert.Equal(t, n.send(request("POST", "/once/x", "body")).status, 200)
		}
		lost := 0
		for _, in := range a.Received() {
			if in.Body == "lost" {
				lost++
			}
		}
		assert.Assert(t, lost <= 1, "a request that is not idempotent was sent %d times", lost)
	})
}

// A request whose replica falls silent before it answers must end at its deadline, and must not
// be sent again if it is not idempotent.
func TestReplicaSilentBeforeAnswerTimesOut(t *testing.T) {
	forEachLostDirection(t, func(t *testing.T, silence func(*netproxy.Proxy) int) {
		s := newSite(t)
		a, p := s.startProxiedReplica(appService, "a")
		s.startReplica(appService, "b").Script(onplatform.NotExecuted(503)) // So that a gets the request.
		n := s.startReadyNode("n1")
		answerNow := make(chan struct{})
		a.Script(onplatform.After(answerNow, onplatform.OK("late")))
		c := n.dial()
		c.write(request("POST", "/once/x", "body", "Deadline-Ms: 1200"))
		s.waitUntil("the request is at the replica", func() bool { return len(a.Received()) == 1 })
		silence(p)
		close(answerNow)
		start := time.Now()
		got := c.read()
		if got.status == 200 { // Only bytes to the replica are lost.
			assert.Equal(t, got.body, "late")
		} else {
			assert.Equal(t, got.status, 504)
			assert.Equal(t, got.header.Get("Retry-After"), "")
		}
		assert.Assert(t, time.Since(start) < 2*time.Second+loadAllowance, "%v", time.Since(start))
		assert.Equal(t, len(a.Received()), 1)
	})
}

// A stream whose replica falls silent midway must end at its deadline, and the client must be
// able to tell that it is incomplete.
func TestReplicaSilentInStreamTimesOut(t *testing.T) {
	forEachLostDirection(t, func(t *testing.T, silence func(*netproxy.Proxy) int) {
		s := newSite(t)
		a, p := s.startProxiedReplica(appService, "a")
		n := s.startReadyNode("n1")
		a.Script(onplatform.Events(1, 10, 50*time.Millisecond, true))
		c := n.dial()
		c.write(request("POST", "/stream/x", "body", "Deadline-Ms: 1200"))
		_, err := c.r.Peek(1)
		assert.NilError(t, err)
		silence(p)
		start := time.Now()
		got := c.read()
		assert.Assert(t, time.Since(start) < 2*time.Second+loadAllowance, "%v", time.Since(start))
		assert.Equal(t, got.status, 200)
		if !got.incomplete { // Only bytes to the replica are lost.
			assert.Equal(t, got.body, events(1, 10))
		}
		assert.Equal(t, len(a.Received()), 1)
	})
}

// The path to the store silently loses all bytes. The pending feed call must end at its own
// timeout, and the node must go on with new connections.
func TestSilentStoreConnectionsAreReplaced(t *testing.T) {
	const noticeTime = 2500 * time.Millisecond // The timeout of a feed call, 1 s here, a retry and a read of the table.
	forEachLostDirection(t, func(t *testing.T, silence func(*netproxy.Proxy) int) {
		s := newSite(t)
		s.storeProxy = s.newProxy(s.store.Addr())
		s.startReplica(appService, "a")
		n := s.startReadyNode("n1")
		assert.Assert(t, silence(s.storeProxy) > 0)
		s.routes = s.routes[1:]
		s.configure()
		start := time.Now()
		s.waitUntil("the new configuration is in force", func() bool { return n.send(request("POST", "/once/x", "b")).status == 404 })
		assert.Assert(t, time.Since(start) < noticeTime+loadAllowance, "%v", time.Since(start))
	})
}

// Calls to engines and KV cache stores use connections of their own. When these silently lose
// all bytes, each call must end at its timeout and the next one must use a new connection.
func TestSilentEngineConnectionsAreReplaced(t *testing.T) {
	const hold = 200 * time.Millisecond
	calls := map[string]func(*platform.Engines, netip.AddrPort) error{
		"events": func(e *platform.Engines, addr netip.AddrPort) error {
			_, err := e.Changes(t.Context(), addr, 0, hold)
			return err
		},
		"free": func(e *platform.Engines, addr netip.AddrPort) error {
			return e.Free(t.Context(), addr, []sitepkg.PartRef{{Realm: "r", Part: "p"}}, 1, time.Hour)
		},
		"report": func(e *platform.Engines, addr netip.AddrPort) error {
			_, err := e.Report(t.Context(), addr)
			return err
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			forEachLostDirection(t, func(t *testing.T, silence func(*netproxy.Proxy) int) {
				s := newSite(t)
				a, p := s.startProxiedReplica(llmService, "a")
				a.Script(onplatform.OK("{}"))
				e := platform.NewEngines()
				defer e.Close()
				assert.NilError(t, call(e, p.Addr()))
				assert.Equal(t, silence(p), 1)
				start := time.Now()
				assert.ErrorContains(t, call(e, p.Addr()), "timeout")
				assert.Assert(t, time.Since(start) < 2*time.Second+loadAllowance, "%v", time.Since(start))
				assert.NilError(t, call(e, p.Addr()))
				assert.Equal(t, p.OpenConnections(), 1)
			})
		})
	}
}
