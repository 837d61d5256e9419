package boottime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Reading the clocks takes time that differs from call to call: a suspension of 8 s was
// measured as 7.9999999 s in nearly every run. The measured time may be too short by the
// pauses during the readings until the next call, but never longer than the real suspension.
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
		noLead := time.Duration(0)
		atStart, err := lead(read(&noLead), read(&ahead))
		assert.NilError(t, err)
		suspension := draw("slept", time.Minute)
		ahead += suspension
		atRefresh, err := lead(read(&ahead), read(&noLead))
		assert.NilError(t, err)
		measured := atRefresh + atStart
		assert.Assert(t, measured <= suspension, "%v of %v", measured, suspension)
		assert.Assert(t, measured >= suspension-unmeasured, "%v of %v, %v open", measured, suspension, unmeasured)
	})
}
