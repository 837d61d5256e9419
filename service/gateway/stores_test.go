package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/service/peer"
)

// relayedNode is a node that receives the events of many stores through a relay of its hall.
type relayedNode struct {
	*kvStoreFollower
	relay *storeEventRelay // On the relay.
	calls map[string]*atomic.Int64
	names []string
}

// newRelayedNode returns such a node; methods are those that the relay serves.
func newRelayedNode(t *testing.T, count int, methods ...string) *relayedNode {
	log := slog.New(slog.DiscardHandler)
	x := &relayedNode{relay: newStoreEventRelay(nil, control.Member{}, nil, nil), calls: map[string]*atomic.Int64{}}
	server, err := peer.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), map[peer.Role]string{peer.RolePeer: "key"}, log)
	assert.NilError(t, err)
	serve := map[string]func(context.Context, json.RawMessage) (any, error){methodStoreEvents: x.relay.serve, methodEventsOfStores: x.relay.serveSeveral}
	for _, method := range methods {
		n := new(atomic.Int64)
		x.calls[method] = n
		server.Handle(peer.RolePeer, method, func(ctx context.Context, params json.RawMessage) (any, error) {
			n.Add(1)
			return serve[method](ctx, params)
		})
	}
	server.Start()
	self := control.Member{Name: "n0", DataHall: "h", Incarnation: 1, Link: 10}
	other := control.Member{Name: "n1", DataHall: "h", Incarnation: 1, Link: 200, Peer: server.Addr()}
	m := control.NewMembers(self, time.Second, nil, newRand())
	m.Merge([]control.Member{other}, time.Now())
	client := peer.NewClient("key")
	services := map[string]*site.Service{}
	var list []*site.Service
	for i := range count {
		name := fmt.Sprintf("s%02d", i)
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(20_000+i))
		v := &site.Service{Name: name, Store: &site.Store{Addr: addr, MaxWatches: spareWatches + 1, Capacity: 1000, LinkRate: 1e9}}
		services[name] = v
		list = append(list, v)
		x.names = append(x.names, name)
	}
	cacheIndex := route.NewCacheIndex()
	cacheIndex.Configure(list)
	siteState := NewSiteState(nil, "h", time.Second, cacheIndex, log)
	siteState.snapshot.Store(site.NewSnapshot(1, nil, services, site.Limits{}))
	x.kvStoreFollower = newKVStoreFollower(self, nil, newStoreEventRelay(nil, self, m, client), siteState, cacheIndex, m, new(replicaClock), log)
	t.Cleanup(func() {
		x.close()
		client.Close()
		server.Close()
	})
	return x
}

func (x *relayedNode) record(name string, since, next int64, parts ...site.CacheChange) {
	x.relay.mu.Lock()
	defer x.relay.mu.Unlock()
	x.relay.record(name, since, site.CacheChanges{Boot: 1, Next: next, Changes: parts})
}

// parts counts the known parts in connected stores.
func (x *relayedNode) parts() (parts, connected int) {
	for _, s := range x.cacheIndex.Status() {
		if s.Connected {
			connected++
			parts += s.Parts
		}
	}
	return parts, connected
}

// A call for each of 58 stores would be some 80 calls a second at each node.
func TestManyStoresArePolledInOneCall(t *testing.T) {
	t.Parallel()
	const count = 58
	x := newRelayedNode(t, count, methodStoreEvents, methodEventsOfStores)
	for _, name := range x.names {
		x.record(name, 0, 10, part("a", 100))
	}
	startedAt := time.Now()
	x.refresh(t.Context())
	eventually(t, "the parts of all stores are known", func() bool { parts, connected := x.parts(); return parts == count && connected == count })
	x.record("s00", 10, 20, part("b", 100))
	x.record("s01", 10, 20, part("a", 0))
	eventually(t, "changes are known", func() bool {
		s := x.cacheIndex.Status()
		return s[0].Parts == 2 && s[1].Parts == 0
	})
	assert.Equal(t, x.calls[methodStoreEvents].Load(), int64(0))
	assert.Assert(t, x.calls[methodEventsOfStores].Load() <= 1+int64(time.Since(startedAt)/relayPollPause))
}

// A store that the relay can't reach is not used; the others are.
func TestUnreachableStoreDoesNotHideOthers(t *testing.T) {
	t.Parallel()
	x := newRelayedNode(t, 3, methodStoreEvents, methodEventsOfStores)
	x.record("s00", 0, 10, part("a", 100))
	x.record("s01", 0, 10, part("a", 100))
	x.refresh(t.Context())
	eventually(t, "two stores are connected", func() bool { parts, connected := x.parts(); return parts == 2 && connected == 2 })
	x.relay.mu.Lock()
	x.relay.markLost("s00")
	x.relay.mu.Unlock()
	eventually(t, "one store is connected", func() bool { _, connected := x.parts(); return connected == 1 })
	x.record("s00", 10, 20, part("b", 100))
	x.record("s02", 0, 10, part("a", 100))
	eventually(t, "all stores are connected", func() bool { _, connected := x.parts(); return connected == 3 })
}

