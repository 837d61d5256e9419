package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/pkg/timer"
	"github.com/drumpath/drumpath/service/peer"
)

// fakeEngine is an engine whose events the test sets.
type fakeEngine struct {
	Engines
	mu     sync.Mutex
	events []site.CacheChange
	from   int64 // Events before this position are lost.
	fail   bool
	hang   bool // Calls are accepted and never answered.
	calls  int
}

func (e *fakeEngine) add(c ...site.CacheChange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events = append(e.events, c...)
}

func (e *fakeEngine) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

func (e *fakeEngine) Changes(ctx context.Context, _ netip.AddrPort, since int64, _ time.Duration) (site.CacheChanges, error) {
	timer.Sleep(ctx, 5*time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls++
	if e.hang {
		e.mu.Unlock()
		<-ctx.Done()
		e.mu.Lock()
		return site.CacheChanges{}, ctx.Err()
	}
	if e.fail {
		return site.CacheChanges{}, errors.New("silent")
	}
	first := max(since, e.from)
	return site.CacheChanges{
		Boot: 1, Next: int64(len(e.events)), Lost: since < e.from, Changes: append([]site.CacheChange(nil), e.events[first:]...),
	}, nil
}

// newTestCacheFollower returns the engineCacheFollower of a node in hall "h" that tracks one
// engine, with others as further members.
func newTestCacheFollower(t *testing.T, name string, e Engines, others ...control.Member) *engineCacheFollower {
	log := slog.New(slog.DiscardHandler)
	self := control.Member{Name: name, DataHall: "h", State: control.MemberAlive}
	cacheIndex := route.NewCacheIndex()
	siteState := NewSiteState(nil, "h", time.Second, cacheIndex, log)
	engine := &site.Engine{PlannedFetch: true, MaxWatches: 4, TokenBytes: 1, LinkRate: 1e9, Capacity: 40_000}
	siteState.snapshot.Store(site.NewSnapshot(1, nil, map[string]*site.Service{"llm": {Name: "llm", Engine: engine}}, site.Limits{}))
	siteState.upstreams["e"] = &upstreamEntry{Upstream: site.Upstream{ID: "e", Service: "llm", DataHall: "h", Weights: map[string]int64{"m": 1}}}
	siteState.updateAllPools(time.Now())
	members := control.NewMembers(self, time.Second, nil, newRand())
	for _, o := range others {
		members.Merge([]control.Member{o}, time.Now())
	}
	client := peer.NewClient("key")
	f := newEngineCacheFollower(e, siteState, cacheIndex, members, client, self, new(replicaClock), log)
	t.Cleanup(func() {
		f.close()
		client.Close()
	})
	return f
}

func (f *engineCacheFollower) holds(part string) bool {
	c := f.cacheIndex.EngineContents("e")
	for _, v := range c.Changes {
		if v.Part == route.HashPart("m@1", part) && !c.Stale {
			return true
		}
	}
	return false
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("never: " + what)
}

func part(id string, tokens int) site.CacheChange {
	return site.CacheChange{Realm: "m@1", Part: id, Tokens: tokens}
}

func TestEngineCacheAfterFailedCallsAndLostEvents(t *testing.T) {
	engine := &fakeEngine{}
	engine.add(part("a", 100), part("b", 100))
	f := newTestCacheFollower(t, "n0", engine)
	f.refresh(t.Context())
	eventually(t, "both parts are cached", func() bool { return f.holds("a") && f.holds("b") })
	engine.set(func() { engine.fail = true })
	eventually(t, "no part counts as cached", func() bool { return !f.holds("a") && !f.holds("b") })
	engine.add(part("a", 0), part("c", 100))
	engine.set(func() { engine.fail = false })
	eventually(t, "changes made meanwhile are known", func() bool { return !f.holds("a") && f.holds("b") && f.holds("c") })
	// Events are lost: parts known before may have been dropped in the meantime.
	engine.set(func() {
		engine.events = append(engine.events, part("b", 0), part("d", 100))
		engine.from = int64(len(engine.events)) - 1
	})
	eventually(t, "only parts reported since are cached", func() bool { return !f.holds("b") && !f.holds("c") && f.holds("d") })
}

// A call in flight when the machine was suspended may never be answered. On waking the engine
// is polled again, so that parts it dropped in the meantime are known.
func TestEngineIsAskedAgainAfterSuspension(t *testing.T) {
	engine := &fakeEngine{}
	engine.add(part("a", 100), part("b", 100))
	f := newTestCacheFollower(t, "n0", engine)
	f.refresh(t.Context())
	eventually(t, "both parts are cached", func() bool { return f.holds("a") && f.holds("b") })
	before := 0
	engine.set(func() { engine.hang, before = true, engine.calls })
	eventually(t, "a call is in flight", func() bool {
		engine.mu.Lock()
		defer engine.mu.Unlock()
		return engine.calls > before
	})
	engine.add(part("a", 0))
	engine.set(func() { engine.hang = false })
	time.Sleep(50 * time.Millisecond)
	assert.Assert(t, f.holds("a"), "the call still hangs")
	f.restart()
	eventually(t, "the dropped part is known", func() bool { return !f.holds("a") && f.holds("b") })
}

// The other nodes of a hall poll its relay, which alone follows the engine.
func TestRelayPassesEngineEventsToHall(t *testing.T) {
	engine := &fakeEngine{}
	engine.add(part("a", 100))
	relay := newTestCacheFollower(t, "n0", engine)
	log := slog.New(slog.DiscardHandler)
	server, err := peer.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), map[peer.Role]string{peer.RolePeer: "key"}, log)
	assert.NilError(t, err)
	server.Handle(peer.RolePeer, methodCacheUpdates, relay.serve)
	server.Start()
	t.Cleanup(server.Close)
	subscriber := newCacheUpdateSubscriber(t, server.Addr())
	relay.refresh(t.Context())
	subscriber.refresh(t.Context())
	eventually(t, "cached parts are passed on", func() bool { return subscriber.holds("a") })
	engine.add(part("a", 0), part("b", 100))
	eventually(t, "changes are passed on", func() bool { return !subscriber.holds("a") && subscriber.holds("b") })
	server.Close()
	eventually(t, "contents from a lost relay are not used", func() bool { return !subscriber.holds("b") })
}

