package boottime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// MinSuspension is the shortest suspension of the machine after which a node syncs
// again: shorter ones age its state by less than updates are delayed anyway.
const MinSuspension = 100 * time.Millisecond

var (
	// suspended is the measured duration of suspensions since the program started, in
	// nanoseconds. It never decreases.
	suspended atomic.Int64
	// simulated is the total of SimulateSuspend, in nanoseconds.
	simulated atomic.Int64
	// initialLead is an upper bound of the lead of CLOCK_BOOTTIME over CLOCK_MONOTONIC
	// when the program started.
	initialLead, clockErr = measureInitialLead()
)

func monotonicTime() (time.Duration, error) { return readClock(unix.CLOCK_MONOTONIC) }

func bootTime() (time.Duration, error) {
	d, err := readClock(unix.CLOCK_BOOTTIME)
	return d + time.Duration(simulated.Load()), err
}

func readClock(clock int32) (time.Duration, error) {
	var ts unix.Timespec
	err := unix.ClockGettime(clock, &ts)
	return time.Duration(ts.Nano()), err
}

// lead returns a lower bound of the lead of the first clock over the second one. It reads
// the first one first, so that a pause of the process between the readings only lowers the
// result.
func lead(first, second func() (time.Duration, error)) (time.Duration, error) {
	a, err := first()
	if err != nil {
		return 0, err
	}
	b, err := second()
	return a - b, err
}

// initialReadings is the number of additional readings at the start, of which the best is
// used. The error of the initial lead is missing from every suspension measured later.
const initialReadings = 8

// measureInitialLead reads the clocks in the opposite order of Refresh, so that a pause of
// the process during either is never taken for a suspension of the machine.
func measureInitialLead() (time.Duration, error) {
	behind, err := lead(monotonicTime, bootTime)
	for range initialReadings {
		if again, readErr := lead(monotonicTime, bootTime); readErr == nil {
			behind = max(behind, again)
		}
	}
	return -behind, err
}

// Err returns why suspensions can't be measured on this system, nil if they can.
func Err() error { return clockErr }

// Refresh measures for how long the machine has been suspended since the program started.
// The result may be too small by the time between the two readings; the next call makes up
// for it. It makes two system calls and takes 0.6 us.
func Refresh() time.Duration {
	now, err := lead(bootTime, monotonicTime)
	if err != nil || clockErr != nil {
		return Suspended()
	}
	measured := int64(now - initialLead)
	for {
		known := suspended.Load()
		if measured <= known || suspended.CompareAndSwap(known, measured) {
			return time.Duration(max(measured, known))
		}
	}
}

// Suspended returns the suspension that Refresh has measured so far.
func Suspended() time.Duration { return time.Duration(suspended.Load()) }

// Now returns the time including all suspensions measured so far. Its wall clock is ahead by
// the same amount, so it is only for computing ages, not for display.
func Now() time.Time { return time.Now().Add(Suspended()) }

// RefreshNow calls Refresh and returns Now.
func RefreshNow() time.Time {
	Refresh()
	return Now()
}

// Since returns the time elapsed since a time of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the duration until a time of Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Monotonic converts a time of Now into one of time.Now, for the runtime's timers and deadlines.
func Monotonic(t time.Time) time.Time { return t.Add(-Suspended()) }

// SimulateSuspend makes Refresh measure an additional suspension of d. It is for tests.
func SimulateSuspend(d time.Duration) { simulated.Add(int64(d)) }
