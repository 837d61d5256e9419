package onplatform_test

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

const (
	// crashBody ends each replica that runs it, popularBody is sent again and again.
	crashBody   = "a body that ends replicas"
	popularBody = "a body that many callers send"
	// replacementDelay is how long after its end a replica is replaced by one with a new ID.
	replacementDelay = 300 * time.Millisecond
	// blockDelay is the time within which all nodes must know that a replica ended under a
	// request. Operators allow some seconds.
	blockDelay = 500 * time.Millisecond
	// retryPause is how long a refused client waits before its next request.
	retryPause = 5 * time.Millisecond
	// maxCrashes is how many replicas one request may end: three before it is blocked, and those
	// that ran it meanwhile.
	maxCrashes = 5
)

// fleet is a service whose replicas end under crashBody and are replaced.
type fleet struct {
	s *site

	mu            sync.Mutex
	lastID        int
	live          map[string]*onplatform.Replica
	crashArrivals []time.Time // When crashBody reached a replica.
	crashes       []time.Time // When a replica ended under crashBody.
	wg            sync.WaitGroup
}

func (s *site) newFleet(replicas int) *fleet {
	f := &fleet{s: s, live: map[string]*onplatform.Replica{}}
	s.t.Cleanup(f.wg.Wait)
	for range replicas {
		f.startReplica()
	}
	return f
}

// startReplica starts and lists one more replica.
func (f *fleet) startReplica() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastID++
	r := f.s.newReplica(fmt.Sprintf("r%d", f.lastID))
	r.Script(f.script(r))
	f.live[r.ID] = r
	f.s.putRow(r, replicaRow(appService, r, nil))
}

// script answers requests after a short time. One with crashBody ends its replica if it is of
// the organisation org-one.
func (f *fleet) script(r *onplatform.Replica) onplatform.Script {
	return func(w io.Writer, in *onplatform.Request) bool {
		if in.Body != crashBody || in.Header.Get("Tenant") != "org-one" {
			time.Sleep(30 * time.Millisecond)
			return onplatform.Events(1, 1, 0, true)(w, in)
		}
		f.mu.Lock()
		f.crashArrivals = append(f.crashArrivals, time.Now())
		f.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		f.stopReplica(r, true)
		return false
	}
}

// stopReplica ends a replica and starts another one in its place after replacementDelay.
func (f *fleet) stopReplica(r *onplatform.Replica, crashed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.live[r.ID] == nil {
		return
	}
	delete(f.live, r.ID)
	if crashed {
		f.crashes = append(f.crashes, time.Now())
	}
	f.wg.Go(func() {
		r.Close()
		time.Sleep(replacementDelay)
		f.startReplica()
		f.s.store.Delete(onplatform.TableUpstreams, r.ID)
	})
}

// stopSome ends some replicas for reasons that have nothing to do with their requests.
func (f *fleet) stopSome(n int) {
	f.mu.Lock()
	var some []*onplatform.Replica
	for _, r := range f.live {
		if len(some) < n {
			some = append(some, r)
		}
	}
	f.mu.Unlock()
	for _, r := range some {
		f.stopReplica(r, false)
	}
}

// counts returns how many replicas ended under crashBody, and how often it reached a replica
// later than blockDelay after the third end.
func (f *fleet) counts() (crashes, lateArrivals int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < 3 {
		return len(f.crashes), 0
	}
	for _, at := range f.crashArrivals {
		if at.After(f.crashes[2].Add(blockDelay)) {
			lateArrivals++
		}
	}
	return len(f.crashes), lateArrivals
}

// sendAndClose sends one request on a connection of its own and closes it at once, for tests
// that send many.
func (n *node) sendAndClose(text string) reply {
	c := n.dial()
	defer func() { _ = c.conn.Close() }() // The answer has been read.
	c.write(text)
	return c.read()
}

// sendCrashRequest sends a request with crashBody.
func (n *node) sendCrashRequest() reply {
	return n.sendAndClose(request("POST", "/resume/x", crashBody))
}

// repeatCrashRequest sends requests with crashBody to the nodes in turn, for the duration d, and
// counts the answers.
func (s *site) repeatCrashRequest(nodes []*node, d time.Duration) (answers map[string]int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	answers = map[string]int{}
	start := time.Now()
	for i := 0; time.Since(start) < d; i++ {
		wg.Go(func() {
			got := nodes[i%len(nodes)].sendCrashRequest()
			mu.Lock()
			defer mu.Unlock()
			answers[fmt.Sprint(got.status, " ", got.body)]++
		})
		time.Sleep(60 * time.Millisecond)
	}
	wg.Wait()
	return answers
}

