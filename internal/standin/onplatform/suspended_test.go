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

// A machine was suspended for seconds. The steady clock does not count that time, so its
// node took what it remembered for as fresh as before: in its first milliseconds it sent on
// requests of a key that had been taken away meanwhile and to data halls that were
// evacuated, and said that it was ready. A process that is only stopped finds by its clock
// how old its knowledge is; here both clocks have to be compared.

// away holds up all between the site's nodes and its store.
func (s *site) cutStore() (restore func()) {
	held := netproxy.Link{Held: true}
	s.storeProxy.Set(held, held)
	return s.storeProxy.Heal
}

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
			assert.Equal(t, len(a.Received())+len(b.Received()), before, "a key that was taken away")
			s.waitUntil("it knows that the key is gone", func() bool { return n.send(asTwo()).status == 401 })
			s.waitUntil("it serves again", func() bool { return n.send(request("GET", "/safe/x", "")).status == 200 })
			assert.Assert(t, time.Since(wokeAt) < time.Second, "no longer than a start: %v", time.Since(wokeAt))
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
	assert.Equal(t, n.resolve(), "", "it does not know where callers are to go")
	got := n.send(request("GET", "/safe/x", ""))
	assert.Equal(t, got.status, 503)
	assert.Equal(t, got.body, `{"error":"suspended"}`)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	// The store stays away. Then its knowledge is as good as that of other nodes then.
	s.waitUntil("it serves", func() bool { return n.send(request("GET", "/safe/x", "")).status == 200 })
	assert.Assert(t, n.isReady())
}

// A request's caller has waited on while the machine was suspended: what is over is not
// sent again, and "not run" is true.
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

// A data hall was evacuated while the machine was suspended.
func TestSuspendedNodeSendsNothingToEvacuatedHall(t *testing.T) {
	s := newSite(t)
	s.storeProxy = s.newProxy(s.store.Addr())
	a, b := s.newReplica("a"), s.newReplica("b")
	s.putRow(a, replicaRow(appService, a, nil))
	s.putRow(b, replicaRow(appService, b, map[string]any{"zone": "hall-b"}))
	n := s.startReadyNode("n1")
	s.waitUntil("its own hall serves", func() bool { return n.reaches(a) })
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
	s.waitUntil("and the evacuated one does not", func() bool { return !n.reaches(a) })
}
