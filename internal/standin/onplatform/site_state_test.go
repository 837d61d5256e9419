package onplatform_test

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

func TestNodeWithoutConfigurationAsksClientsToRetry(t *testing.T) {
	s := newSite(t)
	s.store.SetMode(onplatform.ModeRefusing)
	n := s.startNode("n1")
	s.waitUntil("the node asks the store", func() bool { return s.store.Calls() > 0 })
	assert.Assert(t, !n.isReady())
	got := n.send(request("GET", "/safe/x", ""))
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	s.store.SetMode(onplatform.ModeUp)
	s.startReplica(appService, "a")
	s.waitUntil("the node is ready", n.isReady)
	assert.Equal(t, n.send(request("GET", "/safe/x", "")).status, 200)
}

func TestConfigurationChangeTakesEffect(t *testing.T) {
	s := newSite(t)
	s.startReplica(appService, "a")
	n := s.startReadyNode("n1")
	s.routes = append(s.routes, map[string]any{
		"name": "new", "host": host, "path_prefix": "/safe/new/", "kind": "idempotent", "timeout_ms": 1000, "service": llmService, "max_attempts": 1,
	})
	s.startReplica(llmService, "e")
	s.configure()
	s.waitUntil("the longer prefix wins", func() bool { return n.send(request("GET", "/safe/new/x", "")).body == "from e" })
	s.routes = s.routes[1:]
	s.configure()
	s.waitUntil("the dropped route is gone", func() bool { return n.send(request("POST", "/once/x", "b")).status == 404 })
}

func TestConfigurationIsNeverReplacedByAnOlderOne(t *testing.T) {
	s := newSite(t)
	s.startReplica(appService, "a")
	n := s.startReadyNode("n1")
	s.store.SetMode(onplatform.ModeStale) // From now on reads of whole tables return this state.
	s.routes = s.routes[1:]
	s.configure()
	gone := func() bool { return n.send(request("POST", "/once/x", "b")).status == 404 }
	s.waitUntil("the dropped route is gone", gone)
	calls := s.store.Calls()
	s.store.TruncateHistory() // Makes the node read the whole table, which is stale.
	s.waitUntil("the node has read again", func() bool { return s.store.Calls() > calls+3 })
	assert.Assert(t, gone())
	s.version -= 2
	s.routes = append([]map[string]any{{"name": "once", "host": host, "path_prefix": "/once/", "kind": "non_idempotent", "timeout_ms": 1000, "service": appService}}, s.routes...)
	s.store.SetMode(onplatform.ModeUp)
	s.configure() // Writes an older version later.
	calls = s.store.Calls()
	s.waitUntil("the node has read again", func() bool { return s.store.Calls() > calls+3 })
	assert.Assert(t, gone())
}

func TestRevokedKeyIsRefused(t *testing.T) {
	s := newSite(t)
	s.startReplica(appService, "a")
	n := s.startReadyNode("n1")
	c := n.dial()
	c.write(request("GET", "/safe/x", ""))
	assert.Equal(t, c.read().status, 200)
	s.tenants = s.tenants[1:]
	s.configure()
	s.waitUntil("the key is refused, also on an open connection", func() bool {
		c.write(request("GET", "/safe/x", ""))
		return c.read().status == 401
	})
}

func TestInvalidRowsAreSkipped(t *testing.T) {
	s := newSite(t)
	s.startReplica(appService, "a")
	n := s.startReadyNode("n1")
	s.store.Put(onplatform.TableUpstreams, "odd", "no JSON")
	s.store.Put(onplatform.TableUpstreams, "odder", map[string]any{"service": appService, "addr": "nowhere", "state": "ready"})
	s.store.Put(onplatform.TableOperator, "config", "no JSON either")
	s.store.Put(onplatform.TableOperator, "unknown", map[string]any{"what": 1})
	s.startReplica(appService, "b")
	s.waitUntil("a row written after them is used", func() bool { return n.send(request("GET", "/safe/x", "")).body == "from b" })
}

