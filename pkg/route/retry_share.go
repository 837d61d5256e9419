package route

import (
	"sync"
	"time"
)

// RetryShare is this node's part of a retry budget that all nodes share without
// talking: each spends only the share of its own requests and its part of the
// slack, so the sum holds whatever the others do.
type RetryShare struct {
	mu     sync.Mutex
	ratio  float64
	slack  float64
	window time.Duration
	base   time.Time // Slots are counted from here, on the steady clock.
	slots  [retrySlots]retrySlot
}

type retrySlot struct {
	at       int64 // Which slot of time it counts.
	requests int
	retries  int
}

const (
	// retrySlots is into how many parts the window is cut.
	retrySlots = 16
	// retryCaution is the part of its share that a node spends, for windows
	// that fall differently and for requests that others count later.
	retryCaution = 0.7
)

// NewRetryShare returns a budget of ratio retries for each request within any
// window, and slack more.
func NewRetryShare(ratio float64, window time.Duration) *RetryShare {
	return &RetryShare{ratio: ratio, window: window, base: time.Now().Add(-window)}
}

// SetSlack sets this node's part of the slack, in retries a window.
func (b *RetryShare) SetSlack(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slack = n
}

// AddRequest counts a request.
func (b *RetryShare) AddRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot(now).requests++
}

// Take says whether a retry may be made, and counts it.
func (b *RetryShare) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.slot(now)
	requests, retries := 0, 0
	for i := range b.slots {
		if b.slots[i].at > s.at-retrySlots {
			requests += b.slots[i].requests
			retries += b.slots[i].retries
		}
	}
	if float64(retries+1) > retryCaution*(b.ratio*float64(requests)+b.slack) {
		return false
	}
	s.retries++
	return true
}

func (b *RetryShare) slot(now time.Time) *retrySlot {
	at := int64(max(0, now.Sub(b.base)))/max(1, int64(b.window)/(retrySlots-1)) + retrySlots
	s := &b.slots[at%retrySlots]
	if s.at != at {
		*s = retrySlot{at: at}
	}
	return s
}
