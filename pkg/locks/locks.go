//go:build !lockorder

package locks

import "sync"

// Mutex is a mutual exclusion lock.
type Mutex = sync.Mutex

// RWMutex is a lock of many readers or one writer.
type RWMutex = sync.RWMutex
