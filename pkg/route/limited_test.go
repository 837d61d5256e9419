package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/site"
)

// fakeRates maps a start key to the state that a test has set.
type fakeRates map[string]RateState

func (f fakeRates) State(start string, _ time.Time) RateState { return f[start] }

// limitedPool returns a pool of two replicas, a and b.
func limitedPool(rates fakeRates) *Pool {
	p := newTestPool(0, 1)
	weights := map[string]int64{"m": 1}
	p.Configure([]site.Upstream{{ID: "a", DataHall: "h0", Slots: 4, Weights: weights}, {ID: "b", DataHall: "h0", Slots: 4, Weights: weights}}, testNow)
	p.SetRateLimits(rates)
	return p
}

// countPicks returns how many of 100 requests are sent to a replica.
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
	assert.Assert(t, n > 20 && n < 80, "%d of 100 picks", n)
	assert.Equal(t, countPicks(p, &PickInput{UnlimitedOnly: true}, "a"), 0)
}

func TestRetryAfterWhenAllReplicasAreLimited(t *testing.T) {
	p := limitedPool(fakeRates{
		"a": {Limited: true, Wait: 2 * time.Second},
		"b": {Limited: true, Wait: 600 * time.Millisecond},
	})
	_, ok := p.Pick(&PickInput{}, testNow)
	assert.Assert(t, !ok)
	availability := p.Availability(&PickInput{}, testNow)
	assert.Equal(t, availability.Excluded[ExcludedLimited], 2)
	assert.Assert(t, availability.RetryAfter >= 600*time.Millisecond && availability.RetryAfter < 600*time.Millisecond+retryAfterSpread)
	assert.Equal(t, p.Availability(&PickInput{Exclude: []string{"a", "b"}}, testNow).Excluded[ExcludedLimited], 0)
}

// Under usual load a replica whose limit is not used up may never be the best one, and
// then no answer shows that its limit has changed. Its owner therefore prefers it, but
// cached prompts still go where they are cached.
func TestOwnerPrefersReplicaWithUnusedRate(t *testing.T) {
	rates := fakeRates{"a": {Limited: true, Unused: 1}}
	p := limitedPool(rates)
	p.byID["b"].latencyRatio = 0.5 // It answers faster.
	p.byID["b"].latencyRatioAt = testNow
	assert.Equal(t, countPicks(p, &PickInput{}, "a"), 100)
	rates["a"] = RateState{Limited: true}
	assert.Equal(t, countPicks(p, &PickInput{}, "a"), 0)
	rates["a"] = RateState{Limited: true, Unused: 1000}
	cached := &PickInput{Model: "m", Tokens: 9000, Shared: 8500, Coverage: map[string]CacheCoverage{"b": {Known: true, Cached: 8500}}}
	assert.Equal(t, countPicks(p, cached, "a"), 0)
}

// When a limit is lifted, the replica must not get its full share of the load at once, as
// all nodes learn of it at the same moment.
func TestFormerlyLimitedReplicaRampsUpGradually(t *testing.T) {
	rates := fakeRates{"a": {Ended: testNow.Add(-rampUpTerm / 4)}}
	p := limitedPool(rates)
	assert.Assert(t, countPicks(p, &PickInput{}, "a") < 20)
	rates["a"] = RateState{Ended: testNow.Add(-2 * rampUpTerm)}
	assert.Assert(t, countPicks(p, &PickInput{}, "a") > 20)
}
