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
	index := NewCacheIndex()
	index.Configure(stores)
	for _, s := range stores {
		index.ApplyStoreChanges(s.Name, site.CacheChanges{Boot: 1}, testNow)
	}
	return index
}

func storeChanges(realm string, parts ...site.Part) []site.CacheChange {
	var list []site.CacheChange
	for _, p := range parts {
		list = append(list, site.CacheChange{Realm: realm, Part: p.ID, Tokens: p.Tokens})
	}
	return list
}

// testCoverage returns the coverage of testPrompt in the realm "r" at three engines, one
// in each hall.
func testCoverage(index *CacheIndex, completeBefore, now time.Time) map[string]CacheCoverage {
	realms := map[int64]Realm{1: {Name: "r", SourceRules: SourceRules{CompleteBefore: completeBefore}}}
	return index.Coverage(testReplicas(3, 1), "m", realms, testPrompt, testEngine, time.Second, now)
}

// A part that is still being written, or whose save was interrupted, is never fetched.
func TestIncompletePartsAreNotFetched(t *testing.T) {
	s := testStore("s", "h0", "10.0.0.1:1", 100_000, 10e9)
	index := newTestIndex(s)
	p := index.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second, Save: true}, testNow)
	assert.Equal(t, p.Saved, 7000)
	assert.Equal(t, p.Fetched, 0)
	p = index.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second, Save: true}, testNow.Add(time.Millisecond))
	assert.Equal(t, p.Fetched, 0, "a requested save doesn't count as stored")
	assert.Equal(t, p.Saved, 0, "a part is saved once")
	index.ApplyStoreChanges("s", site.CacheChanges{Boot: 1, Changes: storeChanges("r", testPrompt[0], site.Part{ID: "bb", Tokens: 4000})}, testNow)
	p = index.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second, Save: true}, testNow.Add(2*time.Millisecond))
	assert.Assert(t, p.Sources[0].IsValid())
	assert.Assert(t, !p.Sources[1].IsValid(), "a part stored incompletely is not fetched")
	index.ApplyStoreChanges("s", site.CacheChanges{Boot: 1, Changes: storeChanges("r", testPrompt[1])}, testNow)
	p = index.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second, Save: true}, testNow.Add(3*time.Millisecond))
	assert.Assert(t, p.Sources[1].IsValid())
}

// If the engine didn't run the prompt, the next attempt must be able to save the parts.
func TestCancelledSaveIsPlannedAgain(t *testing.T) {
	index := newTestIndex(testStore("s", "h0", "10.0.0.1:1", 100_000, 10e9))
	plan := func() *Plan {
		return index.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second, Save: true}, testNow)
	}
	first := plan()
	assert.Equal(t, first.Saved, 7000)
	assert.Equal(t, plan().Saved, 0)
	first.Cancel()
	assert.Equal(t, plan().Saved, 7000)
	(&Plan{}).Cancel() // Of a request without a prompt.
}

func TestStoredPartsAreNotSharedBetweenRealms(t *testing.T) {
	index := newTestIndex(testStore("s", "h0", "10.0.0.1:1", 100_000, 10e9))
	index.ApplyStoreChanges("s", site.CacheChanges{Boot: 1, Changes: storeChanges("m@1", testPrompt...)}, testNow)
	for _, realm := range []string{"m@2", "m@1/org", "other@1"} {
		assert.Equal(t, index.Plan(realm, site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second}, testNow).Fetched, 0, realm)
	}
	assert.Equal(t, index.Plan("m@1", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second}, testNow).Fetched, 7000)
}

// After a store's restart nothing is fetched from it, and nothing is saved until all nodes
// have noticed: any other node could read as complete a part that is being written again.
func TestRestartedStoreIsEmptyAndTakesNoSaves(t *testing.T) {
	index := newTestIndex(testStore("s", "h0", "10.0.0.1:1", 100_000, 10e9))
	index.ApplyStoreChanges("s", site.CacheChanges{Boot: 1, Changes: storeChanges("r", testPrompt...)}, testNow)
	index.ApplyStoreChanges("s", site.CacheChanges{Boot: 2}, testNow)
	p := index.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second, Save: true}, testNow.Add(time.Second))
	assert.Equal(t, p.Fetched, 0)
	assert.Equal(t, p.Saved, 0)
	p = index.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second, Save: true}, testNow.Add(RestartSavePause+time.Second))
	assert.Equal(t, p.Saved, 7000)
}

func TestStaleStoreIsNotUsed(t *testing.T) {
	index := newTestIndex(testStore("s", "h0", "10.0.0.1:1", 100_000, 10e9))
	index.ApplyStoreChanges("s", site.CacheChanges{Boot: 1, Changes: storeChanges("r", testPrompt...)}, testNow)
	index.MarkStoreStale("s")
	p := index.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second, Save: true}, testNow)
	assert.Equal(t, p.Fetched+p.Saved, 0)
	index.ApplyStoreChanges("s", site.CacheChanges{Boot: 1}, testNow)
	assert.Equal(t, index.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second, Save: true}, testNow).Fetched, 7000)
}

