package boottime_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/boottime"
)

// maxRefreshTime is more than the time of a few calls of Refresh that make up for a pause of
// the process: on a busy machine that can be several time slices.
const maxRefreshTime = time.Second

func TestSuspensionCountsOnlyAfterRefresh(t *testing.T) {
	assert.NilError(t, boottime.Err())
	known := boottime.Refresh()
	before := boottime.Now()
	boottime.SimulateSuspend(8 * time.Second)
	assert.Assert(t, boottime.Since(before) < time.Second, "counted before Refresh")
	for start := time.Now(); boottime.Refresh()-known < 8*time.Second-time.Millisecond; {
		assert.Assert(t, time.Since(start) < maxRefreshTime, "found %v", boottime.Refresh()-known)
	}
	assert.Assert(t, boottime.Refresh()-known <= 8*time.Second+time.Millisecond, "found %v", boottime.Refresh()-known)
	since := boottime.Since(before)
	assert.Assert(t, since >= 8*time.Second-time.Millisecond && since < 10*time.Second, "%v", since)
	assert.Assert(t, boottime.Until(before.Add(9*time.Second)) <= time.Second+time.Millisecond)
	limit := boottime.Now().Add(time.Minute)
	left := time.Until(boottime.Monotonic(limit))
	assert.Assert(t, left > 59*time.Second && left <= time.Minute, "%v", left)
}

// Neither the time between two calls of Refresh nor a pause of the process between its two
// readings may be counted as suspension.
func TestRunningTimeIsNotCountedAsSuspension(t *testing.T) {
	first := boottime.Refresh()
	for range 2000 {
		time.Sleep(10 * time.Microsecond)
		boottime.Refresh()
	}
	assert.Assert(t, boottime.Refresh()-first < time.Millisecond, "%v", boottime.Refresh()-first)
}

func BenchmarkRefresh(b *testing.B) {
	for b.Loop() {
		boottime.Refresh()
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		boottime.Now()
	}
}

func BenchmarkTimeNow(b *testing.B) {
	for b.Loop() {
		time.Now()
	}
}
