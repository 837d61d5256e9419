package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

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

func (e *freeingEngines) Free(_ context.Context, _ netip.AddrPort, parts []site.PartRef, _ int64, _ time.Duration) error {
	e.freed = append(e.freed, parts...)
	return nil
}

// freeingNode is a node that is responsible for a store, which has one part of the first version of the weights.
func freeingNode(now time.Time) (*kvStoreFollower, *freeingEngines) {
	log := slog.New(slog.DiscardHandler)
	self := control.Member{Name: "n0", DataHall: "h", Incarnation: 1}
	m := control.NewMembers(self, time.Second, nil, newRand())
	v := &site.Service{Name: "kv", Store: &site.Store{Managed: true, Capacity: 1000, LinkRate: 1e9}}
	cacheIndex := route.NewCacheIndex()
	cacheIndex.Configure([]*site.Service{v})
	first := site.CacheChange{Realm: realm{model: "m", weights: 1}.String(), Part: "a", Tokens: 100}
	cacheIndex.ApplyStoreChanges("kv", site.CacheChanges{Boot: 1, Next: 1, Changes: []site.CacheChange{first}}, now)
	st := NewSiteState(nil, "h", time.Second, cacheIndex, log)
	st.weightsTerm = 10 * time.Second
	st.snapshot.Store(site.NewSnapshot(1, nil, map[string]*site.Service{"kv": v}, site.Limits{}))
	engines := &freeingEngines{}
	clock := new(replicaClock)
	clock.update(time.Hour, now)
	return newKVStoreFollower(self, engines, nil, st, cacheIndex, m, clock, log), engines
}

// Parts of replaced weights were freed once no replica was known to have these, while a node that was cut off still knew one,
// whose row had lapsed, and had it fetch them. Here the fetch is under way as the node's term ends.
func TestPartsAreNotFreedWhileANodeThatIsCutOffHasThemFetched(t *testing.T) {
	now := time.Now()
	s, engines := freeingNode(now)
	u := site.Upstream{ID: "e", Service: "s", DataHall: "h", Weights: map[string]int64{"m": 1}}
	s.siteState.applyRow(u, now)
	cutOff := newWeightsState()
	old := realm{model: "m", weights: 1}
	cutOff.MarkOperatorRead(now)
	s.siteState.ApplyUpstreams([]site.Row{{Key: "e", Position: at(9), Gone: true}}, false, now)
	s.siteState.MarkOperatorRead(now)
	s.siteState.hearWeights("m", 2, false, now)
	var fetchEnds, freed time.Time
	for at := now; at.Sub(now) < time.Minute; at = at.Add(100 * time.Millisecond) {
		if cutOff.mayFetchFromStores(old, at) {
			assert.Assert(t, freed.IsZero(), "a fetch is planned after %v", at.Sub(now))
			fetchEnds = at.Add(maxFetchTimeout)
		}
		s.siteState.MarkOperatorRead(at)
		if s.freeUnusedAt(t.Context(), at); len(engines.freed) > 0 && freed.IsZero() {
			freed = at
		}
	}
	assert.Assert(t, fetchEnds.Sub(now) > fetchPlanTerm, "the node that is cut off goes on with fetches for a while")
	assert.Assert(t, !freed.IsZero() && freed.Sub(fetchEnds) >= fetchClockError/2, "freed after %v, while a fetch may last until %v", freed.Sub(now), fetchEnds.Sub(now))
	assert.Assert(t, freed.Sub(now) <= freeDelay+freeInterval, "%v", freed.Sub(now))
}

// Parts that a node still had fetched were freed, as it had heard late of new weights, or of another version than the node that
// freed them. Here nodes hear late or not at all, miss versions, restart, tell each other, and each of them may be responsible for the
// store.
func TestPartsAreFreedOnlyWhenNoFetchOfThemIsPlannedOrUnderWay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		newest := int64(1)
		nodes := make([]*SiteState, 4)
		rows := map[*SiteState]int64{} // The version in the row that the node has read last.
		read := func(st *SiteState) {
			if before, known := rows[st]; newest > max(before, firstWeights) {
				st.hearWeights("m", newest, !known, now)
			}
			rows[st] = newest
			st.MarkOperatorRead(now)
		}
		start := func(i int) {
			nodes[i] = newWeightsState()
			read(nodes[i])
		}
		for i := range nodes {
			start(i)
		}
		fetchEnds, freed := map[int64]time.Time{}, map[int64]bool{}
		draw := func(t *rapid.T) int { return rapid.IntRange(0, len(nodes)-1).Draw(t, "node") }
		t.Repeat(map[string]func(*rapid.T){
			"name": func(*rapid.T) { newest++ },
			"name many": func(t *rapid.T) {
				reader := nodes[draw(t)]
				for range 10 { // More than a node remembers.
					newest++
					read(reader)
				}
			},
			"read":    func(t *rapid.T) { read(nodes[draw(t)]) },
			"restart": func(t *rapid.T) { start(draw(t)) },
			"cut off": func(t *rapid.T) {
				st := nodes[draw(t)]
				st.MarkOperatorUnreachable(now.Add(-time.Second), now)
			},
			"tell": func(t *rapid.T) {
				nodes[draw(t)].learnWeightAges(nodes[draw(t)].recentWeightAges(now), now)
			},
			"pass": func(t *rapid.T) {
				now = now.Add(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second, 2500 * time.Millisecond, 6 * time.Second}).Draw(t, "time"))
			},
			"": func(t *rapid.T) {
				for v := range newest + 1 {
					r := realm{model: "m", weights: v}
					for _, st := range nodes {
						if st.mayFetchFromStores(r, now) {
							assert.Assert(t, !freed[v], "version %d is fetched after it was freed", v)
							fetchEnds[v] = now.Add(maxFetchTimeout)
						}
					}
					for _, st := range nodes {
						if since, ok := st.ruledOutSince(r); ok && now.Sub(since) >= freeDelay {
							assert.Assert(t, !now.Before(fetchEnds[v]), "version %d is freed %v before a fetch may end", v, fetchEnds[v].Sub(now))
							freed[v] = true
						}
					}
				}
			},
		})
	})
}

