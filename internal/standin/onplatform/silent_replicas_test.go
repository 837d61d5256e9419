package onplatform_test

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/netproxy"
	"github.com/drumpath/drumpath/internal/standin/onplatform"
	"github.com/drumpath/drumpath/pkg/boottime"
)

// goSilent makes a replica unreachable: open connections lose all bytes, and no new one is
// established.
func (s *site) goSilent(p *netproxy.Proxy) {
	s.t.Helper()
	p.Silence(true, true, everyConn)
	assert.NilError(s.t, p.MakeUnreachable())
}

// kindsScript answers by the kind of route. Requests that are not streams get no answer
// before answerNow is closed; streams have last events with a pause after each.
func kindsScript(answerNow <-chan struct{}, last int, pause time.Duration) onplatform.Script {
	return func(w io.Writer, r *onplatform.Request) bool {
		if strings.HasPrefix(r.Target, "/stream/") || strings.HasPrefix(r.Target, "/resume/") {
			from := 1
			if after := r.Header.Get("Last-Event-Id"); after != "" {
				_, _ = fmt.Sscan(after, &from) // It is a number.
				from++
			}
			return onplatform.Events(from, last, pause, true)(w, r)
		}
		return onplatform.After(answerNow, onplatform.OK("done"))(w, r)
	}
}

// silentSite has a replica that nodes reach through a proxy, and others to which the node
// has no connections yet.
type silentSite struct {
	*site
	silent    *onplatform.Replica
	proxy     *netproxy.Proxy
	answerNow chan struct{} // Until it is closed, requests that are not streams get no answer.
}

func newSilentSite(t *testing.T) *silentSite {
	s := &silentSite{site: newSite(t), answerNow: make(chan struct{})}
	s.silent, s.proxy = s.startProxiedReplica(appService, "a")
	for _, id := range []string{"c", "d"} {
		s.startReplica(llmService, id)
	}
	return s
}

const streamEvents = 40

// sendToSilent sends a request of each kind to the replica that is to go silent, and waits
// until all are there and both streams have begun. Only then the service gets a second replica.
func (s *silentSite) sendToSilent(n *node) (clients map[string]*client, other *onplatform.Replica) {
	s.t.Helper()
	before := len(s.silent.Received())
	s.silent.Script(kindsScript(s.answerNow, streamEvents, 100*time.Millisecond))
	clients = map[string]*client{}
	for _, kind := range []string{"once", "safe", "stream", "resume"} {
		c := n.dial()
		c.write(request("POST", "/"+kind+"/x", kind))
		clients[kind] = c
	}
	for _, kind := range []string{"stream", "resume"} {
		_, err := clients[kind].r.Peek(1)
		assert.NilError(s.t, err)
	}
	s.waitUntil("all requests are at the replica", func() bool { return len(s.silent.Received()) == before+len(clients) })
	other = s.startReplica(appService, "b")
	done := make(chan struct{})
	close(done)
	other.Script(kindsScript(done, streamEvents, time.Millisecond))
	s.waitUntil("the second replica is known", func() bool { return replicaCount(n, appService) == 2 })
	return clients, other
}

// replicaCount returns how many replicas of a service the node knows.
func replicaCount(n *node, service string) int {
	var status struct {
		Replicas map[string]struct{ All int } `json:"replicas"`
	}
	n.readMetrics(&status)
	return status.Replicas[service].All
}

// nodeCount returns how many nodes, itself included, the node knows to work.
func nodeCount(n *node) int {
	var status struct{ Nodes int }
	n.readMetrics(&status)
	return status.Nodes
}

// readMetrics decodes the node's metrics into a struct with some of their fields.
func (n *node) readMetrics(status any) {
	text, err := json.Marshal(n.MetricsVar()())
	assert.NilError(n.site.t, err)
	assert.NilError(n.site.t, json.Unmarshal(text, status))
}

// silentLimit is the time within which requests at a silent replica end: 1.5 s of pause, 0.1 s
// until it is noticed, 0.3 s for the connection.
const silentLimit = 2 * time.Second

// Requests whose bytes a replica had acknowledged before it went silent waited for it until
// their deadlines, or until their clients left. They must end once the node has found the
// replica unreachable, those that may be repeated at another replica, without a missing or
// a duplicate event.
func TestRequestsEndOnceTheirReplicaIsGone(t *testing.T) {
	s := newSilentSite(t)
	n := s.startReadyNode("n1")
	clients, other := s.sendToSilent(n)
	s.goSilent(s.proxy)
	start := time.Now()
	replies := map[string]reply{}
	for kind, c := range clients {
		replies[kind] = c.read()
		assert.Check(t, time.Since(start) < silentLimit+loadAllowance, "%s: %v", kind, time.Since(start))
	}
	assert.Equal(t, replies["once"].status, 502)
	assert.Equal(t, replies["once"].header.Get("Retry-After"), "")
	assert.Equal(t, replies["safe"].status, 200)
	assert.Equal(t, replies["stream"].status, 200)
	assert.Assert(t, replies["stream"].incomplete)
	assert.Assert(t, !replies["resume"].incomplete)
	assert.Equal(t, replies["resume"].body, events(1, streamEvents))
	for _, in := range other.Received() {
		assert.Assert(t, in.Body == "safe" || in.Body == "resume", "%s was sent twice", in.Body)
	}
}