func (s *site) startNodes(n int) (list []*node) {
	for i := range n {
		list = append(list, s.startReadyNode(fmt.Sprintf("n%d", i)))
	}
	s.waitUntil("the directory of each node lists all nodes", func() bool {
		for _, n := range list {
			if strings.Count(n.resolve(), ":8001") != len(list) {
				return false
			}
		}
		return true
	})
	return list
}

// A request may crash each replica that starts to run it. A client that repeats it, each time
// with a new ID and at any node, ended 17 of 18 replicas within 16 s, with all other requests in
// flight there and all cached state. What nodes knew (lateness, ejection, suspicion) was about
// replicas, and was lost with the replica that ended. Nodes have to remember the request itself,
// by its fingerprint, so that each repeat is recognised.
func TestRequestThatEndsReplicasIsStoppedByAllNodes(t *testing.T) {
	s := newSite(t)
	f := s.newFleet(8)
	nodes := s.startNodes(3)
	var served, failed atomic.Int64
	stop := make(chan struct{})
	var others sync.WaitGroup
	for i, n := range nodes {
		others.Go(func() { // Other load, half of it the same request.
			for j := 0; ; j++ {
				select {
				case <-stop:
					return
				default:
				}
				body := popularBody
				if j%2 == 0 {
					body = fmt.Sprintf("body %d of node %d", j, i)
				}
				if n.sendAndClose(request("POST", "/resume/x", body)).status == 200 {
					served.Add(1)
				} else {
					failed.Add(1)
					time.Sleep(retryPause)
				}
			}
		})
	}
	answers := s.repeatCrashRequest(nodes, 4*time.Second)
	close(stop)
	others.Wait()
	ended, later := f.counts()
	t.Logf("%d replicas ended, %d arrivals later, answers %v; others: %d served, %d failed", ended, later, answers, served.Load(), failed.Load())
	assert.Assert(t, ended <= maxCrashes, "%d replicas ended", ended)
	assert.Equal(t, later, 0, "arrivals at replicas once all nodes must know")
	const final = `400 {"error":"ends_replicas"}`
	assert.Assert(t, answers[final] > 0, "the client gets a final answer: %v", answers)
	assert.Assert(t, served.Load() > 100 && failed.Load()*50 < served.Load(), "%d served, %d failed", served.Load(), failed.Load())
	for _, n := range nodes {
		got := n.send(request("POST", "/resume/x", popularBody))
		assert.Equal(t, got.status, 200, "a request that often runs is served: %s", got.body)
		got = n.send(strings.Replace(request("POST", "/resume/x", crashBody), "Bearer "+key, "Bearer key-two", 1))
		assert.Equal(t, got.status, 200, "another organisation is not affected: %s", got.body)
	}
}

// A node that starts has no memory of requests that ended replicas, and after a restart of all
// nodes none has. They must learn it from the other nodes or from the store.
func TestRestartedNodesStillBlockRequestThatEndsReplicas(t *testing.T) {
	s := newSite(t)
	f := s.newFleet(8)
	nodes := s.startNodes(2)
	s.repeatCrashRequest(nodes, 2*time.Second)
	ended, _ := f.counts()
	for i := range 3 { // New nodes one by one; then all old ones are replaced.
		late := s.startReadyNode(fmt.Sprintf("late%d", i))
		for range 3 {
			late.sendCrashRequest()
		}
		late.close()
	}
	for _, n := range nodes {
		n.close()
	}
	for _, n := range s.startNodes(2) {
		for range 3 {
			n.sendCrashRequest()
		}
	}
	after, _ := f.counts()
	assert.Assert(t, ended <= maxCrashes, "%d replicas ended", ended)
	assert.Equal(t, after, ended, "replicas that ended under nodes started later")
}

