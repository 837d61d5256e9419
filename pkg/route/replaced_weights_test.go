package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A prompt must not be sent to a replica with replaced weights whose queue takes longer than these
// may be used.
func TestReplicaThatBeginsAfterItsWeightsEndIsExcluded(t *testing.T) {
	const newest = 2
	p := newTestPool(2, 1)
	fill := func(id string, prompts int) {
		for range prompts {
			u, _ := p.Upstream(id)
			p.Begin(Choice{Upstream: u, PrefillTokens: 10_000}, testNow)
		}
	}
	fill("r00", 2)
	fill("r01", 6)
	p.RecordWeights(ReplicaRef{ID: "r01"}, "m", newest)
	input := &PickInput{Model: "m", Tokens: 1000, NewestVersion: newest}
	c, ok := p.Pick(input, testNow)
	assert.Assert(t, ok && c.ID == "r00", "its queue is shorter")
	p.mu.Lock()
	wait := p.promptQueueSeconds(p.byID["r00"], input, testNow)
	p.mu.Unlock()
	assert.Assert(t, wait > 0.1, "%g s", wait)

	end := testNow.Add(time.Duration(wait * float64(time.Second)))
	input.WeightsTerm = time.Minute
	input.Weights = WeightHistory{{Version: 1, Since: end.Add(-time.Hour)}, {Version: newest, Since: end.Add(-input.WeightsTerm)}}
	c, ok = p.Pick(input, testNow.Add(-50*time.Millisecond))
	assert.Assert(t, ok && c.ID == "r00", "it begins in time")
	c, ok = p.Pick(input, testNow.Add(50*time.Millisecond))
	assert.Assert(t, ok && c.ID == "r01", "it begins too late")
	input.Exclude = []string{"r01"}
	_, ok = p.Pick(input, testNow.Add(50*time.Millisecond))
	assert.Assert(t, !ok, "no other replica is left")
}