// After all nodes had lost power, prompts were recomputed whole for over a second, though the
// stores had most of their parts. Nodes that start together poll a relay that has only just
// begun to follow the stores. They polled it again after the usual pause, once more after each
// change of relay: half of 71 nodes knew the stores' contents only after 1.7 s.
func TestRelayWithoutEventsIsAskedAgainSoon(t *testing.T) {
	t.Parallel()
	x := newRelayedNode(t, 3, methodStoreEvents, methodEventsOfStores)
	startedAt := time.Now()
	x.refresh(t.Context())
	const calls = 4
	eventually(t, "the relay was polled several times", func() bool { return x.calls[methodEventsOfStores].Load() >= calls })
	assert.Assert(t, time.Since(startedAt) < (calls-1)*relayPollPause-300*time.Millisecond)
	for _, name := range x.names {
		x.record(name, 0, 10, part("a", 100))
	}
	eventually(t, "the parts of all stores are known", func() bool { parts, connected := x.parts(); return parts == 3 && connected == 3 })
	before := x.calls[methodEventsOfStores].Load()
	time.Sleep(2 * relayPollPause)
	assert.Assert(t, x.calls[methodEventsOfStores].Load() <= before+3, "then at the usual interval")
}

// A relay of the previous version is asked for one store at a time.
func TestOldRelayIsAskedForEachStore(t *testing.T) {
	t.Parallel()
	x := newRelayedNode(t, 4, methodStoreEvents)
	for _, name := range x.names {
		x.record(name, 0, 10, part("a", 100))
	}
	x.refresh(t.Context())
	eventually(t, "the parts of all stores are known", func() bool { parts, connected := x.parts(); return parts == 4 && connected == 4 })
}

// While the machine was suspended, stores may have freed parts, or hold others half written
// under the same names: their contents count as unknown until they answer again.
func TestStoresArePolledAgainAfterSuspension(t *testing.T) {
	const count = 3
	x := newRelayedNode(t, count, methodEventsOfStores)
	for _, name := range x.names {
		x.record(name, 0, 10, part("a", 100))
	}
	x.refresh(t.Context())
	eventually(t, "all stores are connected", func() bool { _, connected := x.parts(); return connected == count })
	x.record("s00", 10, 20, part("a", 0)) // Freed during the suspension.
	x.mu.Lock()
	x.setRelays(nil) // The relay is no longer polled.
	x.mu.Unlock()
	assert.Equal(t, x.restart(), count)
	parts, connected := x.parts()
	assert.Assert(t, connected < count || parts == count-1, "%d parts, %d connected", parts, connected)
	eventually(t, "events since the last position are known", func() bool {
		parts, connected := x.parts()
		return connected == count && parts == count-1
	})
}

// Relaying to a whole hall takes more than a narrow link carries: a configuration of some 60
// kB for 20 nodes occupies a link of 10 Mbit/s for a second.
func TestRelayDutiesGoToWidestLinks(t *testing.T) {
	wide := control.Member{Name: "wide", DataHall: "h", Incarnation: 1, Link: 200, Peer: netip.MustParseAddrPort("127.0.0.1:1")}
	self := control.Member{Name: "n0", DataHall: "h", Incarnation: 1, Link: 10}
	m := control.NewMembers(self, time.Second, nil, rand.New(rand.NewPCG(1, 2)))
	list := []control.Member{wide}
	for i := range 20 {
		list = append(list, control.Member{Name: fmt.Sprintf("n%d", i), DataHall: "h", Incarnation: 1, Link: 10})
	}
	m.Merge(list, time.Now())
	n := &nodes{eras: &history.Eras{}, self: self, members: m, loads: newLoadState()}
	assert.Equal(t, n.loadRelays()["h"].Name, wide.Name)
	for i := range 8 {
		store := &site.Service{Name: fmt.Sprint("s", i), Store: &site.Store{MaxWatches: 4}}
		relay, ok := newStoreEventRelay(nil, self, m, nil).relayFor(store)
		assert.Assert(t, ok)
		assert.Equal(t, relay, wide.Peer)
	}
	wide.State = control.MemberDead
	m.Merge([]control.Member{wide}, time.Now())
	assert.Assert(t, n.loadRelays()["h"].Name != wide.Name, "the others take over")
}

