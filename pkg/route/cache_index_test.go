package route

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/site"
)

var (
	testEngine = &site.Engine{Slots: 8, Capacity: 40_000, TokenBytes: 18_000, LinkRate: 16e9, PlannedFetch: true}
	testPrompt = []site.Part{{ID: "aa", Tokens: 2000}, {ID: "bb", Tokens: 5000}}
)

func testStore(name, hall, addr string, capacity int, rate float64) *site.Service {
	return &site.Service{Name: name, Store: &site.Store{
		Addr: netip.MustParseAddrPort(addr), DataHall: hall, Capacity: capacity, LinkRate: rate, Managed: true,
	}}
}

func newTestIndex(stores ...*site.Service) *CacheIndex {
	k := NewCacheIndex()
	k.Configure(stores)
	for _, s := range stores {
		k.ApplyStoreChanges(s.Name, site.CacheChanges{Boot: 1}, testNow)
	}
	return k
}

func storeChanges(realm string, parts ...site.Part) []site.CacheChange {
	var list []site.CacheChange
	for _, p := range parts {
		list = append(list, site.CacheChange{Realm: realm, Part: p.ID, Tokens: p.Tokens})
	}
	return list
}

// look looks testPrompt up in the realm "r" for three engines, one in each hall.
func testCoverage(k *CacheIndex, completeBefore, now time.Time) map[string]CacheCoverage {
	realm := func(int64) Realm { return Realm{Name: "r", CompleteBefore: completeBefore} }
	return k.Coverage(testReplicas(3, 1), "m", realm, testPrompt, testEngine, time.Second, now)
}

// A part that is still being written, or that broke off, is never read.
func TestOnlyPartsToldToBeWholeAreFetched(t *testing.T) {
	s := testStore("s", "h0", "10.0.0.1:1", 100_000, 10e9)
	k := newTestIndex(s)
	p := k.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second, Save: true}, testNow)
	assert.Equal(t, p.Saved, 7000)
	assert.Equal(t, p.Fetched, 0)
	p = k.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second, Save: true}, testNow.Add(time.Millisecond))
	assert.Equal(t, p.Fetched, 0, "asked to be saved is not kept")
	assert.Equal(t, p.Saved, 0, "a part is saved once")
	k.ApplyStoreChanges("s", site.CacheChanges{Boot: 1, Changes: storeChanges("r", testPrompt[0], site.Part{ID: "bb", Tokens: 4000})}, testNow)
	p = k.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second, Save: true}, testNow.Add(2*time.Millisecond))
	assert.Assert(t, p.Sources[0].IsValid())
	assert.Assert(t, !p.Sources[1].IsValid(), "a part that is kept in part is not whole")
	k.ApplyStoreChanges("s", site.CacheChanges{Boot: 1, Changes: storeChanges("r", testPrompt[1])}, testNow)
	p = k.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second, Save: true}, testNow.Add(3*time.Millisecond))
	assert.Assert(t, p.Sources[1].IsValid())
}

// A save that was asked of an engine that did not run the prompt is asked again.
func TestSaveOfAnAttemptThatDidNotRunIsAskedAgain(t *testing.T) {
	k := newTestIndex(testStore("s", "h0", "10.0.0.1:1", 100_000, 10e9))
	plan := func() *Plan {
		return k.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second, Save: true}, testNow)
	}
	first := plan()
	assert.Equal(t, first.Saved, 7000)
	assert.Equal(t, plan().Saved, 0)
	first.Cancel()
	assert.Equal(t, plan().Saved, 7000)
	(&Plan{}).Cancel() // Of a request without a prompt.
}

