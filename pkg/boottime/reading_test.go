package boottime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Clocks that agree but for a suspension of 8 s told 7.9999999 s in nearly each run but the
// first: the reading itself takes time, another one at each look. What a pause hides may be
// left out until the next look, and nothing may be found that there was not.
func TestMeasuredSuspensionNeverExceedsTheRealOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(what string, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, what))
		}
		now, ahead, unmeasured := time.Hour, draw("ahead", time.Hour), time.Duration(0)
		read := func(lead *time.Duration) func() (time.Duration, error) {
			return func() (time.Duration, error) {
				pause := draw("pause", 5*time.Second)
				now += pause
				unmeasured += pause
				return now + *lead, nil
			}
		}
		none := time.Duration(0)
		atStart, err := lead(read(&none), read(&ahead))
		assert.NilError(t, err)
		slept := draw("slept", time.Minute)
		ahead += slept
		atLook, err := lead(read(&ahead), read(&none))
		assert.NilError(t, err)
		found := atLook + atStart
		assert.Assert(t, found <= slept, "%v of %v", found, slept)
		assert.Assert(t, found >= slept-unmeasured, "%v of %v, %v open", found, slept, unmeasured)
	})
}
