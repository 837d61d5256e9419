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
	"github.com/drumpath/drumpath/service/peer"
)

// tellingEngines is one engine whose events a test makes.
type tellingEngines struct {
	Engines
	mu     sync.Mutex
	events []site.CacheChange
	from   int64 // Events before it are no longer known.
	silent bool
	hang   bool // Calls are taken and not answered.
	asked  int
}

func (e *tellingEngines) tell(c ...site.CacheChange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events = append(e.events, c...)
}

func (e *tellingEngines) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

func (e *tellingEngines) Changes(ctx context.Context, _ netip.AddrPort, since int64, _ time.Duration) (site.CacheChanges, error) {
	sleep(ctx, 5*time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked++
	if e.hang {
		e.mu.Unlock()
		<-ctx.Done()
		e.mu.Lock()
		return site.CacheChanges{}, ctx.Err()
	}
	if e.silent {
		return site.CacheChanges{}, errors.New("silent")
	}
	first := max(since, e.from)
	return site.CacheChanges{
		Boot: 1, Next: int64(len(e.events)), Lost: since < e.from, Changes: append([]site.CacheChange(nil), e.events[first:]...),
	}, nil
}

// newTestHoldings returns the part of a node that keeps up with one engine, in hall
// "h", as a member of its hall beside others.
func newTestHoldings(t *testing.T, name string, e Engines, others ...control.Member) *holdings {
	log := slog.New(slog.DiscardHandler)
	self := control.Member{Name: name, DataHall: "h", State: control.MemberAlive}
	k := route.NewCacheIndex()
	b := NewSiteState(nil, "h", time.Second, k, log)
	engine := &site.Engine{PlannedFetch: true, MaxWatches: 4, TokenBytes: 1, LinkRate: 1e9, Capacity: 40_000}
	b.snapshot.Store(site.NewSnapshot(1, nil, map[string]*site.Service{"llm": {Name: "llm", Engine: engine}}, site.Limits{}))
	b.upstreams["e"] = &upstreamEntry{Upstream: site.Upstream{ID: "e", Service: "llm", DataHall: "h", Weights: map[string]int64{"m": 1}}}
	b.rebuildPools(time.Now())
	m := control.NewMembers(self, time.Second, nil, newRand())
	for _, o := range others {
		m.Merge([]control.Member{o}, time.Now())
	}
	client := peer.NewClient("key")
	h := newHoldings(e, b, k, m, client, self, new(replicaClock), log)
	t.Cleanup(func() {
		h.close()
		client.Close()
	})
	return h
}

func (h *holdings) holds(part string) bool {
	c := h.kept.EngineContents("e")
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

func TestEngineIsFollowedThroughSilenceAndGaps(t *testing.T) {
	e := &tellingEngines{}
	e.tell(part("a", 100), part("b", 100))
	h := newTestHoldings(t, "n0", e)
	h.refresh(t.Context())
	eventually(t, "both are held", func() bool { return h.holds("a") && h.holds("b") })
	e.set(func() { e.silent = true })
	eventually(t, "nothing is taken for held", func() bool { return !h.holds("a") && !h.holds("b") })
	e.tell(part("a", 0), part("c", 100))
	e.set(func() { e.silent = false })
	eventually(t, "changes made meanwhile are known", func() bool { return !h.holds("a") && h.holds("b") && h.holds("c") })
	// Events are lost: what was known of before may have been dropped meanwhile.
	e.set(func() {
		e.events = append(e.events, part("b", 0), part("d", 100))
		e.from = int64(len(e.events)) - 1
	})
	eventually(t, "only what was told since is held", func() bool { return !h.holds("b") && !h.holds("c") && h.holds("d") })
}

// A call that was under way when the machine was suspended may never be answered: the engine
// is asked anew on waking, and what it dropped meanwhile is known.
func TestEngineIsFollowedAnewAfterASuspension(t *testing.T) {
	e := &tellingEngines{}
	e.tell(part("a", 100), part("b", 100))
	h := newTestHoldings(t, "n0", e)
	h.refresh(t.Context())
	eventually(t, "both are held", func() bool { return h.holds("a") && h.holds("b") })
	asked := 0
	e.set(func() { e.hang, asked = true, e.asked })
	eventually(t, "a call is under way", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.asked > asked
	})
	e.tell(part("a", 0))
	e.set(func() { e.hang = false })
	time.Sleep(50 * time.Millisecond)
	assert.Assert(t, h.holds("a"), "the call still hangs")
	h.restart()
	eventually(t, "what was dropped is known", func() bool { return !h.holds("a") && h.holds("b") })
}

// The other nodes of a hall ask its teller, at which the engine's events come once.
func TestHallIsToldByOneNode(t *testing.T) {
	e := &tellingEngines{}
	e.tell(part("a", 100))
	teller := newTestHoldings(t, "n0", e)
	log := slog.New(slog.DiscardHandler)
	server, err := peer.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), map[peer.Role]string{peer.RolePeer: "key"}, log)
	assert.NilError(t, err)
	server.Handle(peer.RolePeer, methodHeld, teller.serve)
	server.Start()
	t.Cleanup(server.Close)
	wantTold := toldBy(t, server.Addr())
	teller.refresh(t.Context())
	wantTold.refresh(t.Context())
	eventually(t, "what is held is told on", func() bool { return wantTold.holds("a") })
	e.tell(part("a", 0), part("b", 100))
	eventually(t, "changes are told on", func() bool { return !wantTold.holds("a") && wantTold.holds("b") })
	server.Close()
	eventually(t, "a lost teller's word is no longer used", func() bool { return !wantTold.holds("b") })
}

