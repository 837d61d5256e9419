package gateway

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin/memtable"
	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/service/peer"
	"github.com/drumpath/drumpath/service/suspects"
	"github.com/drumpath/drumpath/service/tables"
)

// at returns a position in the first era.
func at(version int64) history.Position { return history.Position{Version: version} }

// newDiscoveringNode returns a node that knows no other, with the rows of count nodes in halls
// in the store.
func newDiscoveringNode(t *testing.T, count, halls int) (*nodes, *memtable.Store) {
	self := control.Member{Name: "front-0", DataHall: "hall-0", Link: 20, Incarnation: 1}
	log := slog.New(slog.DiscardHandler)
	m := control.NewMembers(self, time.Second, nil, newRand())
	store := &memtable.Store{}
	for i := range count {
		hall := fmt.Sprint("hall-", i%halls)
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 67, byte(i >> 8), byte(i)}), 9)
		value, err := json.Marshal(nodeRow{Peer: addr, Entry: addr, DataHall: hall, Link: 20})
		assert.NilError(t, err)
		store.Version++
		store.Rows = append(store.Rows, site.Row{Key: hallKeys(hall) + fmt.Sprint("front-", i), Position: at(store.Version), Value: value})
	}
	n := &nodes{
		self: self, members: m, store: store, eras: store.Eras(), coldShares: newColdShares(self, m), log: log, loads: newLoadState(),
		suspects: suspects.New(self, m, nil, nil, log),
	}
	n.nodeTable = &tables.Follower{Store: store, Table: site.TableNodes, Apply: n.applyNodeRows, Log: log}
	var err error
	n.probes, err = peer.NewProbes(netip.MustParseAddrPort("127.0.0.1:0"), "key", nil, log)
	assert.NilError(t, err)
	n.probes.Start()
	t.Cleanup(n.probes.Close)
	return n, store
}

// A node that started greeted all others. With 985 nodes that was a million greetings, 0.23 GB
// between data halls, at each start of all.
func TestStartingNodeGreetsOnlyItsHallInALargeFleet(t *testing.T) {
	const nodeCount, halls = 985, 5
	n, _ := newDiscoveringNode(t, nodeCount, halls)
	listed, restarted, err := n.listHall(t.Context())
	assert.Assert(t, err == nil && restarted)
	assert.Equal(t, listed, nodeCount/halls-1)
	assert.Assert(t, len(n.discovery.unprobed) < nodeCount/halls)
	n.discover(t.Context())
	assert.Assert(t, len(n.discovery.unprobed) < nodeCount/halls)
	assert.Equal(t, n.members.View().Counts().Alive, 1+nodeCount-nodeCount/halls, "the nodes of other halls count as alive")
	for _, m := range n.members.View().Hall("hall-3").Alive {
		assert.Assert(t, m.Entry.IsValid() && m.Link == 20)
	}
}

// The only node of its hall does not wait for others of it when it starts again.
func TestRestartedNodeOfASmallHallDoesNotWait(t *testing.T) {
	n, _ := newDiscoveringNode(t, 3, 3)
	start := time.Now()
	n.join(t.Context())
	assert.Assert(t, time.Since(start) < n.startDelay()+joinRetryDelay/2)
}

// In a small fleet all nodes greet each other, so that a node that is gone is not used before a
// probe shows it.
func TestStartingNodeGreetsAllNodesOfASmallFleet(t *testing.T) {
	n, _ := newDiscoveringNode(t, 9, 3)
	n.discover(t.Context())
	assert.Equal(t, n.members.View().Counts().Alive, 1)
}

// The list of nodes is read again a few times after a start, as nodes that start together write
// their rows over some seconds, and then seldom.
func TestListOfNodesIsReadAgainAfterAStart(t *testing.T) {
	n, store := newDiscoveringNode(t, 9, 3)
	n.members.Merge([]control.Member{{Name: "front-1", DataHall: "hall-1", Incarnation: 1}}, time.Now())
	start := time.Now()
	for step := range 300 {
		if n.readDue(start.Add(time.Duration(step) * discoverInterval)) {
			store.Calls++
			n.discovery.readAt = start.Add(time.Duration(step) * discoverInterval)
			if n.discovery.firstReadAt.IsZero() {
				n.discovery.firstReadAt = n.discovery.readAt
			}
		}
	}
	assert.Equal(t, store.Calls, 1+len(earlyReads)+1, "in 30 s")
}

