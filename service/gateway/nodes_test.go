package gateway

import (
	"bytes"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin/memtable"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/service/peer"
	"github.com/drumpath/drumpath/service/suspects"
	"github.com/drumpath/drumpath/service/tables"
)

// A node that knows others and fails to read the list of nodes waits before it tries
// again, and logs one line for the failure and one for the recovery.
func TestFailedNodeListReadIsNotRetriedAtOnce(t *testing.T) {
	self := control.Member{Name: "n0", DataHall: "h", Incarnation: 1}
	m := control.NewMembers(self, time.Second, nil, rand.New(rand.NewPCG(1, 2)))
	m.Merge([]control.Member{{Name: "n1", DataHall: "h", Incarnation: 1}}, time.Now())
	store := &memtable.Store{Fail: true}
	var logged bytes.Buffer
	n := &nodes{
		eras: &history.Eras{},
		self: self, members: m, store: store, coldShares: newColdShares(self, m),
		log: slog.New(slog.NewTextHandler(&logged, nil)), loads: newLoadState(),
		suspects: suspects.New(self, m, nil, nil, slog.New(slog.DiscardHandler)),
	}
	n.nodeTable = &tables.Follower{Store: store, Table: site.TableNodes, Apply: n.applyNodeRows, Log: n.log}
	for range 5 {
		n.discover(t.Context())
	}
	assert.Equal(t, store.CallCount(), 1)
	n.discovery.nextRead = time.Time{} // Later.
	n.discover(t.Context())
	assert.Equal(t, store.CallCount(), 2)
	assert.Equal(t, strings.Count(logged.String(), "nodes not read"), 1)
	assert.Equal(t, strings.Count(logged.String(), "nodes read again"), 0)
	store.Fail = false
	n.discovery.nextRead = time.Time{}
	var err error
	n.probes, err = peer.NewProbes(netip.MustParseAddrPort("127.0.0.1:0"), "key", nil, n.log)
	assert.NilError(t, err)
	n.probes.Start()
	t.Cleanup(n.probes.Close)
	n.discover(t.Context())
	assert.Equal(t, strings.Count(logged.String(), "nodes read again"), 1)
}

// aliveMembers built its list by deleting suspect nodes from the list that Members shares
// between its callers. That list then ended with a zero member and lacked the suspect
// nodes, so duties were assigned to a node without a name and not performed.
func TestAliveDoesNotModifyWorkingMembers(t *testing.T) {
	n := newTestNodes(3)
	before := slices.Clone(n.members.Working())
	n.members.Merge([]control.Member{{Name: "a-1", DataHall: "a", Incarnation: 1, State: control.MemberSuspect}}, time.Now())
	assert.Equal(t, len(n.members.View().Alive()), len(before)-1)
	var names []string
	for _, m := range n.members.Working() {
		names = append(names, m.Name)
	}
	var want []string
	for _, m := range before {
		want = append(want, m.Name)
	}
	assert.DeepEqual(t, names, want)
}
