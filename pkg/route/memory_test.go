package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A prompt avoids an engine whose memory is full, even if fewer tokens wait there: the
// engine would preempt another prompt and prefill it again.
func TestPromptAvoidsEngineWithFullMemory(t *testing.T) {
	p := newTestPool(2, 1)
	input := &PickInput{Model: "m", Tokens: 10_000, Memory: 10_000, Capacity: 40_000}
	loads := map[NameHash]PeerLoad{HashName("r00"): {Requests: 4, Memory: 38_000}, HashName("r01"): {Requests: 4, Tokens: BandTokens{2000}, Memory: 8000}}
	p.SetPeers(loads)
	c, ok := p.Pick(input, testNow)
	assert.Assert(t, ok)
	assert.Equal(t, c.ID, "r01")
	loads[HashName("r00")] = PeerLoad{Requests: 4, Memory: 8000}
	p.SetPeers(loads)
	c, ok = p.Pick(input, testNow)
	assert.Assert(t, ok)
	assert.Equal(t, c.ID, "r00", "with room there, the engine with the least to prefill is picked")
}

// Memory counts until the answer's end, not only until its first byte, and is reported
// to other nodes.
func TestMemoryCountsUntilTheEndOfTheAnswer(t *testing.T) {
	p := newTestPool(1, 1)
	c, ok := p.Pick(&PickInput{Model: "m", Tokens: 5000, Memory: 5050, Capacity: 40_000}, testNow)
	assert.Assert(t, ok)
	request := p.Begin(c, testNow)
	request.FirstByte(testNow.Add(100 * time.Millisecond))
	assert.DeepEqual(t, p.AppendLoads(nil), []ReplicaLoad{{Key: HashName("r00"), Load: PeerLoad{Requests: 1, Memory: 5050}}})
	request.End(OutcomeOK, testNow.Add(2*time.Second))
	assert.Equal(t, len(p.AppendLoads(nil)), 0)
	assert.Equal(t, p.memory.meanHoldSeconds(), 2.0)
}
