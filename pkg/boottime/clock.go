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
	// skipped is what Skip has added to the clock.
	skipped atomic.Int64
	// ahead is by how much the clock that counts everything was ahead of the steady one
	// when the program started.
	ahead, errClock = lead()
)

// lead is by how much at least the clock that counts everything is ahead of the steady one.
// It is read first: a pause of the process between the two readings makes less of it, and is
// never taken for a suspension.
func lead() (time.Duration, error) {
	var boot, steady unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady); err != nil {
		return 0, err
	}
	return time.Duration(boot.Nano()-steady.Nano()) + time.Duration(skipped.Load()), nil
}

// Err says why suspensions are not found on this system, nil if they are.
func Err() error { return errClock }

// Look finds out for how long the machine has been suspended since the program started.
// It takes 0.3 us, two calls of the system.
func Look() time.Duration {
	now, err := lead()
	if err != nil || errClock != nil {
		return Suspended()
	}
	found := int64(now - ahead)
	for {
		known := suspended.Load()
		if found <= known || suspended.CompareAndSwap(known, found) {
			return time.Duration(max(found, known))
		}
	}
}

// Suspended is what Look has found so far.
func Suspended() time.Duration { return time.Duration(suspended.Load()) }

// Now is the time with all suspensions found so far. Its wall clock is ahead by as much:
// it is for ages, not to be shown.
func Now() time.Time { return time.Now().Add(Suspended()) }

// LookNow looks, and returns Now.
func LookNow() time.Time {
	Look()
	return Now()
}

// Since is how long ago a time of Now was.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until is how long it is to a time of Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Steady turns a time of Now into one of time.Now, for the runtime's timers and deadlines.
func Steady(t time.Time) time.Time { return t.Add(-Suspended()) }

// Skip has the clock that counts everything tell as if the machine had been suspended for a
// while. It is for tests.
func Skip(d time.Duration) { skipped.Add(int64(d)) }