func TestDrainingReplicaGetsNoNewRequests(t *testing.T) {
	s := newSite(t)
	a := s.startReplica(appService, "a")
	s.startReplica(appService, "b")
	n := s.startReadyNode("n1")
	s.waitUntil("both serve", func() bool { return n.send(request("GET", "/safe/x", "")).body == "from a" })
	s.listReplica(appService, a, "draining", 0)
	// The node may not have read the new row yet.
	s.waitUntil("the draining replica gets nothing", func() bool {
		before := len(a.Received())
		for range 20 {
			n.send(request("GET", "/safe/x", ""))
		}
		return len(a.Received()) == before
	})
	s.store.Delete(onplatform.TableUpstreams, "b")
	s.waitUntil("no replica is left", func() bool { return n.send(request("GET", "/safe/x", "")).status == 503 })
}

// A replica cannot renew its row while the store is down. A row that is gone when the store
// returns must stay in use for a while, so that the replica can write it again.
func TestReplicaDelistedDuringStoreOutageIsKeptForAWhile(t *testing.T) {
	s := newSite(t)
	a := s.startReplica(appService, "a")
	n := s.startReadyNode("n1")
	assert.Equal(t, n.send(request("GET", "/safe/x", "")).status, 200)
	s.store.SetMode(onplatform.ModeRefusing)
	calls := s.store.Calls()
	s.waitUntil("the node has noticed", func() bool { return s.store.Calls() > calls+4 })
	s.store.Delete(onplatform.TableUpstreams, "a")
	s.store.SetMode(onplatform.ModeUp)
	calls = s.store.Calls()
	s.waitUntil("the node has read the deletion", func() bool { return s.store.Calls() > calls+1 })
	assert.Equal(t, n.send(request("GET", "/safe/x", "")).status, 200)
	s.waitUntil("the replica is dropped in the end", func() bool { return n.send(request("GET", "/safe/x", "")).status == 503 })
	s.listReplica(appService, a, "ready", 0)
	s.waitUntil("the replica is back", func() bool { return n.send(request("GET", "/safe/x", "")).status == 200 })
}

func TestNodeRecoversFromSilentStore(t *testing.T) {
	s := newSite(t)
	s.startReplica(appService, "a")
	n := s.startReadyNode("n1")
	s.store.SetMode(onplatform.ModeSilent)
	calls := s.store.Calls()
	s.waitUntil("the node has asked again", func() bool { return s.store.Calls() > calls+2 })
	assert.Equal(t, n.send(request("GET", "/safe/x", "")).status, 200) // The last known state stays in force.
	s.routes = s.routes[1:]
	s.configure()
	s.store.SetMode(onplatform.ModeUp)
	s.waitUntil("the new configuration is in force", func() bool { return n.send(request("POST", "/once/x", "b")).status == 404 })
}

func TestNodesDiscoverEachOtherAndAnnounceAStop(t *testing.T) {
	s := newSite(t)
	a := s.startReplica(appService, "a")
	n1, n2 := s.startReadyNode("n1"), s.startReadyNode("n2")
	s.waitUntil("each node lists both", func() bool {
		return strings.Contains(n1.resolve(), n2.entry) && strings.Contains(n2.resolve(), n1.entry)
	})
	started := make(chan struct{})
	release := make(chan struct{})
	a.Script(func(w io.Writer, in *onplatform.Request) bool {
		close(started)
		<-release
		return onplatform.OK("whole")(w, in)
	})
	c := n2.dial()
	c.write(request("POST", "/once/x", "body"))
	<-started
	drained := make(chan struct{})
	go func() {
		n2.Drain()
		close(drained)
	}()
	s.waitUntil("no node lists the stopping one", func() bool {
		return !strings.Contains(n1.resolve(), n2.entry) && !n2.isReady()
	})
	close(release)
	got := c.read()
	assert.Equal(t, got.body, "whole")
	assert.Assert(t, got.closing)
	<-drained
	n2.close()
}

