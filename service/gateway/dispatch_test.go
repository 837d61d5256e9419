package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/site"
)

// A fetch that is late is given up while the prompt can still be read in time, but not
// before it is expected.
func TestLateFetchIsGivenUpInTimeToRead(t *testing.T) {
	term := func(target, expected time.Duration) time.Duration {
		x := &exchange{route: &site.Route{Target: target}}
		return x.fetchTerm(expected)
	}
	got := term(500*time.Millisecond, 50*time.Millisecond)
	assert.Assert(t, got >= 300*time.Millisecond && got < 400*time.Millisecond, "%s of a target of 500 ms", got)
	assert.Assert(t, term(100*time.Millisecond, 900*time.Millisecond) > 900*time.Millisecond, "longer than expected")
	// A replica begins no move that waits longer than that.
	assert.Assert(t, term(time.Minute, time.Minute) < 2*time.Second)
}
