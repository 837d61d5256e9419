package timer

import (
	"context"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/queue"
)

// Subscription is one periodic callback of a Service.
type Subscription struct {
	queue.Position

	service *Service
	period  time.Duration
	fn      Func
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	// Guarded by service.mu.
	dueAt  time.Time
	closed bool
}

// Before reports whether the subscription is due before another.
func (s *Subscription) Before(other *Subscription) bool { return s.dueAt.Before(other.dueAt) }

// Close ends the subscription and waits for a running callback to return; it
// must not be called from that callback.
func (s *Subscription) Close() {
	s.cancel()
	s.service.mu.Lock()
	s.closed = true
	s.service.due.Remove(s)
	s.service.mu.Unlock()
	// With the lock held this would deadlock with the rescheduling after the callback.
	s.running.Wait()
}
