package boottime_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/boottime"
)

func TestSuspensionCountsOnceItIsFound(t *testing.T) {
	assert.NilError(t, boottime.Err())
	before, known := boottime.Now(), boottime.Suspended()
	boottime.Skip(8 * time.Second)
	assert.Assert(t, boottime.Since(before) < time.Second, "nobody has looked")
	assert.Assert(t, boottime.Look()-known >= 8*time.Second)
	assert.Assert(t, boottime.Since(before) >= 8*time.Second && boottime.Since(before) < 9*time.Second)
	assert.Assert(t, boottime.Until(before.Add(9*time.Second)) <= time.Second)
	limit := boottime.Now().Add(time.Minute)
	left := time.Until(boottime.Steady(limit))
	assert.Assert(t, left > 59*time.Second && left <= time.Minute, "%v", left)
}

// Between two looks only a suspension counts, not the time that passes, nor a pause of the
// process between the two readings.
func TestRunningOnIsNoSuspension(t *testing.T) {
	first := boottime.Look()
	for range 2000 {
		time.Sleep(10 * time.Microsecond)
		boottime.Look()
	}
	assert.Assert(t, boottime.Look()-first < time.Millisecond, "%v", boottime.Look()-first)
}

func BenchmarkLook(b *testing.B) {
	for b.Loop() {
		boottime.Look()
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
