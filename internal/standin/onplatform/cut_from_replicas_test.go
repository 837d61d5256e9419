package onplatform_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/netproxy"
	"github.com/drumpath/drumpath/internal/standin/onplatform"
	"github.com/drumpath/drumpath/pkg/config"
)

// cutMode is what becomes of the connections to replicas of a node that is cut off from them.
type cutMode string

const (
	cutHang  cutMode = "hang"  // Open connections fall silent, new ones are not established.
	cutReset cutMode = "reset" // Open connections are reset, new ones refused.
	cutNew   cutMode = "new"   // Open connections live on, new ones are not established.
)

// replicaLinks are the paths from one node to the replicas.
type replicaLinks struct {
	s *site

	mu      sync.Mutex
	proxies map[netip.AddrPort]*netproxy.Proxy // By the replica's address.
	cut     map[netip.AddrPort]cutMode
}

func (s *site) newReplicaLinks() *replicaLinks {
	return &replicaLinks{s: s, proxies: map[netip.AddrPort]*netproxy.Proxy{}, cut: map[netip.AddrPort]cutMode{}}
}

// dial connects to a replica, as gateway.Platform.DialReplica.
func (l *replicaLinks) dial(addr netip.AddrPort, timeout time.Duration) (net.Conn, error) {
	p, mode := l.proxy(addr)
	switch mode {
	case cutReset:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case cutHang, cutNew:
		time.Sleep(timeout)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ETIMEDOUT}
	}
	return net.DialTimeout("tcp", p.Addr().String(), timeout)
}

func (l *replicaLinks) proxy(addr netip.AddrPort) (*netproxy.Proxy, cutMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.proxies[addr]
	if p == nil {
		p = l.s.newProxy(addr)
		l.proxies[addr] = p
	}
	return p, l.cut[addr]
}

// cutOff cuts the node off from replicas.
func (l *replicaLinks) cutOff(mode cutMode, replicas ...*onplatform.Replica) {
	for _, r := range replicas {
		p, _ := l.proxy(r.Addr())
		l.mu.Lock()
		l.cut[r.Addr()] = mode
		l.mu.Unlock()
		switch mode {
		case cutHang:
			p.Silence(true, true, everyConn)
		case cutReset:
			p.Reset()
		}
	}
}

// heal ends all cuts.
func (l *replicaLinks) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.cut)
}

// cutSite has nodes in two data halls in front of replicas of both services.
type cutSite struct {
	*site
	replicas []*onplatform.Replica
	nodes    []*node
	links    []*replicaLinks // Of nodes.
}

const (
	cutSiteNodes = 6 // Half of them in each data hall.
	// contactTime is from when on a node that is cut off must serve its clients as the others do.
	contactTime = 3 * time.Second
)

func newCutSite(t *testing.T) *cutSite {
	s := &cutSite{site: newSite(t)}
	for i := range 3 {
		s.replicas = append(s.replicas, s.startReplica(appService, fmt.Sprintf("app-%d", i)), s.startReplica(llmService, fmt.Sprintf("llm-%d", i)))
	}
	for _, r := range s.replicas {
		r.Script(cutSiteScript)
	}
	for i := range cutSiteNodes {
		settings := s.settings(fmt.Sprintf("n%d", i))
		settings.Node.DataHall = "hall-a"
		if i >= cutSiteNodes/2 {
			settings.Node.DataHall = "hall-b"
		}
		settings.Retry.Slack = 0
		s.startLinkedNode(settings)
	}
	for _, n := range s.nodes {
		s.waitUntil("the nodes know each other and all replicas", func() bool {
			return n.isReady() && replicaCount(n, appService) == 3 && replicaCount(n, llmService) == 3 && nodeCount(n) == cutSiteNodes
		})
	}
	return s
}

// startLinkedNode starts a node whose paths to replicas can be cut.
func (s *cutSite) startLinkedNode(settings config.GatewaySettings) {
	links := s.newReplicaLinks()
	s.links = append(s.links, links)
	s.nodes = append(s.nodes, s.startNodeDialing(settings, links.dial))
}

// cutSiteScript answers streams with some events and all else with a body.
func cutSiteScript(w io.Writer, r *onplatform.Request) bool {
	time.Sleep(5 * time.Millisecond)
	if strings.HasPrefix(r.Target, "/resume/") || strings.HasPrefix(r.Target, "/prompt/") {
		return onplatform.Events(1, 3, 2*time.Millisecond, true)(w, r)
	}
	return onplatform.OK("done")(w, r)
}

// tally counts requests by whether they were served at their first try.
type tally struct {
	sent, served int
	refusedAfter []time.Duration // Of those that were refused.
}

func (t *tally) add(o tally) {
	t.sent, t.served = t.sent+o.sent, t.served+o.served
	t.refusedAfter = append(t.refusedAfter, o.refusedAfter...)
}

