package standin

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// lane lets a number of holders in at once, by priority and then in order.
type lane struct {
	mu      sync.Mutex
	free    int
	seq     int
	waiting waiters
}

type waiter struct {
	priority int
	seq      int
	ready    chan struct{}
	index    int
}

func newLane(width int) *lane { return &lane{free: width} }

// enter waits for a place; it returns false if ctx ends first.
func (l *lane) enter(ctx context.Context, priority int) bool {
	l.mu.Lock()
	if l.free > 0 && len(l.waiting) == 0 {
		l.free--
		l.mu.Unlock()
		return true
	}
	l.seq++
	w := &waiter{priority: priority, seq: l.seq, ready: make(chan struct{})}
	heap.Push(&l.waiting, w)
	l.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&l.waiting, w.index)
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
	if len(l.waiting) == 0 {
		l.free++
		return
	}
	w := heap.Pop(&l.waiting).(*waiter) // The heap holds nothing else.
	close(w.ready)
}

func (l *lane) queued() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting)
}

type waiters []*waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].seq < w[j].seq
}

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index = i
	w[j].index = j
}

func (w *waiters) Push(x any) {
	item := x.(*waiter) // The heap holds nothing else.
	item.index = len(*w)
	*w = append(*w, item)
}

func (w *waiters) Pop() any {
	old := *w
	last := old[len(old)-1]
	last.index = -1
	*w = old[:len(old)-1]
	return last
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
