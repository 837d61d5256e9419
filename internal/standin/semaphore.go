package standin

import (
	"context"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/queue"
)

// semaphore admits a limited number of holders at once, by priority and then in
// order of arrival.
type semaphore struct {
	mu      sync.Mutex
	free    int
	seq     int
	waiting queue.Heap[*waiter]
}

// waiter is a call of acquire that waits for a place.
type waiter struct {
	queue.Position

	priority int
	seq      int
	ready    chan struct{}
}

func newSemaphore(places int) *semaphore { return &semaphore{free: places} }

// acquire waits for a free place; it returns false if ctx ends first.
func (s *semaphore) acquire(ctx context.Context, priority int) bool {
	s.mu.Lock()
	if s.free > 0 && s.waiting.Len() == 0 {
		s.free--
		s.mu.Unlock()
		return true
	}
	s.seq++
	w := &waiter{priority: priority, seq: s.seq, ready: make(chan struct{})}
	s.waiting.Push(w)
	s.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.Queued() {
		s.waiting.Remove(w)
		return false
	}
	s.releaseLocked()
	return false
}

func (s *semaphore) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

// releaseLocked gives a place to the first waiter, or frees it if none waits;
// the caller holds mu.
func (s *semaphore) releaseLocked() {
	if s.waiting.Len() == 0 {
		s.free++
		return
	}
	close(s.waiting.Pop().ready)
}

func (s *semaphore) waiterCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting.Len()
}

// Before reports whether the waiter is admitted before another.
func (w *waiter) Before(other *waiter) bool {
	if w.priority != other.priority {
		return w.priority > other.priority
	}
	return w.seq < other.seq
}

// sleep waits for d; it returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