func TestIdleConnectionsAreClosedAtAStop(t *testing.T) {
	s := newSite(t)
	s.startReplica(appService, "a")
	n := s.startReadyNode("n1")
	c := n.dial()
	c.write(request("GET", "/safe/x", ""))
	assert.Equal(t, c.read().status, 200)
	go n.Drain()
	_, err := c.r.ReadByte()
	assert.Assert(t, err == io.EOF)
}

// logLines collects log output and counts occurrences in it.
type logLines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logLines) count(part string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), part)
}

func TestStoreLossAndReturnAreLoggedOnce(t *testing.T) {
	s := newSite(t)
	lines := &logLines{}
	s.log = slog.New(slog.NewTextHandler(lines, nil))
	s.startReplica(appService, "a")
	s.startReadyNode("n1")
	for round, mode := range []onplatform.Mode{onplatform.ModeRefusing, onplatform.ModeSilent, onplatform.ModeRefusing} {
		s.store.SetMode(mode)
		s.waitUntil("the loss of both tables is logged", func() bool { return lines.count(`msg="store lost"`) == 2*(round+1) })
		calls := s.store.Calls()
		s.waitUntil("the store was called again", func() bool { return s.store.Calls() > calls+3 })
		s.store.SetMode(onplatform.ModeUp)
		s.waitUntil("the return of both is logged", func() bool { return lines.count(`msg="store back"`) == 2*(round+1) })
	}
	assert.Equal(t, lines.count(`msg="store lost"`), 6)
	assert.Equal(t, lines.count(`table=operator`), 6)
}

// prompt returns a request with a prompt of three parts.
func prompt(session string) string {
	return request("POST", "/prompt/x", "text", "Model: "+model, "Token-Usage: 900,10",
		fmt.Sprintf("Prefix-Hash: aa:500,%s:300,%x:100", session, requestCount.Add(1)))
}

func TestPromptsNameTheWeightsOfTheirReplica(t *testing.T) {
	s := newSite(t)
	r := s.startReplica(llmService, "e")
	n := s.startReadyNode("n1")
	r.Script(onplatform.Events(1, 2, time.Millisecond, true))
	assert.Equal(t, n.send(prompt("b0")).body, events(1, 2))
	in := r.Received()[0]
	assert.Equal(t, in.Header.Get("Expect-Version"), "1")
	shared := in.Header.Get("Cache-Salt")
	assert.Assert(t, shared != "")
	s.listReplica(llmService, r, "ready", 2)
	s.waitUntil("the salt changes with the weights", func() bool {
		n.send(prompt("b0"))
		last := r.Received()[len(r.Received())-1]
		return last.Header.Get("Cache-Salt") != shared && last.Header.Get("Expect-Version") == "2"
	})
}

// Prompts of an isolated organisation must have a cache salt of their own.
func TestIsolatedOrganisationSharesNoCache(t *testing.T) {
	s := newSite(t)
	r := s.startReplica(llmService, "e")
	n := s.startReadyNode("n1")
	r.Script(onplatform.Events(1, 2, time.Millisecond, true))
	n.send(prompt("b0"))
	n.send(strings.Replace(prompt("b0"), key, "key-two", 1))
	seen := r.Received()
	assert.Equal(t, len(seen), 2)
	assert.Assert(t, seen[0].Header.Get("Cache-Salt") != seen[1].Header.Get("Cache-Salt"))
}

