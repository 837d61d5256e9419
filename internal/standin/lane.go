package standin

import (
	"context"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/queue"
)

// lane lets a number of holders in at once, by priority and then in order.
type lane struct {
	mu      sync.Mutex
	free    int
	seq     int
	waiting queue.Heap[*waiter]
}

type waiter struct {
	queue.Position

	priority int
	seq      int
	ready    chan struct{}
}

func newLane(width int) *lane { return &lane{free: width} }

// enter waits for a place; it returns false if ctx ends first.
func (l *lane) enter(ctx context.Context, priority int) bool {
	l.mu.Lock()
	if l.free > 0 && l.waiting.Len() == 0 {
		l.free--
		l.mu.Unlock()
		return true
	}
	l.seq++
	w := &waiter{priority: priority, seq: l.seq, ready: make(chan struct{})}
	l.waiting.Push(w)
	l.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.Queued() {
		l.waiting.Remove(w)
		return false
	}
	l.pass()
	return false
}

func (l *lane) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pass()
}

// pass hands a place on; the caller holds mu.
func (l *lane) pass() {
	if l.waiting.Len() == 0 {
		l.free++
		return
	}
	close(l.waiting.Pop().ready)
}

func (l *lane) queued() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting.Len()
}

// Before says whether the waiter goes before another.
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
