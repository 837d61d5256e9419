package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/site"
)

// A fetch behind others on a busy link is thrown away only long after the answer
// was due: the prompt would be read later still.
func TestFetchTimeoutExceedsTargetAndExpectedTime(t *testing.T) {
	term := func(target, expected time.Duration) time.Duration {
		x := &exchange{route: &site.Route{Target: target}}
		return x.fetchTimeout(expected)
	}
	assert.Assert(t, term(500*time.Millisecond, 100*time.Millisecond) >= time.Second)
	assert.Assert(t, term(100*time.Millisecond, 900*time.Millisecond) > 900*time.Millisecond, "longer than expected")
	// A replica begins no move that waits longer than that.
	assert.Assert(t, term(time.Minute, time.Minute) < 2*time.Second)
}
