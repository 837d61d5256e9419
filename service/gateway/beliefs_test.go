package gateway

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/route"
)

// Each version's time counts from its own naming, whatever came behind it.
func TestWhenWeightsWereReplaced(t *testing.T) {
	b := NewBeliefs(nil, "h", time.Second, route.NewKept(), slog.New(slog.DiscardHandler))
	t0 := time.Now()
	at := func(s int) time.Time { return t0.Add(time.Duration(s) * time.Second) }
	assert.Assert(t, b.ReplacedAt("m", 1).IsZero())
	b.HearWeights("m", 1, at(0))
	b.HearWeights("m", 2, at(10))
	b.HearWeights("m", 4, at(14))
	b.HearWeights("m", 3, at(15)) // Told late by another node.
	assert.Equal(t, b.ReplacedAt("m", 1), at(10))
	assert.Equal(t, b.ReplacedAt("m", 2), at(14))
	assert.Equal(t, b.ReplacedAt("m", 3), at(14))
	assert.Assert(t, b.ReplacedAt("m", 4).IsZero())
	assert.Equal(t, b.WeightsBefore("m", at(9)), int64(1))
	assert.Equal(t, b.WeightsBefore("m", at(12)), int64(2))
	assert.Equal(t, b.WeightsBefore("m", at(20)), int64(4))
	version, since := b.Weights("m")
	assert.Assert(t, version == 4 && since.Equal(at(14)))
}