// Whoever asks for news that are no longer kept is told all instead.
func TestOldNewsAreReplacedByAllThatIsHeld(t *testing.T) {
	h := newTestHoldings(t, "n0", &tellingEngines{})
	h.rank(h.chooseEngines(h.beliefs.Snapshot()))
	h.told = time.Now() // By a node that asked.
	for i := range 2 * heldMostKept {
		h.take(heldOf("e", i == 0, site.CacheChanges{Changes: []site.CacheChange{part(fmt.Sprint(i%7), 100)}}))
	}
	ask := func(q heldRequest) heldAnswer {
		text, err := json.Marshal(q)
		assert.NilError(t, err)
		a, err := h.serve(t.Context(), text)
		assert.NilError(t, err)
		return a.(heldAnswer)
	}
	for _, q := range []heldRequest{{}, {Epoch: h.news.epoch, From: 5}, {Epoch: h.news.epoch, From: 1 << 40}} {
		q.Halls = []string{"h"}
		a := ask(q)
		assert.Equal(t, len(a.News), 1)
		assert.Assert(t, a.News[0].Whole)
		c, err := a.News[0].unpack()
		assert.NilError(t, err)
		assert.Equal(t, len(c.Changes), 7)
	}
	a := ask(heldRequest{Epoch: h.news.epoch, From: h.news.next - 3, Halls: []string{"h"}})
	assert.Equal(t, len(a.News), 3)
	assert.Equal(t, len(ask(heldRequest{Halls: []string{"other"}}).News), 0)
}

func TestNewsOfHeldStateSurviveTheWire(t *testing.T) {
	c := route.EngineCacheUpdate{Engine: "e", Full: true, Changes: []route.EngineCacheChange{{Part: 1, Tokens: 0}, {Part: 1 << 63, Tokens: 30_000}}}
	got, err := packHeld(c).unpack()
	assert.NilError(t, err)
	assert.DeepEqual(t, got, c)
	for _, bad := range [][]byte{{1}, make([]byte, 8), append(make([]byte, 8), 0x80)} {
		_, err := heldNews{Engine: "e", Changes: bad}.unpack()
		assert.Assert(t, err != nil)
	}
}