func TestRelayServesRecordedEvents(t *testing.T) {
	r := newStoreEventRelay(nil, control.Member{}, nil, nil)
	ask := func(boot, since int64) (site.CacheChanges, error) {
		params, err := json.Marshal(eventsRequest{Store: "s", Boot: boot, Since: since, WaitMS: 1})
		assert.NilError(t, err)
		a, err := r.serve(t.Context(), params)
		if err != nil {
			return site.CacheChanges{}, err
		}
		return a.(site.CacheChanges), nil
	}
	_, err := ask(0, 0)
	assert.ErrorIs(t, err, errNotFollowed)
	batch := func(boot, next int64, part string) site.CacheChanges {
		return site.CacheChanges{Boot: boot, Next: next, Changes: []site.CacheChange{{Realm: "r", Part: part, Tokens: 1}}}
	}
	r.record("s", 0, batch(1, 10, "a"))
	r.record("s", 10, batch(1, 20, "b"))
	c, err := ask(0, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(c.Changes), 2)
	assert.Equal(t, c.Next, int64(20))
	c, err = ask(1, 10)
	assert.NilError(t, err)
	assert.Equal(t, len(c.Changes), 1)
	assert.Equal(t, c.Changes[0].Part, "b")
	r.record("s", 20, batch(2, 5, "c")) // The store has restarted.
	c, err = ask(1, 20)
	assert.NilError(t, err)
	assert.Equal(t, c.Boot, int64(2))
	assert.Equal(t, len(c.Changes), 1)
	r.mu.Lock()
	r.markLost("s")
	r.mu.Unlock()
	_, err = ask(2, 5)
	assert.ErrorIs(t, err, errNotFollowed, "the events of a lost store are not served")
}

// freeingEngines records what stores are told to free.
type freeingEngines struct {
	Engines

	freed []site.PartRef
}

func (e *freeingEngines) Free(_ context.Context, _ netip.AddrPort, parts []site.PartRef, _ int64) error {
	e.freed = append(e.freed, parts...)
	return nil
}

// Parts for replaced weights were freed as soon as the last replica with these had left or loaded others, while prompts that had
// just been sent there still fetched them.
func TestPartsAreNotFreedWhileThePromptsOfTheLastReplicaFetchThem(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	self := control.Member{Name: "n0", DataHall: "h", Incarnation: 1}
	m := control.NewMembers(self, time.Second, nil, newRand())
	v := &site.Service{Name: "kv", Store: &site.Store{Managed: true, Capacity: 1000, LinkRate: 1e9}}
	cacheIndex := route.NewCacheIndex()
	cacheIndex.Configure([]*site.Service{v})
	now := time.Now()
	cacheIndex.ApplyStoreChanges("kv", site.CacheChanges{Boot: 1, Next: 1, Changes: []site.CacheChange{part("a", 100)}}, now)
	st := NewSiteState(nil, "h", time.Second, cacheIndex, log)
	st.snapshot.Store(site.NewSnapshot(1, nil, map[string]*site.Service{"kv": v}, site.Limits{}))
	st.LearnWeights("m", route.WeightVersion{Version: 2, Since: now, Heard: now}, weightsTold)
	u := site.Upstream{ID: "e", Service: "s", DataHall: "h", Weights: map[string]int64{"m": 1}}
	st.applyRow(u, now)
	engines := &freeingEngines{}
	s := newKVStoreFollower(self, engines, nil, st, cacheIndex, m, new(replicaClock), log)
	freedAt := func(at time.Time) int {
		s.freeUnusedAt(t.Context(), at)
		return len(engines.freed)
	}
	gone := now.Add(replacedTerm + time.Second)
	assert.Equal(t, freedAt(gone), 0, "a replica has the weights")
	st.ApplyUpstreams([]site.Row{{Key: "e", Position: at(9), Gone: true}}, false, gone)
	assert.Equal(t, freedAt(gone.Add(freeInterval)), 0)
	assert.Equal(t, freedAt(gone.Add(maxFetchTimeout)), 0, "prompts that were sent there may still fetch it")
	assert.Equal(t, freedAt(gone.Add(freeInterval+unservedTerm)), 1)
}

// A node that had started just after a store's restart saved parts there at once. Nodes that had not noticed the restart yet took
// these for complete while they were written.
func TestNodeThatStartsDoesNotSaveAtAStoreThatMayHaveJustRestarted(t *testing.T) {
	for _, tc := range []struct {
		name  string
		parts []site.CacheChange
		saves bool
	}{
		{name: "empty"},
		{name: "has_parts", parts: []site.CacheChange{part("b", 100)}, saves: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			x := newRelayedNode(t, 1)
			f := &followedStore{service: &site.Service{Name: x.names[0]}}
			saved := func(after time.Duration) bool {
				limits := route.PlanLimits{MaxFetchTime: time.Second, Save: true}
				engine := &site.Engine{Slots: 8, Capacity: 40_000, TokenBytes: 1000, LinkRate: 1e9}
				p := x.cacheIndex.Plan("m@1", site.Upstream{DataHall: "h"}, []site.Part{{ID: "a", Tokens: 100}}, engine, limits, time.Now().Add(after))
				p.Cancel()
				return p.Saved > 0
			}
			x.applyEvents(f, site.CacheChanges{Boot: 7, Next: 1, Changes: tc.parts}, nil)
			assert.Equal(t, saved(0), tc.saves)
			x.applyEvents(f, site.CacheChanges{Boot: 7, Next: 2}, nil)
			assert.Assert(t, saved(route.RestartSavePause+time.Second), "an answer without changes is no restart")
		})
	}
}
