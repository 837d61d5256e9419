package gateway

import (
	"sync"
	"time"
)

// replicaClock is the replicas' common clock, as their reports tell it.
type replicaClock struct {
	mu    sync.Mutex
	clock time.Duration
	at    time.Time
}

// hear takes in a reading; it was made some time before, so it is behind, which
// has fetches given up a little early.
func (c *replicaClock) hear(clock time.Duration, now time.Time) {
	if clock == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock, c.at = clock, now
}

// read is the clock now; ok is false if it was never told.
func (c *replicaClock) read(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at.IsZero() {
		return 0, false
	}
	return c.clock + now.Sub(c.at), true
}
