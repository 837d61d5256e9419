package onplatform_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/netproxy"
	"github.com/drumpath/drumpath/internal/standin/onplatform"
	"github.com/drumpath/drumpath/pkg/boottime"
)

// cutStore holds up all bytes between the site's nodes and the store until restore is called.
func (s *site) cutStore() (restore func()) {
	held := netproxy.Link{Held: true}
	s.storeProxy.Set(held, held)
	return s.storeProxy.Heal
}

// The monotonic clock does not count the time for which a machine is suspended, so a node that
// woke up took its state for as fresh as before: for some milliseconds it accepted a key that had
// been revoked, sent requests to evacuated data halls, and was ready. The clock goes on for a
// process that is only stopped; to notice a suspension, a node has to compare the monotonic clock
// with the boot-time clock.
func TestSuspendedNodeDoesNotActOnStaleState(t *testing.T) {
	for _, d := range []time.Duration{2 * time.Second, 8 * time.Second, 30 * time.Second} {
		t.Run(d.String(), func(t *testing.T) {
			s := newSite(t)
			s.storeProxy = s.newProxy(s.store.Addr())
			a, b := s.newReplica("a"), s.newReplica("b")
			s.putRow(a, replicaRow(appService, a, nil))
			s.putRow(b, replicaRow(appService, b, map[string]any{"zone": "hall-b"}))
			n := s.startReadyNode("n1")
			assert.Equal(t, n.send(request("GET", "/safe/x", "")).status, 200)
			asTwo := func() string {
				return strings.Replace(request("GET", "/safe/x", ""), "Bearer "+key, "Bearer key-two", 1)
			}
			assert.Equal(t, n.send(asTwo()).status, 200)
			before := len(a.Received()) + len(b.Received())
			restore := s.cutStore()
			s.tenants = s.tenants[:1]
			s.configure()
			boottime.SimulateSuspend(d)
			wokeAt := time.Now()
			got := n.send(asTwo())
			restore()
			assert.Assert(t, got.status == 503 || got.status == 401, "status %d", got.status)
			assert.Equal(t, len(a.Received())+len(b.Received()), before, "a request with a revoked key was sent on")
			s.waitUntil("the node knows that the key is revoked", func() bool { return n.send(asTwo()).status == 401 })
			s.waitUntil("the node serves again", func() bool { return n.send(request("GET", "/safe/x", "")).status == 200 })
			assert.Assert(t, time.Since(wokeAt) < time.Second, "it took longer than a start: %v", time.Since(wokeAt))
			assert.Assert(t, n.isReady())
		})
	}
}

func TestSuspendedNodeIsNotReadyUntilItHasSynced(t *testing.T) {
	s := newSite(t)
	s.storeProxy = s.newProxy(s.store.Addr())
	s.startReplica(appService, "a")
	n := s.startReadyNode("n1")
	defer s.cutStore()()
	boottime.SimulateSuspend(8 * time.Second)
	assert.Assert(t, !n.isReady())
	assert.Equal(t, n.resolve(), "", "the node must not name addresses from stale state")
	got := n.send(request("GET", "/safe/x", ""))
	assert.Equal(t, got.status, 503)
	assert.Equal(t, got.body, `{"error":"suspended"}`)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	// While the store stays unreachable, the node's state is as good as that of any other node.
	s.waitUntil("the node serves", func() bool { return n.send(request("GET", "/safe/x", "")).status == 200 })
	assert.Assert(t, n.isReady())
}

// A request's deadline passes while the machine is suspended. The node must not send it again
// after the first replica has refused it, and answers that it was not executed.
func TestRequestExpiredDuringSuspensionIsNotRetried(t *testing.T) {
	s := newSite(t)
	a, b := s.startReplica(appService, "a"), s.startReplica(appService, "b")
	n := s.startReadyNode("n1")
	suspendThenRefuse := func(w io.Writer, r *onplatform.Request) bool {
		boottime.SimulateSuspend(8 * time.Second)
		return onplatform.NotExecuted(503)(w, r)
	}
	a.Script(suspendThenRefuse)
	b.Script(suspendThenRefuse)
	got := n.send(request("POST", "/once/x", "b"))
	assert.Equal(t, got.status, 503)
	assert.Equal(t, len(a.Received())+len(b.Received()), 1)
}

// A data hall is evacuated while the machine is suspended. The node woke up with the old state and
// sent requests there.
func TestSuspendedNodeSendsNothingToEvacuatedHall(t *testing.T) {
	s := newSite(t)
	s.storeProxy = s.newProxy(s.store.Addr())
	a, b := s.newReplica("a"), s.newReplica("b")
	s.putRow(a, replicaRow(appService, a, nil))
	s.putRow(b, replicaRow(appService, b, map[string]any{"zone": "hall-b"}))
	n := s.startReadyNode("n1")
	s.waitUntil("the node's own hall serves", func() bool { return n.reaches(a) })
	restore := s.cutStore()
	s.store.Put(onplatform.TableOperator, "evacuate/hall-a", map[string]any{})
	boottime.SimulateSuspend(8 * time.Second)
	before := len(a.Received())
	for range 10 {
		n.send(request("GET", "/safe/x", ""))
	}
	assert.Equal(t, len(a.Received()), before)
	restore()
	s.waitUntil("the other hall serves", func() bool { return n.reaches(b) })
	s.waitUntil("the evacuated hall does not serve", func() bool { return !n.reaches(a) })
}
