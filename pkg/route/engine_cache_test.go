package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/site"
)

// newTestIndexWithHolder has three engines, one in each hall, of which one tells that it holds
// testPrompt in realm "r".
func newTestIndexWithHolder(holder string) *CacheIndex {
	k := NewCacheIndex()
	engines := testReplicas(3, 1)
	for i := range engines {
		engines[i].Addr = testStore("", "", "10.0.1.1:1", 0, 0).Store.Addr
	}
	k.SetEngines("", engines, testEngine)
	for _, u := range engines {
		k.ApplyEngineUpdate(EngineCacheUpdate{Engine: u.ID, Full: true})
	}
	k.ApplyEngineUpdate(EngineCacheUpdate{Engine: holder, Changes: engineChanges("r", testPrompt...)})
	return k
}

func engineChanges(realm string, parts ...site.Part) []EngineCacheChange {
	var list []EngineCacheChange
	for _, p := range parts {
		list = append(list, EngineCacheChange{Part: HashPart(realm, p.ID), Tokens: p.Tokens})
	}
	return list
}

func TestEngineThatHoldsAPromptIsPreferredAndGivesIt(t *testing.T) {
	k := newTestIndexWithHolder("r01")
	o := testCoverage(k, time.Time{}, testNow)
	assert.Equal(t, o["r01"].Held, 7000)
	assert.Equal(t, o["r01"].Wait, time.Duration(0))
	assert.Equal(t, o["r00"].Held, 0)
	assert.Equal(t, o["r00"].Fetched, 7000, "the others fetch from it")
	assert.Assert(t, o["r00"].Wait > 0)
	p := k.Plan("r", testReplicas(3, 1)[0], testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second}, testNow)
	assert.Equal(t, p.Fetched, 7000)
	assert.Equal(t, p.Sources[0].String(), "10.0.1.1:1")
}

// Where newer weights have been named, a run that goes on at an engine may have made
// the rest of a part on them.
func TestNothingIsFetchedFromEnginesWhileWeightsAreReplaced(t *testing.T) {
	k := newTestIndexWithHolder("r01")
	o := testCoverage(k, testNow.Add(time.Hour), testNow)
	assert.Equal(t, o["r00"].Fetched, 0)
	assert.Equal(t, o["r01"].Held, 7000, "its own may be used: an engine drops all with its weights")
	p := k.Plan("r", testReplicas(3, 1)[0], testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second, CompleteBefore: testNow.Add(time.Hour)}, testNow)
	assert.Equal(t, p.Fetched, 0)
}

func TestEngineThatIsSilentOrDoubtedGivesNothing(t *testing.T) {
	k := newTestIndexWithHolder("r01")
	k.ApplyEngineUpdate(EngineCacheUpdate{Engine: "r01", Stale: true})
	assert.Equal(t, testCoverage(k, time.Time{}, testNow)["r00"].Fetched, 0)
	assert.Assert(t, !testCoverage(k, time.Time{}, testNow)["r01"].Known)
	k.ApplyEngineUpdate(EngineCacheUpdate{Engine: "r01"})
	assert.Equal(t, testCoverage(k, time.Time{}, testNow)["r00"].Fetched, 7000, "its word is heard again")
	k.AvoidEngine("r01", testNow.Add(time.Second))
	assert.Equal(t, testCoverage(k, time.Time{}, testNow)["r00"].Fetched, 0)
	assert.Equal(t, testCoverage(k, time.Time{}, testNow.Add(time.Second))["r00"].Fetched, 7000)
}

func TestWhatAnEngineDroppedOrLeftWithIsGone(t *testing.T) {
	k := newTestIndexWithHolder("r01")
	k.ApplyEngineUpdate(EngineCacheUpdate{Engine: "r01", Changes: []EngineCacheChange{{Part: HashPart("r", "bb")}}})
	assert.Equal(t, testCoverage(k, time.Time{}, testNow)["r00"].Fetched, 2000)
	k.ApplyEngineUpdate(EngineCacheUpdate{Engine: "r01", Full: true})
	assert.Equal(t, testCoverage(k, time.Time{}, testNow)["r00"].Fetched, 0)
	k = newTestIndexWithHolder("r01")
	k.SetEngines("", testReplicas(1, 1), testEngine)
	assert.Equal(t, len(k.holders), 0)
	assert.Equal(t, testCoverage(k, time.Time{}, testNow)["r00"].Fetched, 0)
}

func TestRealmsShareNothingInEngines(t *testing.T) {
	k := newTestIndexWithHolder("r01")
	for _, realm := range []string{"r/org", "r2", ""} {
		p := k.Plan(realm, testReplicas(3, 1)[0], testPrompt, testEngine, PlanLimits{MaxFetchTime: time.Second}, testNow)
		assert.Equal(t, p.Fetched, 0, realm)
	}
}

// What an engine has just read is known before its own word has come.
func TestWhatWasReadIsKnownAtOnce(t *testing.T) {
	k := newTestIndexWithHolder("r01")
	k.RecordPrefill("r02", "r", testPrompt)
	assert.Equal(t, testCoverage(k, time.Time{}, testNow)["r02"].Held, 7000)
}
