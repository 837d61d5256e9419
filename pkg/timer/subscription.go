package timer

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// Subscription is one periodic callback of a Service.
type Subscription struct {
	service *Service
	every   time.Duration
	fn      Func
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	// Guarded by service.mu.
	at     time.Time
	index  int
	closed bool
}

// Close ends the subscription and waits for a running callback to return; it
// must not be called from that callback.
func (s *Subscription) Close() {
	s.cancel()
	s.service.mu.Lock()
	s.closed = true
	if s.index >= 0 {
		heap.Remove(&s.service.due, s.index)
	}
	s.service.mu.Unlock()
	// Waiting under the lock would block the callback's own rescheduling.
	s.running.Wait()
}