// A node that had just started sent on a blocked request that it received some milliseconds
// before it had read the list of blocked requests, and ended a fourth replica. Here the store
// delays that list. A node that cannot get the list in time serves without it.
func TestStartingNodeWaitsForListOfBlockedRequests(t *testing.T) {
	const readDelay = 500 * time.Millisecond
	s := newSite(t)
	f := s.newFleet(8)
	nodes := s.startNodes(2)
	s.repeatCrashRequest(nodes, 2*time.Second)
	ended, _ := f.counts()
	for _, n := range nodes {
		n.close()
	}
	s.store.DelayRead(onplatform.TableNodes, readDelay)
	n := s.startReadyNode("late")
	start := time.Now()
	got := n.sendCrashRequest()
	assert.Equal(t, got.status, 400, "%s", got.body)
	after, _ := f.counts()
	assert.Equal(t, after, ended, "replicas that ended under a node started later")
	t.Logf("answered after %v", time.Since(start))
	n.close()

	s.store.DelayRead(onplatform.TableNodes, time.Minute)
	n = s.startReadyNode("untold")
	start = time.Now()
	got = n.sendAndClose(request("POST", "/resume/x", popularBody))
	assert.Equal(t, got.status, 200, "%s", got.body)
	assert.Assert(t, time.Since(start) < 2*time.Second, "%v", time.Since(start))
	start = time.Now()
	got = n.sendAndClose(request("POST", "/resume/x", popularBody))
	assert.Equal(t, got.status, 200, "%s", got.body)
	assert.Assert(t, time.Since(start) < 500*time.Millisecond, "only the first requests wait: %v", time.Since(start))
}

// Many replicas end several times for reasons of their own. The request that clients send most
// often is running at each of them, and must not be taken for the cause.
func TestPopularRequestIsNotBlockedWhenReplicasEndByThemselves(t *testing.T) {
	s := newSite(t)
	f := s.newFleet(9)
	nodes := s.startNodes(3)
	statuses := map[int]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for _, n := range nodes {
		for range 6 {
			wg.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					got := n.sendAndClose(request("POST", "/resume/x", popularBody))
					mu.Lock()
					statuses[got.status]++
					mu.Unlock()
					if got.status != 200 {
						time.Sleep(retryPause)
					}
				}
			})
		}
	}
	for range 8 {
		time.Sleep(replacementDelay + 50*time.Millisecond)
		f.stopSome(4)
	}
	close(stop)
	wg.Wait()
	t.Logf("statuses %v", statuses)
	assert.Equal(t, statuses[400], 0, "%v", statuses)
	assert.Assert(t, statuses[200] > 500, "%v", statuses)
	for _, n := range nodes {
		last := reply{}
		defer func() {
			if t.Failed() {
				f.mu.Lock()
				t.Logf("last answer: %d %s; %d replicas live", last.status, last.body, len(f.live))
				f.mu.Unlock()
			}
		}()
		s.waitUntil("all nodes serve it", func() bool {
			last = n.send(request("POST", "/resume/x", popularBody))
			return last.status == 200
		})
	}
}

// Replicas that shut down as planned may cut requests that are still in flight at the end of
// their drain. During a release a long request may meet several of these in a row, and must not
// be blamed for them.
func TestPlannedReplicaShutdownMakesNoRequestSuspect(t *testing.T) {
	for name, leave := range map[string]func(s *site, r *onplatform.Replica){
		"row says draining": func(s *site, r *onplatform.Replica) {
			s.putRow(r, replicaRow(appService, r, map[string]any{"state": "draining"}))
		},
		"row is deleted": func(s *site, r *onplatform.Replica) { s.store.Delete(onplatform.TableUpstreams, r.ID) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			n := s.startNode("n1")
			for i := range 4 {
				r := s.newReplica(fmt.Sprint("leaving", i))
				r.Script(onplatform.Hang)
				s.putRow(r, replicaRow(appService, r, nil))
				s.waitUntil("the node knows the replica", n.isReady)
				c := n.dial()
				s.waitUntil("the replica has a request in flight", func() bool {
					c.write(request("POST", "/resume/x", popularBody))
					time.Sleep(workTime)
					if len(r.Received()) > 0 {
						return true
					}
					got := c.read()
					assert.Assert(t, got.status != 400, "replica %d: %s", i, got.body)
					return false
				})
				leave(s, r)
				s.waitUntil("the node knows that the replica drains", func() bool {
					return n.sendAndClose(request("GET", "/safe/x", "", "Deadline-Ms: 300")).status == 503
				})
				r.Close()
				assert.Equal(t, c.read().status, 502)
				s.store.Delete(onplatform.TableUpstreams, r.ID)
			}
			stays := s.newReplica("stays")
			s.putRow(stays, replicaRow(appService, stays, nil))
			s.waitUntil("the request is served", func() bool { return n.sendAndClose(request("POST", "/resume/x", popularBody)).status == 200 })
		})
	}
}