func TestRealmsShareNothing(t *testing.T) {
	k := newTestIndex(testStore("s", "h0", "10.0.0.1:1", 100_000, 10e9))
	k.ApplyStoreChanges("s", site.CacheChanges{Boot: 1, Changes: storeChanges("m@1", testPrompt...)}, testNow)
	for _, realm := range []string{"m@2", "m@1/org", "other@1"} {
		assert.Equal(t, k.Plan(realm, site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second}, testNow).Fetched, 0, realm)
	}
	assert.Equal(t, k.Plan("m@1", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second}, testNow).Fetched, 7000)
}

// After a restart nothing is read, and nothing is saved until all nodes must have
// noticed: one that had not would read as whole what is being written anew.
func TestRestartedStoreIsEmptyAndLeftAlone(t *testing.T) {
	k := newTestIndex(testStore("s", "h0", "10.0.0.1:1", 100_000, 10e9))
	k.ApplyStoreChanges("s", site.CacheChanges{Boot: 1, Changes: storeChanges("r", testPrompt...)}, testNow)
	k.ApplyStoreChanges("s", site.CacheChanges{Boot: 2}, testNow)
	p := k.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second, Save: true}, testNow.Add(time.Second))
	assert.Equal(t, p.Fetched, 0)
	assert.Equal(t, p.Saved, 0)
	p = k.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second, Save: true}, testNow.Add(restartSavePause+time.Second))
	assert.Equal(t, p.Saved, 7000)
}

func TestStoreThatIsNotHeardOfIsNotUsed(t *testing.T) {
	k := newTestIndex(testStore("s", "h0", "10.0.0.1:1", 100_000, 10e9))
	k.ApplyStoreChanges("s", site.CacheChanges{Boot: 1, Changes: storeChanges("r", testPrompt...)}, testNow)
	k.MarkStoreStale("s")
	p := k.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second, Save: true}, testNow)
	assert.Equal(t, p.Fetched+p.Saved, 0)
	k.ApplyStoreChanges("s", site.CacheChanges{Boot: 1}, testNow)
	assert.Equal(t, k.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second, Save: true}, testNow).Fetched, 7000)
}

func TestFullStoreTakesNothing(t *testing.T) {
	k := newTestIndex(testStore("s", "h0", "10.0.0.1:1", 9_000, 10e9))
	k.ApplyStoreChanges("s", site.CacheChanges{Boot: 1, Changes: storeChanges("r", site.Part{ID: "cc", Tokens: 8000})}, testNow)
	assert.Equal(t, k.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second, Save: true}, testNow).Saved, 0)
	k.ApplyStoreChanges("s", site.CacheChanges{Boot: 1, Changes: []site.CacheChange{{Realm: "r", Part: "cc"}}}, testNow)
	assert.Assert(t, k.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second, Save: true}, testNow).Saved > 0)
}

func TestFetchComesFromWhereItIsSoonest(t *testing.T) {
	slow := testStore("slow", "h0", "10.0.0.1:1", 100_000, 1e9)
	fast := testStore("fast", "h1", "10.0.0.2:1", 100_000, 10e9)
	k := newTestIndex(slow, fast)
	k.ApplyStoreChanges("slow", site.CacheChanges{Boot: 1, Changes: storeChanges("r", testPrompt...)}, testNow)
	k.ApplyStoreChanges("fast", site.CacheChanges{Boot: 1, Changes: storeChanges("r", testPrompt...)}, testNow)
	p := k.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second}, testNow)
	assert.Equal(t, p.Sources[1], fast.Store.Addr)
	k.AddPeerTally(HashName("fast"), Tally{Bytes: 20e9}, testNow) // Other nodes have asked for much there.
	p = k.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second}, testNow)
	assert.Equal(t, p.Sources[1], slow.Store.Addr)
}