func TestFullStoreTakesNoSaves(t *testing.T) {
	index := newTestIndex(testStore("s", "h0", "10.0.0.1:1", 9_000, 10e9))
	index.ApplyStoreChanges("s", site.CacheChanges{Boot: 1, Changes: storeChanges("r", site.Part{ID: "cc", Tokens: 8000})}, testNow)
	assert.Equal(t, index.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second, Save: true}, testNow).Saved, 0)
	index.ApplyStoreChanges("s", site.CacheChanges{Boot: 1, Changes: []site.CacheChange{{Realm: "r", Part: "cc"}}}, testNow)
	assert.Assert(t, index.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second, Save: true}, testNow).Saved > 0)
}

func TestFetchUsesTheFastestSource(t *testing.T) {
	slow := testStore("slow", "h0", "10.0.0.1:1", 100_000, 1e9)
	fast := testStore("fast", "h1", "10.0.0.2:1", 100_000, 10e9)
	index := newTestIndex(slow, fast)
	index.ApplyStoreChanges("slow", site.CacheChanges{Boot: 1, Changes: storeChanges("r", testPrompt...)}, testNow)
	index.ApplyStoreChanges("fast", site.CacheChanges{Boot: 1, Changes: storeChanges("r", testPrompt...)}, testNow)
	p := index.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second}, testNow)
	assert.Equal(t, p.Sources[1], fast.Store.Addr)
	index.AddPeerTally(HashName("fast"), Tally{Bytes: 20e9}, testNow) // Other nodes' transfers occupy the link.
	p = index.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second}, testNow)
	assert.Equal(t, p.Sources[1], slow.Store.Addr)
}

func TestStoreWithLateFetchesIsAvoided(t *testing.T) {
	a, b := testStore("a", "h0", "10.0.0.1:1", 100_000, 10e9), testStore("b", "h0", "10.0.0.2:1", 100_000, 9e9)
	index := newTestIndex(a, b)
	// Prompts differ, so that no engine is likely to hold one already.
	source := func(i int, now time.Time) *Plan {
		parts := []site.Part{{ID: fmt.Sprintf("p%d", i), Tokens: 5000}}
		index.ApplyStoreChanges("a", site.CacheChanges{Boot: 1, Changes: storeChanges("r", parts...)}, now)
		index.ApplyStoreChanges("b", site.CacheChanges{Boot: 1, Changes: storeChanges("r", parts...)}, now)
		return index.Plan("r", site.Upstream{DataHall: "h0"}, parts, testEngine, PlanLimits{MaxFetchTime: time.Second}, now)
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

func TestCoverageEndsAtTheFirstMissingPart(t *testing.T) {
	index := newTestIndex(testStore("s", "h0", "10.0.0.1:1", 100_000, 10e9))
	index.ApplyStoreChanges("s", site.CacheChanges{Boot: 1, Changes: storeChanges("r", testPrompt[1])}, testNow)
	o := testCoverage(index, time.Time{}, testNow)
	assert.Equal(t, o["r00"].Fetched, 0, "a part is useful only if all before it are there")
	index.ApplyStoreChanges("s", site.CacheChanges{Boot: 1, Changes: storeChanges("r", testPrompt[0])}, testNow)
	o = testCoverage(index, time.Time{}, testNow)
	assert.Equal(t, o["r00"].Fetched, 7000)
	assert.Assert(t, o["r01"].Wait > o["r00"].Wait, "transfers between data halls take longer")
}

func TestPartsOfListsOnlyPartsOfTheRealms(t *testing.T) {
	index := newTestIndex(testStore("s", "h0", "10.0.0.1:1", 100_000, 10e9))
	index.ApplyStoreChanges("s", site.CacheChanges{Boot: 7, Changes: append(storeChanges("m@1", testPrompt...), storeChanges("m@2", testPrompt[0])...)}, testNow)
	realms := index.StoreRealms("s")
	assert.DeepEqual(t, realms, map[string]bool{"m@1": true, "m@2": true})
	list, boot := index.PartsOf("s", map[string]bool{"m@1": true}, 10)
	assert.Equal(t, len(list), 2)
	assert.Equal(t, boot, int64(7))
	list, _ = index.PartsOf("s", realms, 1)
	assert.Equal(t, len(list), 1)
	index.MarkStoreStale("s")
	list, _ = index.PartsOf("s", realms, 10)
	assert.Equal(t, len(list), 0, "nothing is freed at a stale store")
}

func TestCachedProbabilityFollowsUsage(t *testing.T) {
	usage := newPartUsage()
	now := testNow
	for i := range 60 {
		now = now.Add(50 * time.Millisecond)
		usage.record(partKey{"r", "often"}, 2000, now)
		usage.record(partKey{"r", string(rune('A' + i))}, 5000, now)
	}
	assert.Assert(t, usage.cachedProbability(partKey{"r", "often"}, 40_000, now) > 0.9)
	assert.Assert(t, usage.cachedProbability(partKey{"r", "A"}, 40_000, now) < 0.5)
	assert.Equal(t, usage.cachedProbability(partKey{"r", "never"}, 40_000, now), 0.0)
	assert.Assert(t, usage.cachedProbability(partKey{"r", "often"}, 40_000, now.Add(time.Minute)) < 0.9)
}

// A store's event of freed parts may get lost; they must not be freed again and again.
func TestFreedPartsAreNotFreedAgain(t *testing.T) {
	index := newTestIndex(testStore("s", "h0", "10.0.0.1:1", 100_000, 10e9))
	index.ApplyStoreChanges("s", site.CacheChanges{Boot: 7, Changes: storeChanges("m@1", testPrompt...)}, testNow)
	all := index.StoreRealms("s")
	list, boot := index.PartsOf("s", all, 10)
	index.RemoveFreed("s", boot+1, list) // The store has restarted.
	again, _ := index.PartsOf("s", all, 10)
	assert.Equal(t, len(again), 2)
	index.RemoveFreed("s", boot, list)
	again, _ = index.PartsOf("s", all, 10)
	assert.Equal(t, len(again), 0)
	assert.Equal(t, index.Status()[0].Used, 0)
}

// A run that continues while its replica changes weights saves parts under the old
// weights' realm. Parts completed since then may have been computed with the new weights.
func TestPartsSavedWhileWeightsAreReplacedAreNotFetched(t *testing.T) {
	index := newTestIndex(testStore("s", "h0", "10.0.0.1:1", 100_000, 10e9))
	announced := testNow.Add(time.Second)
	index.ApplyStoreChanges("s", site.CacheChanges{Boot: 1, Changes: storeChanges("r", testPrompt[0])}, testNow)
	index.ApplyStoreChanges("s", site.CacheChanges{Boot: 1, Changes: storeChanges("r", testPrompt[1])}, announced.Add(time.Millisecond))
	p := index.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second, SourceRules: SourceRules{CompleteBefore: announced}}, announced.Add(time.Second))
	assert.Assert(t, p.Sources[0].IsValid())
	assert.Assert(t, !p.Sources[1].IsValid())
	o := testCoverage(index, announced, announced.Add(time.Second))
	assert.Equal(t, o["r00"].Fetched, testPrompt[0].Tokens)
}