// checks returns the counts of the node's checks of replicas.
func (n *node) checks() (counts map[string]int) {
	text, err := json.Marshal(n.MetricsVar()())
	assert.NilError(n.site.t, err)
	var status struct {
		Checks map[string]int `json:"replica_checks"`
	}
	assert.NilError(n.site.t, json.Unmarshal(text, &status))
	return status.Checks
}

// A replica that only pauses, or whose old connections alone are silent, accepts a new
// connection. Its requests must not end as lost, as they may still be answered.
func TestPausedReplicaKeepsItsRequests(t *testing.T) {
	s := newSilentSite(t)
	n := s.startReadyNode("n1")
	clients, other := s.sendToSilent(n)
	held := netproxy.Link{Held: true}
	s.proxy.Set(held, held)
	s.waitUntil("the replica was checked", func() bool { return n.checks()["alive"] > 0 })
	s.proxy.Heal()
	close(s.answerNow)
	for kind, c := range clients {
		got := c.read()
		assert.Equal(t, got.status, 200, kind)
		assert.Assert(t, !got.incomplete, kind)
	}
	assert.Equal(t, n.checks()["ended"], 0)
	assert.Equal(t, len(other.Received()), 0)
	assert.Equal(t, len(s.silent.Received()), len(clients))
}

// One of several open connections to a replica goes silent: the replica is alive, so that
// nothing is ended at the others.
func TestOldConnectionsAloneThatAreSilentEndNothing(t *testing.T) {
	s := newSilentSite(t)
	n := s.startReadyNode("n1")
	clients, other := s.sendToSilent(n)
	s.proxy.Silence(true, true, everyConn)
	s.waitUntil("the replica was checked", func() bool { return n.checks()["alive"] > 0 })
	c := n.dial() // It uses the connection that the check has made, or another new one.
	c.write(request("POST", "/stream/x", "later"))
	_, err := c.r.Peek(1)
	assert.NilError(t, err)
	assert.Equal(t, n.checks()["ended"], 0)
	for _, in := range other.Received() {
		assert.Equal(t, in.Body, "later")
	}
	for _, c := range clients {
		assert.NilError(t, c.conn.Close())
	}
}

// A node that was cut off from all replicas ended their requests, though others could reach
// them. It must leave them until it reaches the replicas again.
func TestNodeThatIsCutOffEndsNoRequests(t *testing.T) {
	s := newSilentSite(t)
	n := s.startReadyNode("n1")
	var proxies []*netproxy.Proxy
	for _, id := range []string{"e", "f", "g", "h", "i", "j"} {
		_, p := s.startProxiedReplica(llmService, id)
		proxies = append(proxies, p)
	}
	s.waitUntil("all replicas are known", func() bool { return replicaCount(n, llmService) == 8 })
	clients, _ := s.sendToSilent(n)
	for _, p := range proxies {
		assert.NilError(t, p.MakeUnreachable())
	}
	held := netproxy.Link{Held: true}
	s.proxy.Set(held, held)
	assert.NilError(t, s.proxy.MakeUnreachable())
	s.waitUntil("the node presumes its network to be at fault", func() bool { return n.checks()["partitioned"] > 0 })
	assert.NilError(t, s.proxy.MakeReachable())
	s.proxy.Heal()
	close(s.answerNow)
	for kind, c := range clients {
		got := c.read()
		assert.Equal(t, got.status, 200, kind)
		assert.Assert(t, !got.incomplete, kind)
	}
	assert.Equal(t, n.checks()["ended"], 0)
	assert.Equal(t, len(s.silent.Received()), len(clients))
}

// A node that reaches a replica no more than another one must find that out for itself: a
// report makes it check the replica at once. Without the report its request, which is no
// stream, waits until its deadline.
func TestReportOfAnotherNodeEndsRequests(t *testing.T) {
	s := newSilentSite(t)
	n, reporter := s.startReadyNode("n1"), s.startReadyNode("n2")
	s.waitUntil("the nodes know each other", func() bool { return len(n.resolve()) > 0 && len(n.resolve()) == len(reporter.resolve()) })
	s.silent.Script(onplatform.After(s.answerNow, onplatform.OK("done")))
	c := n.dial()
	c.write(request("POST", "/once/x", "once"))
	s.waitUntil("the request is at the replica", func() bool { return len(s.silent.Received()) == 1 })
	s.startReplica(appService, "b")
	s.goSilent(s.proxy)
	start := time.Now()
	s.waitUntil("the other node uses the other replica", func() bool {
		assert.Equal(t, reporter.send(request("POST", "/safe/x", "")).status, 200)
		return reporter.checks()["gone"] > 0
	})
	assert.Equal(t, c.read().status, 502)
	assert.Assert(t, time.Since(start) < silentLimit+loadAllowance, "%v", time.Since(start))
	assert.Equal(t, n.checks()["ended"], 1)
}