// firstTries sends requests of each kind to a node for a time, each on a connection of its own,
// as many clients do that don't know each other.
func (n *node) firstTries(duration time.Duration) (sum tally) {
	const pause = 25 * time.Millisecond
	kinds := []string{"once", "safe", "resume", "prompt"}
	var mu sync.Mutex
	var wg sync.WaitGroup
	i := 0
	for start := time.Now(); time.Since(start) < duration; time.Sleep(pause) {
		kind := kinds[i%len(kinds)]
		i++
		wg.Go(func() {
			one := n.firstTry(kind)
			mu.Lock()
			defer mu.Unlock()
			sum.add(one)
		})
	}
	wg.Wait()
	return sum
}

func (n *node) firstTry(kind string) tally {
	fields := []string{"Deadline-Ms: 2500"}
	if kind == "prompt" {
		fields = append(fields, "Model: "+model, "Token-Usage: 1000,10", "Prefix-Hash: aa:800,"+fmt.Sprintf("%x:200", requestCount.Load()))
	}
	start := time.Now()
	conn, err := net.DialTimeout("tcp", n.entry, time.Second)
	if err != nil {
		return tally{sent: 1}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(start.Add(2500 * time.Millisecond)) // Reading fails if it can't be set.
	if _, err := io.WriteString(conn, request("POST", "/"+kind+"/x", kind, fields...)); err != nil {
		return tally{sent: 1}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return tally{sent: 1}
	}
	defer closeBody(resp)
	body, err := io.ReadAll(resp.Body)
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable:
		return tally{sent: 1, refusedAfter: []time.Duration{time.Since(start)}}
	case err != nil || resp.StatusCode != http.StatusOK || len(body) == 0:
		return tally{sent: 1}
	}
	return tally{sent: 1, served: 1}
}

// tryAll runs firstTries at all nodes at once and sums it up for two groups of them.
func (s *cutSite) tryAll(duration time.Duration, cut []int) (atCut, atOthers tally) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, n := range s.nodes {
		wg.Go(func() {
			one := n.firstTries(duration)
			mu.Lock()
			defer mu.Unlock()
			if slices.Contains(cut, i) {
				atCut.add(one)
			} else {
				atOthers.add(one)
			}
		})
	}
	wg.Wait()
	return atCut, atOthers
}

// assertServedAlike fails if first tries at the nodes that are cut off are served less than two
// thirds as often as at the others, and more than 10 + 1 in 50 of all fail there.
func assertServedAlike(t *testing.T, atCut, atOthers tally) {
	t.Helper()
	failed := atCut.sent - atCut.served
	t.Logf("served at nodes that are cut off: %d of %d, at others: %d of %d", atCut.served, atCut.sent, atOthers.served, atOthers.sent)
	few := 3*atCut.served*atOthers.sent < 2*atOthers.served*atCut.sent
	if few && failed > 10+(atCut.sent+atOthers.sent)/50 {
		t.Errorf("nodes that are cut off served %d of %d first tries, the others %d of %d", atCut.served, atCut.sent, atOthers.served, atOthers.sent)
	}
}

// A node that lost its paths to all replicas refused nearly all requests, though other nodes
// reached the replicas and it reached those nodes.
func TestNodesCutOffFromAllReplicasServeTheirClients(t *testing.T) {
	groups := map[string][]int{
		"one":     {0},
		"most":    {0, 1, 3, 4},
		"a_hall":  {0, 1, 2},
		"but_one": {0, 1, 2, 3, 4},
	}
	for _, mode := range []cutMode{cutHang, cutReset, cutNew} {
		for name, cut := range groups {
			t.Run(fmt.Sprintf("%s_%s", mode, name), func(t *testing.T) {
				s := newCutSite(t)
				atCut, atOthers := s.tryAll(time.Second, cut)
				assert.Equal(t, atCut.served+atOthers.served, atCut.sent+atOthers.sent, "all are served before the cut")
				for _, i := range cut {
					s.links[i].cutOff(mode, s.replicas...)
				}
				s.tryAll(contactTime, cut)
				atCut, atOthers = s.tryAll(2*time.Second, cut)
				assertServedAlike(t, atCut, atOthers)
			})
		}
	}
}

// If no node reaches the replicas, a request waited for connections that could not be made.
func TestRequestsAreRefusedAtOnceWhileNoNodeReachesReplicas(t *testing.T) {
	for _, mode := range []cutMode{cutHang, cutReset} {
		t.Run(string(mode), func(t *testing.T) {
			s := newCutSite(t)
			s.tryAll(time.Second, nil)
			for _, l := range s.links {
				l.cutOff(mode, s.replicas...)
			}
			s.tryAll(contactTime, nil)
			_, sum := s.tryAll(2*time.Second, nil)
			atOnce := 0
			for _, after := range sum.refusedAfter {
				if after < 250*time.Millisecond {
					atOnce++
				}
			}
			t.Logf("%d sent, %d served, %d refused, %d of them at once", sum.sent, sum.served, len(sum.refusedAfter), atOnce)
			assert.Assert(t, 10*atOnce >= 9*sum.sent, "%d of %d requests were refused at once", atOnce, sum.sent)
			for _, l := range s.links {
				l.heal()
			}
			s.waitUntil("all nodes serve again", func() bool {
				_, sum := s.tryAll(300*time.Millisecond, nil)
				return sum.served == sum.sent
			})
		})
	}
}