func TestStoreWhoseFetchesComeLateIsLeft(t *testing.T) {
	a, b := testStore("a", "h0", "10.0.0.1:1", 100_000, 10e9), testStore("b", "h0", "10.0.0.2:1", 100_000, 9e9)
	k := newTestIndex(a, b)
	// Prompts differ, so that no replica has one already.
	source := func(i int, now time.Time) *Plan {
		parts := []site.Part{{ID: fmt.Sprintf("p%d", i), Tokens: 5000}}
		k.ApplyStoreChanges("a", site.CacheChanges{Boot: 1, Changes: storeChanges("r", parts...)}, now)
		k.ApplyStoreChanges("b", site.CacheChanges{Boot: 1, Changes: storeChanges("r", parts...)}, now)
		return k.Plan("r", site.Upstream{DataHall: "h0"}, parts, testEngine, PlanLimits{MaxFetchTime: time.Second}, now)
	}
	now := testNow
	for i := range 12 {
		now = now.Add(100 * time.Millisecond)
		p := source(i, now)
		excess := -time.Millisecond
		if p.Sources[0] == a.Store.Addr {
			excess = 200 * time.Millisecond
		}
		p.FirstByte(excess, now)
	}
	now = now.Add(100 * time.Millisecond)
	assert.Equal(t, source(20, now).Sources[0], b.Store.Addr)
	later := now.Add(time.Minute) // A link that was slow is tried again.
	assert.Equal(t, source(21, later).Sources[0], a.Store.Addr)
}

func TestOffersEndAtTheFirstPartThatIsNotKept(t *testing.T) {
	k := newTestIndex(testStore("s", "h0", "10.0.0.1:1", 100_000, 10e9))
	k.ApplyStoreChanges("s", site.CacheChanges{Boot: 1, Changes: storeChanges("r", testPrompt[1])}, testNow)
	o := testCoverage(k, time.Time{}, testNow)
	assert.Equal(t, o["r00"].Fetched, 0, "a part serves only behind all before it")
	k.ApplyStoreChanges("s", site.CacheChanges{Boot: 1, Changes: storeChanges("r", testPrompt[0])}, testNow)
	o = testCoverage(k, time.Time{}, testNow)
	assert.Equal(t, o["r00"].Fetched, 7000)
	assert.Assert(t, o["r01"].Wait > o["r00"].Wait, "moves between data halls take longer")
}

func TestSurplusIsWhatWillNotBeUsed(t *testing.T) {
	k := newTestIndex(testStore("s", "h0", "10.0.0.1:1", 100_000, 10e9))
	k.ApplyStoreChanges("s", site.CacheChanges{Boot: 7, Changes: append(storeChanges("m@1", testPrompt...), storeChanges("m@2", testPrompt[0])...)}, testNow)
	list, boot := k.UnusedParts("s", 10, func(realm string) bool { return realm == "m@1" })
	assert.Equal(t, len(list), 2)
	assert.Equal(t, boot, int64(7))
	list, _ = k.UnusedParts("s", 1, func(string) bool { return true })
	assert.Equal(t, len(list), 1)
	k.MarkStoreStale("s")
	list, _ = k.UnusedParts("s", 10, func(string) bool { return true })
	assert.Equal(t, len(list), 0, "what is not known to be there is not freed")
}

func TestPartUsedOftenIsHeldAndOneUsedOnceIsNot(t *testing.T) {
	u := newPartUsage()
	now := testNow
	for i := range 60 {
		now = now.Add(50 * time.Millisecond)
		u.record(partKey{"r", "often"}, 2000, now)
		u.record(partKey{"r", string(rune('A' + i))}, 5000, now)
	}
	assert.Assert(t, u.heldProbability(partKey{"r", "often"}, 40_000, now) > 0.9)
	assert.Assert(t, u.heldProbability(partKey{"r", "A"}, 40_000, now) < 0.5)
	assert.Equal(t, u.heldProbability(partKey{"r", "never"}, 40_000, now), 0.0)
	assert.Assert(t, u.heldProbability(partKey{"r", "often"}, 40_000, now.Add(time.Minute)) < 0.9)
}