// A peer that asks for updates no longer in the log gets the full contents instead.
func TestRequestForOldUpdatesGetsFullContents(t *testing.T) {
	f := newTestCacheFollower(t, "n0", &fakeEngine{})
	f.rankEngines(f.chooseEngines(f.siteState.Snapshot()))
	f.lastAsked = time.Now() // As if a peer had just asked.
	for i := range 2 * maxLoggedUpdates {
		f.apply(newCacheUpdate("e", i == 0, site.CacheChanges{Changes: []site.CacheChange{part(fmt.Sprint(i%7), 100)}}))
	}
	ask := func(q cacheUpdatesRequest) cacheUpdatesAnswer {
		text, err := json.Marshal(q)
		assert.NilError(t, err)
		a, err := f.serve(t.Context(), text)
		assert.NilError(t, err)
		return a.(cacheUpdatesAnswer)
	}
	for _, q := range []cacheUpdatesRequest{{}, {Epoch: f.updates.epoch, From: 5}, {Epoch: f.updates.epoch, From: 1 << 40}} {
		q.Halls = []string{"h"}
		a := ask(q)
		assert.Equal(t, len(a.Updates), 1)
		assert.Assert(t, a.Updates[0].Full)
		c, err := a.Updates[0].unpack()
		assert.NilError(t, err)
		assert.Equal(t, len(c.Changes), 7)
	}
	a := ask(cacheUpdatesRequest{Epoch: f.updates.epoch, From: f.updates.next - 3, Halls: []string{"h"}})
	assert.Equal(t, len(a.Updates), 3)
	assert.Equal(t, len(ask(cacheUpdatesRequest{Halls: []string{"other"}}).Updates), 0)
}

func TestPackedCacheUpdateRoundTrip(t *testing.T) {
	update := route.EngineCacheUpdate{Engine: "e", Full: true, Changes: []route.EngineCacheChange{{Part: 1, Tokens: 0}, {Part: 1 << 63, Tokens: 30_000}}}
	got, err := packCacheUpdate(update).unpack()
	assert.NilError(t, err)
	assert.DeepEqual(t, got, update)
	for _, bad := range [][]byte{{1}, make([]byte, 8), append(make([]byte, 8), 0x80)} {
		_, err := packedCacheUpdate{Engine: "e", Changes: bad}.unpack()
		assert.Assert(t, err != nil)
	}
}