// A single node fetches from a store too rarely to notice by itself that the link has
// become slow; fetches of other nodes must count like its own.
func TestLatenessSeenByOtherNodesCounts(t *testing.T) {
	a, b := testStore("a", "h0", "10.0.0.1:1", 100_000, 10e9), testStore("b", "h0", "10.0.0.2:1", 100_000, 9e9)
	index, otherIndex := newTestIndex(a, b), newTestIndex(a, b)
	for _, x := range []*CacheIndex{index, otherIndex} {
		x.ApplyStoreChanges("a", site.CacheChanges{Boot: 1, Changes: storeChanges("r", testPrompt...)}, testNow)
		x.ApplyStoreChanges("b", site.CacheChanges{Boot: 1, Changes: storeChanges("r", testPrompt...)}, testNow)
	}
	source := func(after time.Duration) netip.AddrPort { // Earlier transfers are done by then.
		return index.Plan("r", site.Upstream{DataHall: "h0"}, testPrompt[1:], testEngine, PlanLimits{MaxFetchTime: time.Second}, testNow.Add(after)).Sources[0]
	}
	assert.Equal(t, source(0), a.Store.Addr)
	now := testNow
	for i := range 12 {
		now = now.Add(10 * time.Millisecond)
		parts := []site.Part{{ID: fmt.Sprintf("p%d", i), Tokens: 10}}
		otherIndex.ApplyStoreChanges("a", site.CacheChanges{Boot: 1, Changes: storeChanges("r", parts...)}, now)
		otherIndex.Plan("r", site.Upstream{DataHall: "h0"}, parts, testEngine, PlanLimits{MaxFetchTime: time.Second}, now).FirstByte(time.Second, now)
	}
	list := otherIndex.Tallies()
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].Key, HashName("a"))
	reported := list[0].Tally
	assert.Equal(t, reported.Late, int64(12))
	index.AddPeerTally(HashName("a"), Tally{Late: reported.Late}, now)
	assert.Equal(t, source(time.Second), b.Store.Addr)
	index.AddPeerTally(HashName("a"), Tally{Early: 2 * reported.Late}, now.Add(time.Second))
	assert.Equal(t, source(2*time.Second), a.Store.Addr, "early fetches count too")
}