// A store's own word of what it has freed may get lost: it is not freed again and again.
func TestWhatWasFreedIsNotFreedAgain(t *testing.T) {
	k := newTestIndex(testStore("s", "h0", "10.0.0.1:1", 100_000, 10e9))
	k.ApplyStoreChanges("s", site.CacheChanges{Boot: 7, Changes: storeChanges("m@1", testPrompt...)}, testNow)
	all := func(string) bool { return true }
	list, boot := k.UnusedParts("s", 10, all)
	k.RemoveFreed("s", boot+1, list) // Another start of the store.
	again, _ := k.UnusedParts("s", 10, all)
	assert.Equal(t, len(again), 2)
	k.RemoveFreed("s", boot, list)
	again, _ = k.UnusedParts("s", 10, all)
	assert.Equal(t, len(again), 0)
	assert.Equal(t, k.Status()[0].Used, 0)
}

// A run that goes on while its replica gets other weights saves what it reads
// under the old ones' realm: what became whole since then is not to be trusted.
func TestPartsSavedWhileWeightsAreReplacedAreNotFetched(t *testing.T) {
	k := newTestIndex(testStore("s", "h0", "10.0.0.1:1", 100_000, 10e9))
	named := testNow.Add(time.Second)
	k.ApplyStoreChanges("s", site.CacheChanges{Boot: 1, Changes: storeChanges("r", testPrompt[0])}, testNow)
	k.ApplyStoreChanges("s", site.CacheChanges{Boot: 1, Changes: storeChanges("r", testPrompt[1])}, named.Add(time.Millisecond))
	p := k.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second, CompleteBefore: named}, named.Add(time.Second))
	assert.Assert(t, p.Sources[0].IsValid())
	assert.Assert(t, !p.Sources[1].IsValid())
	o := testCoverage(k, named, named.Add(time.Second))
	assert.Equal(t, o["r00"].Fetched, testPrompt[0].Tokens)
}

// One node of many sees a store too seldom to notice by itself that its link has
// become slow; what the others have seen must count as its own does.
func TestFetchesThatCameLateAtOtherNodesCount(t *testing.T) {
	a, b := testStore("a", "h0", "10.0.0.1:1", 100_000, 10e9), testStore("b", "h0", "10.0.0.2:1", 100_000, 9e9)
	k, other := newTestIndex(a, b), newTestIndex(a, b)
	for _, x := range []*CacheIndex{k, other} {
		x.ApplyStoreChanges("a", site.CacheChanges{Boot: 1, Changes: storeChanges("r", testPrompt...)}, testNow)
		x.ApplyStoreChanges("b", site.CacheChanges{Boot: 1, Changes: storeChanges("r", testPrompt...)}, testNow)
	}
	source := func(after time.Duration) netip.AddrPort { // Moves before it are done.
		return k.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt[1:], testEngine, PlanLimits{MaxFetchTime: time.Second}, testNow.Add(after)).Sources[0]
	}
	assert.Equal(t, source(0), a.Store.Addr)
	now := testNow
	for i := range 12 {
		now = now.Add(10 * time.Millisecond)
		parts := []site.Part{{ID: fmt.Sprintf("p%d", i), Tokens: 10}}
		other.ApplyStoreChanges("a", site.CacheChanges{Boot: 1, Changes: storeChanges("r", parts...)}, now)
		other.Plan("r", site.Upstream{DataHall: "h0"}, parts, testEngine, PlanLimits{MaxFetchTime: time.Second}, now).FirstByte(time.Second, now)
	}
	list := other.Tallies()
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].Key, HashName("a"))
	told := list[0].Tally
	assert.Equal(t, told.Late, int64(12))
	k.AddPeerTally(HashName("a"), Tally{Late: told.Late}, now)
	assert.Equal(t, source(time.Second), b.Store.Addr)
	k.AddPeerTally(HashName("a"), Tally{Early: 2 * told.Late}, now.Add(time.Second))
	assert.Equal(t, source(2*time.Second), a.Store.Addr, "and those that came in time as well")
}