// Rows of the previous version have no data hall; their nodes are greeted.
func TestRowsOfThePreviousVersionAreRead(t *testing.T) {
	n, store := newDiscoveringNode(t, 300, 5)
	store.Rows = append(store.Rows, site.Row{Key: "front-old", Position: at(store.Version + 1), Value: []byte(`{"peer":"127.0.0.1:1"}`)})
	store.Version++
	n.discover(t.Context())
	assert.Assert(t, n.members.View().Counts().Alive > 200)
	assert.Equal(t, nodeName("front-old"), "front-old")
	assert.Equal(t, nodeName("hall-1/front-7"), "front-7")
}

// Nodes with narrow links wait a moment as they start, as they read through those with wide ones.
func TestNodesWithWideLinksStartFirst(t *testing.T) {
	wide, narrow := &nodes{self: control.Member{Link: 1000}}, &nodes{self: control.Member{Link: 20}}
	assert.Assert(t, wide.startDelay() <= 10*time.Millisecond)
	assert.Equal(t, narrow.startDelay(), 250*time.Millisecond)
	assert.Equal(t, (&nodes{self: control.Member{Link: 1}}).startDelay(), maxStartDelay)
	assert.Equal(t, (&nodes{}).startDelay(), time.Duration(0))
}

// A node must not have its whole part of the retry budget at once if an earlier process of it may
// have used that: its row exists, or could not be looked for.
func TestRetryBudgetIsLimitedUnlessNodeStartsForTheFirstTime(t *testing.T) {
	for _, tt := range []struct {
		name                   string
		listed, storeReachable bool
		granted                int
	}{
		{"first start", false, true, 70},
		{"row of an earlier process", true, true, 0},
		{"row not read", false, false, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			n, store := newDiscoveringNode(t, 3, 1)
			if !tt.listed {
				n.self.Name = "front-new"
			}
			store.Fail = !tt.storeReachable
			n.join(t.Context())
			g := &Gateway{nodes: n, log: n.log, startedAt: boottime.Now(), retryBudgets: map[string]*retryBudget{}}
			g.settings.Store(&config.GatewaySettings{Retry: config.RetrySettings{Slack: 100 * assumedNodes, Window: config.Duration(time.Hour)}})
			assert.Equal(t, takeRetries(g, "app"), tt.granted)
		})
	}
}

// After the store had come back from a copy without a node's row, the row was never written again.
func TestMissingNodeRowIsWrittenAgain(t *testing.T) {
	n, _ := newDiscoveringNode(t, 9, 3)
	n.discover(t.Context())
	n.discovery.announced = true
	own, err := n.encodeRow()
	assert.NilError(t, err)
	n.applyNodeRows([]site.Row{{Key: n.rowKey(), Value: own}}, true, time.Now())
	assert.Assert(t, n.discovery.announced)
	n.applyNodeRows(nil, false, time.Now())
	assert.Assert(t, n.discovery.announced, "changes of other rows")
	n.handleEra()
	assert.Assert(t, n.readDue(boottime.Now().Add(n.rewriteLimit())))
	n.applyNodeRows([]site.Row{{Key: n.rowKey(), Value: []byte(`{"peer":"127.0.0.1:1"}`)}}, true, time.Now())
	assert.Assert(t, !n.discovery.announced, "the row of an earlier start")
	assert.Assert(t, !n.discovery.nextAnnounce.After(boottime.Now().Add(n.rewriteLimit())))
}

