package gateway

import (
	"time"

	"github.com/drumpath/drumpath/pkg/locks"
)

// replicaClock estimates the clock that the replicas share, from readings in their
// reports.
type replicaClock struct {
	mu      locks.Mutex
	reading time.Duration
	readAt  time.Time
}

// update records a reading. It was taken before it arrived, so the estimate is behind, and
// fetches are given up slightly early.
func (c *replicaClock) update(clock time.Duration, now time.Time) {
	if clock == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.readAt = clock, now
}

// read returns the estimate; ok is false if there was no reading yet.
func (c *replicaClock) read(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readAt.IsZero() {
		return 0, false
	}
	return c.reading + now.Sub(c.readAt), true
}
