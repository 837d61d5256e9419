package gateway

import (
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/service/peer"
)

// A node that was cut off alone gave replicas that had left meanwhile time to return, from when it could read the list again, and
// sent them requests for that long.
func TestNodeCutOffAloneDoesNotWaitForReplicasThatHaveLeft(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	for _, tc := range []struct {
		name string
		// outage has the store away for all nodes, until the given time before the node reads the list again.
		outage func(other *SiteState, back time.Time)
		waits  bool
	}{
		{name: "only_this_node", outage: func(*SiteState, time.Time) {}},
		{name: "store_away", waits: true, outage: func(other *SiteState, back time.Time) {
			other.MarkStoreUnreachable(back.Add(-900 * time.Millisecond))
			other.MarkStoreSynced(back.Add(-100 * time.Millisecond))
		}},
		{name: "other_stood_still", waits: true, outage: func(other *SiteState, back time.Time) {
			other.MarkStoreSynced(back.Add(maxListGap + time.Second))
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			const returnTime = 2 * time.Second
			newState := func() *SiteState { return NewSiteState(nil, "h", returnTime, route.NewCacheIndex(), log) }
			st, other := newState(), newState()
			back := boottime.Now()
			for _, s := range []*SiteState{st, other} {
				s.applyRow(site.Upstream{ID: "e", Service: "s", DataHall: "h"}, back.Add(-time.Minute))
				s.MarkStoreSynced(back.Add(-3 * time.Second))
				s.MarkStoreSynced(back.Add(-time.Second))
			}
			server, err := peer.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), map[peer.Role]string{peer.RolePeer: "key"}, log)
			assert.NilError(t, err)
			server.Handle(peer.RolePeer, methodListContact, peer.Handle((&nodes{siteState: other}).serveListContact))
			server.Start()
			defer server.Close()
			client := peer.NewClient("key")
			defer client.Close()
			m := control.NewMembers(control.Member{Name: "n0", DataHall: "h", Incarnation: 1}, time.Second, nil, newRand())
			member := control.Member{Name: "n1", DataHall: "h", Incarnation: 1, Peer: server.Addr()}
			m.Merge([]control.Member{member}, time.Now())
			member.State = control.MemberDead // As this node did not reach it.
			m.Merge([]control.Member{member}, time.Now())
			n := &nodes{self: m.Self(), members: m, siteState: st, log: log}

			st.MarkStoreUnreachable(back.Add(-100 * time.Millisecond))
			tc.outage(other, back)
			st.ApplyUpstreams(nil, true, back)
			assert.Assert(t, st.MarkStoreSynced(back))
			n.learnListContact(t.Context(), client)
			st.Expire(back.Add(upstreamExpireInterval))
			assert.Equal(t, st.UpstreamCount() == 1, tc.waits)
			st.Expire(back.Add(returnTime))
			assert.Equal(t, st.UpstreamCount(), 0)
		})
	}
}