// newAskedNode starts a node that answers others that start, and returns its address.
func newAskedNode(t *testing.T, eras ...history.Era) (*nodes, netip.AddrPort) {
	store := &memtable.Store{}
	for _, era := range eras {
		store.KnownEras.Observe(era, boottime.Now())
	}
	log := slog.New(slog.DiscardHandler)
	asked := &nodes{store: store, eras: &store.KnownEras, siteState: NewSiteState(nil, "h", time.Second, route.NewCacheIndex(), log)}
	asked.canaries = newCanaries(control.Member{}, control.NewMembers(control.Member{}, time.Second, nil, newRand()), store, nil, nil, 0, log)
	server, err := peer.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), map[peer.Role]string{peer.RolePeer: "key"}, log)
	assert.NilError(t, err)
	server.Handle(peer.RolePeer, methodStartState, peer.Handle(asked.serveStartState))
	server.Start()
	t.Cleanup(server.Close)
	return asked, server.Addr()
}

// A node whose row was lost with an era of the store took itself for new, and had its part of the retry budget once
// more.
func TestRetryBudgetIsLimitedIfTheNodesRowMayBeLost(t *testing.T) {
	for _, tt := range []struct {
		name      string
		eras      []history.Era
		firstTime bool
	}{{"the store has not come back", []history.Era{3}, true}, {"the store has come back", []history.Era{3, 4}, false}} {
		t.Run(tt.name, func(t *testing.T) {
			asked, addr := newAskedNode(t, tt.eras...)
			asked.started.Store(true)
			n, _ := newDiscoveringNode(t, 0, 1)
			n.members.Merge([]control.Member{{Name: "n1", DataHall: "hall-0", Peer: addr, Incarnation: 1}}, time.Now())
			n.firstStart.Store(true)
			n.learnStartState(t.Context(), peer.NewClient("key"), time.Minute)
			assert.Equal(t, n.firstStart.Load(), tt.firstTime)
		})
	}
}

// A node that started asked two others, and learned nothing if these had just started as well.
func TestStartingNodeAsksOnUntilOneKnows(t *testing.T) {
	n, _ := newDiscoveringNode(t, 0, 1)
	for i := range startStatesAsked {
		eras := []history.Era{4}
		if i == 4 {
			eras = []history.Era{3, 4}
		}
		asked, addr := newAskedNode(t, eras...)
		asked.started.Store(i == 4)
		n.members.Merge([]control.Member{{Name: fmt.Sprint("m", i), DataHall: "hall-0", Peer: addr, Incarnation: 1}}, time.Now())
	}
	n.learnStartState(t.Context(), peer.NewClient("key"), time.Minute)
	_, _, ok := n.eras.Begun(boottime.Now())
	assert.Assert(t, ok)
}

// What a node learns as it starts grows with the replicas that leave, not with all of them.
func TestAnswerToAStartingNodeIsSmall(t *testing.T) {
	for _, size := range []struct{ nodes, replicas int }{{7, 23}, {71, 560}, {295, 2300}, {900, 6900}} {
		asked, _ := newAskedNode(t, 3, 4)
		asked.started.Store(true)
		now := boottime.Now()
		for i := range size.replicas {
			ref := route.ReplicaRef{ID: fmt.Sprintf("i-%010x", i), Started: time.UnixMilli(1796000000000 + int64(i))}
			switch i % 10 { // A tenth leave, half of them without saying so, within the last minute.
			case 0:
				if i%20 == 0 {
					asked.siteState.AssumeLeft(ref, history.Position{Era: 3, Version: int64(100000 + i)}, now)
				} else {
					asked.siteState.ApplyDraining(ref, now)
				}
			case 1: // Others have left before.
				asked.siteState.ApplyDraining(ref, now.Add(-2*leftRetention))
			}
		}
		state, err := asked.serveStartState(t.Context(), startStateRequest{})
		assert.NilError(t, err)
		body, err := json.Marshal(state)
		assert.NilError(t, err)
		t.Logf("%d nodes, %d replicas: %d bytes", size.nodes, size.replicas, len(body))
		assert.Assert(t, len(body) <= 100+10*size.replicas, "%d bytes", len(body))
	}
}
