package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/site"
)

// newTestIndexWithHolder returns an index of three engines, one in each hall, of which
// holder has reported that it holds testPrompt in realm "r".
func newTestIndexWithHolder(holder string) *CacheIndex {
	index := NewCacheIndex()
	engines := testReplicas(3, 1)
	for i := range engines {
		engines[i].Addr = testStore("", "", "10.0.1.1:1", 0, 0).Store.Addr
	}
	index.SetEngines("", engines, testEngine)
	for _, u := range engines {
		index.ApplyEngineUpdate(EngineCacheUpdate{Engine: u.ID, Full: true})
	}
	index.ApplyEngineUpdate(EngineCacheUpdate{Engine: holder, Changes: engineChanges("r", testPrompt...)})
	return index
}

func engineChanges(realm string, parts ...site.Part) []EngineCacheChange {
	var list []EngineCacheChange
	for _, p := range parts {
		list = append(list, EngineCacheChange{Part: HashPart(realm, p.ID), Tokens: p.Tokens})
	}
	return list
}

func TestPartsAreFetchedFromTheEngineThatHoldsThem(t *testing.T) {
	index := newTestIndexWithHolder("r01")
	o := testCoverage(index, time.Time{}, testNow)
	assert.Equal(t, o["r01"].Cached, 7000)
	assert.Equal(t, o["r01"].Wait, time.Duration(0))
	assert.Equal(t, o["r00"].Cached, 0)
	assert.Equal(t, o["r00"].Fetched, 7000, "the others fetch from it")
	assert.Assert(t, o["r00"].Wait > 0)
	p := index.Plan("r", testReplicas(3, 1)[0], testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second}, testNow)
	assert.Equal(t, p.Fetched, 7000)
	assert.Equal(t, p.Sources[0].String(), "10.0.1.1:1")
}

// Once newer weights have been announced, a run that continues at an engine may have
// computed the rest of a part with them.
func TestNothingIsFetchedFromEnginesWhileWeightsAreReplaced(t *testing.T) {
	index := newTestIndexWithHolder("r01")
	o := testCoverage(index, testNow.Add(time.Hour), testNow)
	assert.Equal(t, o["r00"].Fetched, 0)
	assert.Equal(t, o["r01"].Cached, 7000, "its own parts may be used: an engine drops them with its weights")
	p := index.Plan("r", testReplicas(3, 1)[0], testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second, SourceRules: SourceRules{CompleteBefore: testNow.Add(time.Hour)}}, testNow)
	assert.Equal(t, p.Fetched, 0)
}

func TestNothingIsFetchedFromStaleOrAvoidedEngines(t *testing.T) {
	index := newTestIndexWithHolder("r01")
	index.ApplyEngineUpdate(EngineCacheUpdate{Engine: "r01", Stale: true})
	assert.Equal(t, testCoverage(index, time.Time{}, testNow)["r00"].Fetched, 0)
	assert.Assert(t, !testCoverage(index, time.Time{}, testNow)["r01"].Known)
	index.ApplyEngineUpdate(EngineCacheUpdate{Engine: "r01"})
	assert.Equal(t, testCoverage(index, time.Time{}, testNow)["r00"].Fetched, 7000, "its events are received again")
	index.AvoidEngine("r01", testNow.Add(time.Second))
	assert.Equal(t, testCoverage(index, time.Time{}, testNow)["r00"].Fetched, 0)
	assert.Equal(t, testCoverage(index, time.Time{}, testNow.Add(time.Second))["r00"].Fetched, 7000)
}

func TestEvictedPartsAndRemovedEnginesAreForgotten(t *testing.T) {
	index := newTestIndexWithHolder("r01")
	index.ApplyEngineUpdate(EngineCacheUpdate{Engine: "r01", Changes: []EngineCacheChange{{Part: HashPart("r", "bb")}}})
	assert.Equal(t, testCoverage(index, time.Time{}, testNow)["r00"].Fetched, 2000)
	index.ApplyEngineUpdate(EngineCacheUpdate{Engine: "r01", Full: true})
	assert.Equal(t, testCoverage(index, time.Time{}, testNow)["r00"].Fetched, 0)
	index = newTestIndexWithHolder("r01")
	index.SetEngines("", testReplicas(1, 1), testEngine)
	assert.Equal(t, len(index.holders), 0)
	assert.Equal(t, testCoverage(index, time.Time{}, testNow)["r00"].Fetched, 0)
}

func TestEnginePartsAreNotSharedBetweenRealms(t *testing.T) {
	index := newTestIndexWithHolder("r01")
	for _, realm := range []string{"r/org", "r2", ""} {
		p := index.Plan(realm, testReplicas(3, 1)[0], testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second}, testNow)
		assert.Equal(t, p.Fetched, 0, realm)
	}
}

// Parts that an engine has just prefilled are known before its own event arrives.
func TestPrefilledPartsAreKnownAtOnce(t *testing.T) {
	index := newTestIndexWithHolder("r01")
	index.RecordPrefill("r02", "r", testPrompt)
	assert.Equal(t, testCoverage(index, time.Time{}, testNow)["r02"].Cached, 7000)
}
