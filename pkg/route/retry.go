package route

import "github.com/drumpath/drumpath/pkg/locks"

// maxRetryCredit bounds how many unused retries may accumulate.
const maxRetryCredit = 20

// RetryBudget limits retries to a share of the successes, so that failures can't
// multiply the load.
type RetryBudget struct {
	mu     locks.Mutex
	share  float64
	credit float64
}

// NewRetryBudget returns a budget that starts full.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{share: share, credit: maxRetryCredit}
}

// Success records a success, which adds its share of a retry.
func (b *RetryBudget) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(maxRetryCredit, b.credit+b.share)
}

// Take reports whether a retry may be made, and counts it if so.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
