package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/site"
)

// fakeRates tells what a test sets, by start of a replica.
type fakeRates map[string]RateState

func (f fakeRates) State(start string, _ time.Time) RateState { return f[start] }

// limitedPool is a pool of two replicas, a and b.
func limitedPool(rates fakeRates) *Pool {
	p := newTestPool(0, 1)
	weights := map[string]int64{"m": 1}
	p.Configure([]site.Upstream{{ID: "a", DataHall: "h0", Slots: 4, Weights: weights}, {ID: "b", DataHall: "h0", Slots: 4, Weights: weights}}, testNow)
	p.SetRateLimits(rates)
	return p
}

// countPicks is how many of some requests are sent to a replica.
func countPicks(p *Pool, in *PickInput, id string) (count int) {
	const requests = 100
	for range requests {
		c, ok := p.Pick(in, testNow)
		if ok && c.ID == id {
			count++
		}
	}
	return count
}

func TestLimitedReplicaIsNotPickedDuringItsWait(t *testing.T) {
	rates := fakeRates{"a": {Limited: true, Wait: 700 * time.Millisecond}}
	p := limitedPool(rates)
	assert.Equal(t, countPicks(p, &PickInput{}, "a"), 0)
	assert.Equal(t, countPicks(p, &PickInput{}, "b"), 100)
	rates["a"] = RateState{Limited: true}
	n := countPicks(p, &PickInput{}, "a")
	assert.Assert(t, n > 20 && n < 80, "weighed like any other: %d", n)
	assert.Equal(t, countPicks(p, &PickInput{UnlimitedOnly: true}, "a"), 0)
}

func TestRetryAfterWhenAllReplicasAreLimited(t *testing.T) {
	p := limitedPool(fakeRates{
		"a": {Limited: true, Wait: 2 * time.Second},
		"b": {Limited: true, Wait: 600 * time.Millisecond},
	})
	_, ok := p.Pick(&PickInput{}, testNow)
	assert.Assert(t, !ok)
	why := p.Availability(&PickInput{}, testNow)
	assert.Equal(t, why.Excluded[ExcludedLimited], 2)
	assert.Assert(t, why.RetryAfter >= 600*time.Millisecond && why.RetryAfter < 600*time.Millisecond+retryAfterSpread)
	assert.Equal(t, p.Availability(&PickInput{Exclude: []string{"a", "b"}}, testNow).Excluded[ExcludedLimited], 0)
}

// The load pattern is a usual one, in which a replica that takes more than it is sent is
// never the best. Its owner prefers it, so that its next answer tells whether it still names
// a limit; what would take long to read elsewhere goes where it is kept.
func TestOwnerPrefersReplicaWithUnusedRate(t *testing.T) {
	rates := fakeRates{"a": {Limited: true, Unused: 1}}
	p := limitedPool(rates)
	p.byID["b"].latencyRatio = 0.5 // It answers faster.
	p.byID["b"].latencyRatioAt = testNow
	assert.Equal(t, countPicks(p, &PickInput{}, "a"), 100)
	rates["a"] = RateState{Limited: true}
	assert.Equal(t, countPicks(p, &PickInput{}, "a"), 0)
	rates["a"] = RateState{Limited: true, Unused: 1000}
	kept := &PickInput{Model: "m", Tokens: 9000, Shared: 8500, Coverage: map[string]CacheCoverage{"b": {Known: true, Held: 8500}}}
	assert.Equal(t, countPicks(p, kept, "a"), 0)
}

// Its whole part of the load does not come back at the one moment that all nodes hear of.
func TestFormerlyLimitedReplicaRampsUpGradually(t *testing.T) {
	rates := fakeRates{"a": {Ended: testNow.Add(-rampUpTerm / 4)}}
	p := limitedPool(rates)
	assert.Assert(t, countPicks(p, &PickInput{}, "a") < 20)
	rates["a"] = RateState{Ended: testNow.Add(-2 * rampUpTerm)}
	assert.Assert(t, countPicks(p, &PickInput{}, "a") > 20)
}
