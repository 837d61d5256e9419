package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A prompt goes past an engine whose memory is taken, even if that engine has less
// to read: what is let in past the memory has another prompt read again.
func TestPromptGoesWhereItFitsIntoMemory(t *testing.T) {
	p := newTestPool(2, 1)
	need := &PickInput{Model: "m", Tokens: 10_000, Memory: 10_000, Capacity: 40_000}
	loads := map[NameHash]PeerLoad{HashName("r00"): {Requests: 4, Memory: 38_000}, HashName("r01"): {Requests: 4, Tokens: BandTokens{2000}, Memory: 8000}}
	p.SetPeers(loads)
	c, ok := p.Pick(need, testNow)
	assert.Assert(t, ok)
	assert.Equal(t, c.ID, "r01")
	loads[HashName("r00")] = PeerLoad{Requests: 4, Memory: 8000}
	p.SetPeers(loads)
	c, ok = p.Pick(need, testNow)
	assert.Assert(t, ok)
	assert.Equal(t, c.ID, "r00", "with room there it goes where least is to be read")
}

// Memory counts until the answer's end, not only to its first byte, and is told to
// other nodes.
func TestMemoryIsHeldUntilTheEnd(t *testing.T) {
	p := newTestPool(1, 1)
	c, ok := p.Pick(&PickInput{Model: "m", Tokens: 5000, Memory: 5050, Capacity: 40_000}, testNow)
	assert.Assert(t, ok)
	k := p.Begin(c, testNow)
	k.FirstByte(testNow.Add(100 * time.Millisecond))
	assert.DeepEqual(t, p.AppendLoads(nil), []ReplicaLoad{{Key: HashName("r00"), Load: PeerLoad{Requests: 1, Memory: 5050}}})
	k.End(OutcomeOK, testNow.Add(2*time.Second))
	assert.Equal(t, len(p.AppendLoads(nil)), 0)
	assert.Equal(t, p.memory.meanHoldSeconds(), 2.0)
}
