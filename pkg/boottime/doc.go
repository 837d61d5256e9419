// Package boottime tells the time with that which the steady clock leaves out: a machine
// may be suspended for seconds, and the runtime's steady clock stands still meanwhile.
// After that everything that is remembered with time.Now seems as fresh as before: leases,
// keys, loads of others.
//
// Now is time.Now and what the machine was suspended since the program started, as far as
// that has been found. Refresh finds it: it reads the system's clock that counts everything.
// A step of the time of day moves neither. Whatever must not act on old knowledge looks
// first, and whatever only keeps an age takes Now.
//
// Timers and deadlines of the runtime go by the steady clock; Monotonic turns a time of Now
// into theirs.
package boottime
