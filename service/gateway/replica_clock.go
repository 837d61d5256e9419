package gateway

import (
	"sync"
	"time"
)

// replicaClock is the replicas' common clock, as their reports tell it.
type replicaClock struct {
	mu      sync.Mutex
	reading time.Duration
	readAt  time.Time
}

// update takes in a reading; it was made some time before, so it is behind, which
// has fetches given up a little early.
func (c *replicaClock) update(clock time.Duration, now time.Time) {
	if clock == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.readAt = clock, now
}

// read is the clock now; ok is false if it was never told.
func (c *replicaClock) read(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readAt.IsZero() {
		return 0, false
	}
	return c.reading + now.Sub(c.readAt), true
}
