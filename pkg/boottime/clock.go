package boottime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

var (
	// suspended is for how long the machine has been found to have been suspended since
	// the program started, in nanoseconds. It only grows.
	suspended atomic.Int64
	// simulated is what SimulateSuspend has added to the clock.
	simulated atomic.Int64
	// initialLead is by how much at most the clock that counts everything was ahead of the steady
	// one when the program started.
	initialLead, clockErr = measureInitialLead()
)

func monotonicTime() (time.Duration, error) { return read(unix.CLOCK_MONOTONIC) }

func bootTime() (time.Duration, error) {
	d, err := read(unix.CLOCK_BOOTTIME)
	return d + time.Duration(simulated.Load()), err
}

func read(clock int32) (time.Duration, error) {
	var ts unix.Timespec
	err := unix.ClockGettime(clock, &ts)
	return time.Duration(ts.Nano()), err
}

// lead reads two clocks one after the other, and says by how much the first one is ahead at
// least. The process may be paused in between: that makes less of it.
func lead(first, second func() (time.Duration, error)) (time.Duration, error) {
	a, err := first()
	if err != nil {
		return 0, err
	}
	b, err := second()
	return a - b, err
}

// initialReadings is of how many readings the best is taken at the start: what it leaves open
// is left out of each suspension that is found later.
const initialReadings = 8

// measureInitialLead takes the readings the other way round than Refresh, so that a pause of the
// process in either is never taken for a suspension of the machine.
func measureInitialLead() (time.Duration, error) {
	behind, err := lead(monotonicTime, bootTime)
	for range initialReadings {
		if again, failed := lead(monotonicTime, bootTime); failed == nil {
			behind = max(behind, again)
		}
	}
	return -behind, err
}

// Err says why suspensions are not found on this system, nil if they are.
func Err() error { return clockErr }

// Refresh finds out for how long the machine has been suspended since the program started, less
// what passed while the clocks were read, which the next look finds. It takes 0.6 us, two
// calls of the system.
func Refresh() time.Duration {
	now, err := lead(bootTime, monotonicTime)
	if err != nil || clockErr != nil {
		return Suspended()
	}
	found := int64(now - initialLead)
	for {
		known := suspended.Load()
		if found <= known || suspended.CompareAndSwap(known, found) {
			return time.Duration(max(found, known))
		}
	}
}

// Suspended is what Refresh has found so far.
func Suspended() time.Duration { return time.Duration(suspended.Load()) }

// Now is the time with all suspensions found so far. Its wall clock is ahead by as much:
// it is for ages, not to be shown.
func Now() time.Time { return time.Now().Add(Suspended()) }

// RefreshNow looks, and returns Now.
func RefreshNow() time.Time {
	Refresh()
	return Now()
}

// Since is how long ago a time of Now was.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until is how long it is to a time of Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Monotonic turns a time of Now into one of time.Now, for the runtime's timers and deadlines.
func Monotonic(t time.Time) time.Time { return t.Add(-Suspended()) }

// SimulateSuspend has the clock that counts everything tell as if the machine had been suspended for a
// while. It is for tests.
func SimulateSuspend(d time.Duration) { simulated.Add(int64(d)) }
