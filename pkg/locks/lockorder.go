//go:build lockorder

package locks

import "github.com/sasha-s/go-deadlock"

// Mutex is a mutual exclusion lock that checks the order of locks.
type Mutex = deadlock.Mutex

// RWMutex is a lock of many readers or one writer that checks the order of locks.
type RWMutex = deadlock.RWMutex

// Only the order is checked. Timers for long waits can't be shared by tests with clocks of their own.
func init() { deadlock.Opts.DeadlockTimeout = 0 }