// What organisations had shared until one of them became isolated, and what organisations had kept that are isolated no longer or were
// removed, stayed at managed stores for good, and displaced what is used.
func TestPartsThatNoRequestMayUseAreFreed(t *testing.T) {
	now := time.Now()
	s, engines := freeingNode(now)
	period := func(config int64) cacheGroup {
		return cacheGroup{kind: groupPeriod, period: route.SharingPeriod{Config: config}}
	}
	only := func(organisation string) cacheGroup {
		return cacheGroup{kind: groupOrganisation, organisation: organisation}
	}
	used := []cacheGroup{period(5), only("a"), {kind: groupAll}}
	unused := []cacheGroup{period(2), only("b"), only("removed"), only("never known")}
	var changes []site.CacheChange
	for _, g := range slices.Concat(used, unused) {
		changes = append(changes, site.CacheChange{Realm: realm{model: "m", weights: 1, group: g}.String(), Part: "p", Tokens: 100})
	}
	s.cacheIndex.ApplyStoreChanges("kv", site.CacheChanges{Boot: 1, Next: 2, Changes: changes}, now)
	configure := func(version int64, isolated map[string]bool) {
		c := site.NewSnapshot(version, nil, s.siteState.Snapshot().Services, site.Limits{})
		for name, is := range isolated {
			c.AddOrganisation(&site.Organisation{Name: name, Isolated: is})
		}
		s.siteState.configure(c, now)
		s.siteState.MarkOperatorRead(now)
	}
	configure(2, map[string]bool{"a": false, "b": true, "removed": true})
	s.siteState.LearnSharing(route.Sharing{Config: 2, Period: route.SharingPeriod{Config: 2}}, sharingStored, now)
	now = now.Add(time.Minute)
	configure(5, map[string]bool{"a": true, "b": false})
	s.siteState.LearnSharing(route.Sharing{Config: 5, Period: route.SharingPeriod{Config: 5}}, sharingStored, now)
	free := func(after time.Duration) int {
		s.siteState.MarkOperatorRead(now.Add(after))
		s.freeUnusedAt(t.Context(), now.Add(after))
		return s.cacheIndex.Status()[0].Used
	}
	assert.Equal(t, free(freeDelay-time.Second), 700, "what is unused since before this node's start is freed, and nothing else")
	assert.Equal(t, free(freeDelay), 400)
	assert.Equal(t, len(engines.freed), len(unused))
	assert.Equal(t, free(time.Hour), 400)
	now = now.Add(2 * time.Hour)
	s.freeUnusedAt(t.Context(), now)
	configure(6, map[string]bool{"a": false})
	assert.Equal(t, free(freeDelay), 300)
	s.siteState.hearWeights("m", 2, false, now.Add(freeDelay))
	now = now.Add(freeDelay)
	s.freeUnusedAt(t.Context(), now.Add(freeDelay))
	assert.Equal(t, s.cacheIndex.Status()[0].Used, 300, "a node that does not know the operator's table frees nothing")
	assert.Equal(t, free(freeDelay), 0)
}

// The parts of an organisation that is isolated again may still be freed by a node that does not know that.
func TestNoFetchIsPlannedForAnOrganisationThatHasJustBecomeIsolatedAgain(t *testing.T) {
	now := time.Now()
	st := newWeightsState()
	r := realm{model: "m", weights: 1, group: cacheGroup{kind: groupOrganisation, organisation: "a"}}
	configure := func(version int64, isolated bool) {
		c := site.NewSnapshot(version, nil, nil, site.Limits{})
		c.AddOrganisation(&site.Organisation{Name: "a", Isolated: isolated})
		st.configure(c, now)
		st.MarkOperatorRead(now)
	}
	mayFetch := func(after time.Duration) bool {
		st.MarkOperatorRead(now.Add(after))
		return st.mayFetchFromStores(r, now.Add(after))
	}
	configure(1, true)
	assert.Assert(t, !mayFetch(0), "it may have become isolated just now")
	assert.Assert(t, mayFetch(isolationFetchDelay))
	now = now.Add(time.Minute)
	configure(2, false)
	now = now.Add(time.Minute)
	configure(3, true)
	assert.Assert(t, !mayFetch(isolationFetchDelay-time.Millisecond))
	assert.Assert(t, mayFetch(isolationFetchDelay))
	now = now.Add(time.Minute)
	configure(4, true)
	assert.Assert(t, !mayFetch(0), "this node may have missed a version in which it was not isolated")
	now = now.Add(isolationFetchDelay)
	configure(5, true)
	assert.Assert(t, mayFetch(0), "this node has missed none")
}

// A node that does not know the replicas' clock can't tell them when to abandon a fetch, so it plans none.
func TestNoFetchFromStoresIsPlannedWithoutAnEnd(t *testing.T) {
	now := time.Now()
	g := &Gateway{siteState: newWeightsState(), clock: new(replicaClock)}
	g.siteState.MarkOperatorRead(now)
	r := realm{model: "m", weights: 1}
	assert.Assert(t, g.sourceRules(r, now).NoManagedStores)
	g.clock.update(time.Second, now)
	assert.Assert(t, !g.sourceRules(r, now).NoManagedStores)
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
