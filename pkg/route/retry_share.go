package route

import (
	"time"

	"github.com/drumpath/drumpath/pkg/locks"
)

// RetryShare is this node's part of a retry budget that all nodes share without
// communicating: each node makes retries only for a share of its own requests plus
// its part of the slack, so the total stays within the budget.
//
// A restarted node does not know what its earlier process has used. In its first window it
// uses a part of its share that the earlier process left in any case, and the slack accrues
// over the window. Its processes thus stay within the share together, however many there are.
type RetryShare struct {
	mu          locks.Mutex
	ratio       float64
	slack       float64
	window      time.Duration
	epoch       time.Time // Start of the numbering of time slots, on the monotonic clock.
	restartedAt time.Time // Zero if there was no earlier process.
	slots       [retrySlots]retrySlot
	latest      int64 // Number of the newest time slot.

	granted, denied int64
}

// RetryStatus is the state of a RetryShare.
type RetryStatus struct {
	Requests int     `json:"requests"` // In the window.
	Retries  int     `json:"retries"`  // In the window.
	Allowed  float64 `json:"allowed"`  // Retries that the window may contain now.
	Granted  int64   `json:"granted"`  // Since the node started.
	Denied   int64   `json:"denied"`   // Since the node started.
}

type retrySlot struct {
	index    int64 // Number of the time slot that is counted.
	requests int
	retries  int
}

const (
	// retrySlots is the number of time slots that the window is divided into.
	retrySlots = 16
	// retrySafetyFactor is the part of its share that a node uses: a check of the
	// budget may use windows with other boundaries, and count some requests later.
	retrySafetyFactor = 0.7
	// retryRestartFactor is the part that a node uses in the first window after a restart. With
	// retrySafetyFactor it is below 1, as the time slots cover a little more than the window.
	retryRestartFactor = 0.25
)

// NewRetryShare returns a budget of ratio retries for each request within any
// window, plus the slack set by SetSlack.
func NewRetryShare(ratio float64, window time.Duration) *RetryShare {
	return &RetryShare{ratio: ratio, window: window, epoch: time.Now().Add(-window)}
}

// SetRestarted records that the node has had an earlier process, which ended before at.
func (b *RetryShare) SetRestarted(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.restartedAt = at
}

// SetRatio sets how many retries are allowed for each request.
func (b *RetryShare) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
}

// SetSlack sets this node's part of the slack, in retries per window.
func (b *RetryShare) SetSlack(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slack = n
}

// AddRequest counts a request by the time of its receipt, which may be long ago if its body took
// long to arrive.
func (b *RetryShare) AddRequest(receivedAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	index := b.advanceLocked(receivedAt)
	if index <= b.latest-retrySlots {
		return // It is not in the window.
	}
	b.slotLocked(index).requests++
}

// Take reports whether a retry may be made, and counts it if so.
func (b *RetryShare) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advanceLocked(now)
	requests, retries := b.countLocked()
	if float64(retries+1) > b.allowedLocked(requests, now) {
		b.denied++
		return false
	}
	b.slotLocked(b.latest).retries++
	b.granted++
	return true
}

// Status returns the state for metrics and logs.
func (b *RetryShare) Status(now time.Time) RetryStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advanceLocked(now)
	requests, retries := b.countLocked()
	return RetryStatus{Requests: requests, Retries: retries, Allowed: b.allowedLocked(requests, now), Granted: b.granted, Denied: b.denied}
}

// countLocked counts the requests and retries of the window that ends with the newest slot.
func (b *RetryShare) countLocked() (requests, retries int) {
	for i := range b.slots {
		if b.slots[i].index > b.latest-retrySlots {
			requests += b.slots[i].requests
			retries += b.slots[i].retries
		}
	}
	return requests, retries
}

// allowedLocked returns how many retries the window that ends now may contain.
func (b *RetryShare) allowedLocked(requests int, now time.Time) float64 {
	earned := b.ratio * float64(requests)
	age := now.Sub(b.restartedAt)
	if b.restartedAt.IsZero() || age >= b.window {
		return retrySafetyFactor * (earned + b.slack)
	}
	return retryRestartFactor * (earned + b.slack*age.Seconds()/b.window.Seconds())
}

// advanceLocked returns the number of the time slot of t, which becomes the newest unless there
// is a newer one.
func (b *RetryShare) advanceLocked(t time.Time) int64 {
	index := int64(max(0, t.Sub(b.epoch)))/max(1, int64(b.window)/(retrySlots-1)) + retrySlots
	b.latest = max(b.latest, index)
	return index
}

// slotLocked returns a time slot of the window by its number.
func (b *RetryShare) slotLocked(index int64) *retrySlot {
	s := &b.slots[index%retrySlots]
	if s.index != index {
		*s = retrySlot{index: index}
	}
	return s
}
