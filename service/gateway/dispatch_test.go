package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/site"
)

// A fetch that waits behind others on a busy link must not be abandoned soon after the
// answer was due: recomputing the prompt would take even longer.
func TestFetchTimeoutExceedsTargetAndExpectedTime(t *testing.T) {
	term := func(target, expected time.Duration) time.Duration {
		x := &exchange{route: &site.Route{LatencyTarget: target}}
		return x.fetchTimeout(expected)
	}
	assert.Assert(t, term(500*time.Millisecond, 100*time.Millisecond) >= time.Second)
	assert.Assert(t, term(100*time.Millisecond, 900*time.Millisecond) > 900*time.Millisecond, "longer than expected")
	// A replica starts no transfer that would wait longer than that.
	assert.Assert(t, term(time.Minute, time.Minute) < 2*time.Second)
}