func TestPromptsBeyondEngineCapacityAreRefusedAtOnce(t *testing.T) {
	s := newSite(t)
	r := s.startReplica(llmService, "e")
	n := s.startReadyNode("n1")
	r.Script(onplatform.Hang)
	var clients []*client
	for range 12 {
		c := n.dial()
		c.write(prompt("b0"))
		clients = append(clients, c)
	}
	refused, held := 0, 0
	for _, c := range clients {
		switch got := c.read(); got.status {
		case 503:
			assert.Assert(t, got.header.Get("Retry-After") != "")
			refused++
		case 504: // It was sent to the engine and may have run.
			held++
		default:
			t.Fatalf("status %d", got.status)
		}
	}
	assert.Equal(t, len(r.Received()), held, "what was refused has not run")
	assert.Assert(t, refused > 0 && held >= 4, "%d refused, %d held", refused, held)
}

// All nodes end at once and are replaced by nodes at other addresses, which must not list the
// old ones.
func TestAllNodesRestartTogether(t *testing.T) {
	s := newSite(t)
	s.startReplica(appService, "a")
	old := []*node{s.startReadyNode("n1"), s.startReadyNode("n2")}
	for _, n := range old {
		n.close()
	}
	n1, n2 := s.startReadyNode("n1"), s.startReadyNode("n2")
	s.waitUntil("each lists both new nodes and no old one", func() bool {
		for _, n := range []*node{n1, n2} {
			addrs := n.resolve()
			if !strings.Contains(addrs, n1.entry) || !strings.Contains(addrs, n2.entry) {
				return false
			}
			for _, o := range old {
				if strings.Contains(addrs, o.entry) {
					return false
				}
			}
		}
		return true
	})
	assert.Equal(t, n1.send(request("GET", "/safe/x", "")).status, 200)
	assert.Equal(t, n2.send(request("GET", "/safe/x", "")).status, 200)
}

// A stopping node must refuse the prompts in its queue with Retry-After, so that clients go to
// other nodes, and still answer those that the engine has started.
func TestQueuedPromptsAreRefusedAtAStop(t *testing.T) {
	s := newSite(t)
	r := s.startReplica(llmService, "e")
	n := s.startReadyNode("n1")
	release := make(chan struct{})
	unblock := sync.OnceFunc(func() { close(release) })
	defer unblock() // Close of the engine waits for its requests.
	r.Script(func(w io.Writer, r *onplatform.Request) bool {
		<-release
		return onplatform.Events(1, 1, 0, true)(w, r)
	})
	const sent = 12
	answers := make(chan reply, sent)
	for range sent {
		c := n.dial()
		c.write(strings.Replace(prompt("b0"), "/prompt/", "/patient/", 1))
		go func() { answers <- c.read() }()
	}
	s.waitUntil("the engine has some", func() bool { return len(r.Received()) >= 2 })
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		n.Drain()
	}()
	s.waitUntil("the queued prompts are refused", func() bool { return len(answers) == sent-len(r.Received()) })
	held := len(r.Received())
	assert.Assert(t, held < sent)
	for range sent - held {
		got := <-answers
		assert.Equal(t, got.status, 503)
		assert.Assert(t, got.header.Get("Retry-After") != "")
	}
	unblock()
	for range held {
		assert.Equal(t, (<-answers).status, 200, "what the engine has started is answered")
	}
	<-stopped
	assert.Equal(t, len(r.Received()), held, "what was refused has not run")
}

// A replica that answers 421 has restarted since it was listed, so the listed process is gone.
// Nodes must try it again only every few seconds.
func TestReplicaThatAnswers421IsRetriedRarely(t *testing.T) {
	s := newSite(t)
	restarted, serving := s.startReplica(appService, "a"), s.startReplica(appService, "b")
	n := s.startReadyNode("n1")
	restarted.Script(onplatform.NotExecuted(421))
	start := time.Now()
	const sent = 60
	for range sent {
		assert.Equal(t, n.send(request("GET", "/safe/x", "")).status, 200)
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, len(serving.Received()), sent)
	assert.Assert(t, len(restarted.Received()) >= 1)
	most := 1 + int(time.Since(start)/(3*time.Second))
	assert.Assert(t, len(restarted.Received()) <= most, "%d attempts", len(restarted.Received()))
}