// After its ejection a replica that was still silent got a request on an idle connection
// from before, which was lost if it was not repeatable. A new connection must be made first,
// without delaying a request, and the replica be used again once it is.
func TestReplicaReturnsAfterAConnection(t *testing.T) {
	s := newSilentSite(t)
	n := s.startReadyNode("n1")
	n.openIdleConns(s.silent, 3)
	clients, other := s.sendToSilent(n)
	s.goSilent(s.proxy)
	s.waitUntil("the replica is gone", func() bool { return n.checks()["gone"] > 0 })
	for _, c := range clients {
		assert.NilError(t, c.conn.Close())
	}
	s.waitUntil("a connection is tried in vain", func() bool {
		start := time.Now()
		assert.Equal(t, n.send(request("POST", "/once/x", "during")).status, 200)
		assert.Assert(t, time.Since(start) < 300*time.Millisecond+loadAllowance, "%v", time.Since(start))
		return n.checks()["returns"] > 0 && n.checks()["gone"] > 1
	})
	assert.Assert(t, len(other.Received()) > 0)
	s.silent.Script(onplatform.OK("back"))
	assert.NilError(t, s.proxy.MakeReachable())
	s.waitUntil("the replica is used again", func() bool {
		got := n.send(request("POST", "/once/x", "after"))
		assert.Equal(t, got.status, 200)
		return got.body == "back"
	})
}

// While a node was suspended its replicas could not be heard, so it must end no requests for
// their silence before it is synced again. Afterwards it must check them once more.
func TestSuspendedNodeEndsNoRequests(t *testing.T) {
	s := newSilentSite(t)
	s.storeProxy = s.newProxy(s.store.Addr())
	n := s.startReadyNode("n1")
	s.sendToSilent(n)
	s.goSilent(s.proxy)
	restore := s.cutStore()
	boottime.SimulateSuspend(time.Second)
	s.waitUntil("the replica was checked", func() bool { return n.checks()["inconclusive"] > 0 })
	assert.Equal(t, n.checks()["ended"], 0)
	restore()
	s.waitUntil("the replica is gone", func() bool { return n.checks()["ended"] > 0 })
}

// Plain calls end at their time limits before an error tells that their replica can't be
// reached. Each idle connection to it then cost another call.
func TestSilentReplicaCostsOnePlainCall(t *testing.T) {
	s := newSilentSite(t)
	n := s.startReadyNode("n1")
	n.openIdleConns(s.silent, 5)
	other := s.startReplica(appService, "b")
	s.waitUntil("the second replica is known", func() bool { return replicaCount(n, appService) == 2 })
	s.goSilent(s.proxy)
	lost := 0
	for range 30 {
		got := n.send(request("POST", "/once/x", "", "Deadline-Ms: 800"))
		if got.status != 200 {
			assert.Equal(t, got.status, 504)
			lost++
		}
	}
	assert.Assert(t, lost <= 1, "%d calls were lost", lost)
	assert.Assert(t, len(other.Received()) >= 29)
}

// With a single replica its idle connections from before a silence were used one after the
// other, each at the cost of a call. Calls after the first lost one must use new connections.
func TestOnlyReplicaIsCalledOnNewConnectionsAfterASilence(t *testing.T) {
	s := newSilentSite(t)
	n := s.startReadyNode("n1")
	n.openIdleConns(s.silent, 5)
	s.proxy.Silence(true, true, everyConn)
	assert.Equal(t, n.send(request("POST", "/once/x", "", "Deadline-Ms: 800")).status, 504)
	for range 5 {
		assert.Equal(t, n.send(request("POST", "/once/x", "", "Deadline-Ms: 800")).status, 200)
	}
}

// A replica that was expected to answer late was taken for slow, not for silent, and each idle
// connection from before cost a call. Calls after the first lost one must use new connections.
func TestSlowReplicaIsCalledOnNewConnectionsAfterASilence(t *testing.T) {
	s := newSilentSite(t)
	n := s.startReadyNode("n1")
	n.openIdleConnsSlowly(s.silent, 5, 600*time.Millisecond)
	s.proxy.Silence(true, true, everyConn)
	assert.Equal(t, n.send(request("POST", "/once/x", "", "Deadline-Ms: 800")).status, 504)
	for range 5 {
		assert.Equal(t, n.send(request("POST", "/once/x", "", "Deadline-Ms: 800")).status, 200)
	}
}
