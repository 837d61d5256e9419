package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/netproxy"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/service/peer"
)

// serveBehindProxy serves a method between nodes that can be reached only through the
// proxy.
func serveBehindProxy(t *testing.T, method string, fn peer.HandlerFunc) *netproxy.Proxy {
	server, err := peer.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), map[peer.Role]string{peer.RolePeer: "key"}, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	server.Handle(peer.RolePeer, method, fn)
	server.Start()
	t.Cleanup(server.Close)
	p, err := netproxy.New(server.Addr())
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	return p
}

// forEachSilentDirection runs a test for each direction in which a network path may
// silently drop packets, and for both.
func forEachSilentDirection(t *testing.T, test func(t *testing.T, silence func(*netproxy.Proxy))) {
	for name, direction := range map[string][2]bool{"to": {true, false}, "from": {false, true}, "both": {true, true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t, func(p *netproxy.Proxy) {
				assert.Equal(t, p.Silence(direction[0], direction[1], func() bool { return true }), 1)
			})
		})
	}
}

// maxCallTime is enough for a held call to time out on a silent connection and be
// answered on a new one, plus 3 s for a busy machine.
const maxCallTime = cachePollWait + peer.AnswerSlack + cachePollRetry + 3*time.Second

// Engine cache updates are sent over one connection between two nodes. After it had gone
// silent, the receiving node never learned the contents of the data hall's engines again.
func TestEngineCacheUpdatesResumeAfterConnectionGoesSilent(t *testing.T) {
	forEachSilentDirection(t, func(t *testing.T, silence func(*netproxy.Proxy)) {
		e := &fakeEngine{}
		e.add(part("a", 100))
		source := newTestCacheFollower(t, "n0", e)
		p := serveBehindProxy(t, methodCacheUpdates, source.serve)
		subscriber := newCacheUpdateSubscriber(t, p.Addr())
		source.refresh(t.Context())
		subscriber.refresh(t.Context())
		eventually(t, "cached parts are passed on", func() bool { return subscriber.holds("a") })
		silence(p)
		started := time.Now()
		e.add(part("b", 100))
		eventually(t, "changes are passed on", func() bool { return subscriber.holds("b") })
		assert.Assert(t, time.Since(started) < maxCallTime, "%v", time.Since(started))
	})
}

// newCacheUpdateSubscriber returns a node that receives engine cache updates from the node at
// addr.
func newCacheUpdateSubscriber(t *testing.T, addr netip.AddrPort) *engineCacheFollower {
	for i := range 20 { // Find a name with which the node's source is not itself.
		owner := control.Member{Name: "n0", DataHall: "h", State: control.MemberAlive, Peer: addr, Incarnation: 1}
		subscriber := newTestCacheFollower(t, fmt.Sprintf("told%d", i), nil, owner)
		if from, ok := subscriber.source("h"); ok && from == addr {
			return subscriber
		}
	}
	t.Fatal("each node would be its own source")
	return nil
}

// Another node that follows a store passes its events on. After the connection to it
// goes silent, the next call must succeed.
func TestStoreEventsResumeAfterConnectionGoesSilent(t *testing.T) {
	forEachSilentDirection(t, func(t *testing.T, silence func(*netproxy.Proxy)) {
		source := newStoreEventRelay(nil, control.Member{}, nil, nil)
		batch := site.CacheChanges{Boot: 1, Next: 10, Changes: []site.CacheChange{{Realm: "r", Part: "a", Tokens: 1}}}
		source.record("s", 0, batch)
		p := serveBehindProxy(t, methodStoreEvents, source.serve)
		self := control.Member{Name: "n0", DataHall: "h", Incarnation: 1, Link: 10}
		other := control.Member{Name: "n1", DataHall: "h", Incarnation: 1, Link: 200, Peer: p.Addr()}
		m := control.NewMembers(self, time.Second, nil, newRand())
		m.Merge([]control.Member{other}, time.Now())
		client := peer.NewClient("key")
		t.Cleanup(client.Close)
		subscriber := newStoreEventRelay(nil, self, m, client)
		store := &site.Service{Name: "s", Store: &site.Store{MaxWatches: spareWatches + 1}}
		ask := func() (site.CacheChanges, error) {
			ctx, cancel := context.WithTimeout(t.Context(), maxCallTime)
			defer cancel()
			return subscriber.changes(ctx, store, 1, 0, eventPollWait)
		}
		c, err := ask()
		assert.NilError(t, err)
		assert.Equal(t, len(c.Changes), 1)
		silence(p)
		_, err = ask()
		assert.ErrorContains(t, err, "no answer in time")
		c, err = ask()
		assert.NilError(t, err)
		assert.Equal(t, len(c.Changes), 1)
	})
}
