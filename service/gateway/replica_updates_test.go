package gateway

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/service/peer"
)

// newTestNodes returns the state of a node that knows three halls with perHall nodes each.
func newTestNodes(perHall int) *nodes {
	self := control.Member{Name: "a-0", DataHall: "a", Incarnation: 1}
	m := control.NewMembers(self, time.Second, nil, rand.New(rand.NewPCG(1, 2)))
	var list []control.Member
	for h, hall := range []string{"a", "b", "c"} {
		for i := range perHall {
			list = append(list, control.Member{
				Name: fmt.Sprint(hall, "-", i), DataHall: hall, Incarnation: 1,
				Peer: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+100*h+i)),
			})
		}
	}
	m.Merge(list, time.Now())
	return &nodes{self: self, members: m, log: slog.New(slog.DiscardHandler), loads: newLoadState(), siteState: &SiteState{}}
}

// Sent to each of 300 nodes, the updates of a roll-out over 3,000 replicas took nine
// tenths of the traffic between halls that a day allows.
func TestReplicaUpdatesGoThroughOneRelayPerLargeHall(t *testing.T) {
	small := newTestNodes(3)
	direct, relays := small.updateRecipients(0)
	assert.Equal(t, len(direct), 8)
	assert.Equal(t, len(relays), 0)
	large := newTestNodes(60)
	direct, relays = large.updateRecipients(0)
	assert.Equal(t, len(direct), 0)
	assert.Equal(t, len(relays), 3)
	_, secondTry := large.updateRecipients(1)
	for _, r := range secondTry {
		for _, first := range relays {
			assert.Assert(t, r != first, "another node is asked the second time")
		}
	}
}

func TestReplicaUpdatesAreRelayedInHall(t *testing.T) {
	received := make(chan replicaUpdatesNote, 1)
	// An address at which no other process listens.
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 77, byte(os.Getpid()), byte(os.Getpid() >> 8)}), 8004)
	listener, err := peer.NewProbes(addr, "key", nil, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	listener.OnNote(noteReplicaUpdates, func(params json.RawMessage) {
		var got replicaUpdatesNote
		assert.Check(t, json.Unmarshal(params, &got))
		received <- got
	})
	listener.Start()
	t.Cleanup(listener.Close)
	n := newTestNodes(1)
	n.members.Merge([]control.Member{{Name: "a-1", DataHall: "a", Incarnation: 1, Peer: addr}}, time.Now())
	n.probes, err = peer.NewProbes(netip.MustParseAddrPort("127.0.0.1:0"), "key", nil, n.log)
	assert.NilError(t, err)
	t.Cleanup(n.probes.Close)
	note, err := json.Marshal(replicaUpdatesNote{Updates: []replicaUpdate{{Replica: "r", AvoidMs: 5}}, Relay: true})
	assert.NilError(t, err)
	n.probes.Start()
	n.handleReplicaUpdates(note)
	got := <-received
	assert.Equal(t, got.Updates[0].Replica, "r")
	assert.Assert(t, !got.Relay, "relayed only once")
}
