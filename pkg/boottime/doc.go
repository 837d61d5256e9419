// Package boottime is a clock that includes the time during which the machine was
// suspended. The runtime's monotonic clock stands still during a suspension, so that
// afterwards everything recorded with time.Now seems as fresh as before: leases, keys,
// loads of other nodes.
//
// Now is time.Now plus the measured suspension since the program started. Refresh measures
// it with CLOCK_BOOTTIME. Steps of the wall clock affect neither. Code that must not act on
// stale data calls Refresh first; code that only records an age uses Now.
//
// Timers and deadlines of the runtime use the monotonic clock; Monotonic converts a time
// of Now for them.
package boottime
