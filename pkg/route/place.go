package route

import (
	"container/heap"
	"fmt"
	"time"
)

// Place is a request's place in admission, first in a queue and then inside.
type Place struct {
	admission *Admission
	tenant    *tenantQueue
	cost      float64
	priority  int
	limit     time.Time
	seq       uint64
	ready     chan struct{}

	// Guarded by admission.mu.
	index   int
	inside  bool
	ended   bool
	entered time.Time
}

// Ready is closed once the request is inside.
func (p *Place) Ready() <-chan struct{} { return p.ready }

// First notes that the first token has come.
func (p *Place) First(now time.Time) {
	a := p.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	off := now.Sub(p.entered) - a.meanFirst
	a.meanFirst += time.Duration(holdWeight * float64(off))
	a.devFirst += time.Duration(holdWeight * float64(off.Abs()-a.devFirst))
}

// Leave gives the place up, inside or still queued; later calls do nothing.
func (p *Place) Leave(now time.Time) {
	a := p.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	if !p.inside {
		heap.Remove(&p.tenant.waiting, p.index)
		a.noteWaiting(p.tenant)
		return
	}
	p.tenant.inside--
	a.inside--
	a.meanHold += time.Duration(holdWeight * float64(now.Sub(p.entered)-a.meanHold))
	a.admit(now)
}

// GiveUp leaves a queue that took too long and returns the refusal to answer
// with; inside says that the place was reached just now after all.
func (p *Place) GiveUp(now time.Time) (refused *RefusedError, inside bool) {
	a := p.admission
	a.mu.Lock()
	if p.inside {
		a.mu.Unlock()
		return nil, true
	}
	wait := a.expectedWait(p.tenant)
	a.mu.Unlock()
	p.Leave(now)
	return &RefusedError{Reason: RefusedLoad, RetryAfter: max(minRetry, wait)}, false
}

// RefusalReason is why admission refused.
type RefusalReason string

// Reasons for refusals.
const (
	RefusedLoad RefusalReason = "overloaded"
	RefusedRate RefusalReason = "rate_limited"
)

// RefusedError is a refusal by admission; the request did not run.
type RefusedError struct {
	Reason     RefusalReason
	RetryAfter time.Duration
}

// Error gives the reason and when to come back.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s, come back in %s", e.Reason, e.RetryAfter)
}

// places is a heap of waiting requests by priority, deadline and arrival.
type places []*Place

func (h places) Len() int { return len(h) }

func (h places) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority > h[j].priority
	}
	if !h[i].limit.Equal(h[j].limit) {
		return h[i].limit.Before(h[j].limit)
	}
	return h[i].seq < h[j].seq
}

func (h places) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *places) Push(x any) {
	p := x.(*Place) // The heap holds nothing else.
	p.index = len(*h)
	*h = append(*h, p)
}

func (h *places) Pop() any {
	old := *h
	p := old[len(old)-1]
	p.index = -1
	*h = old[:len(old)-1]
	return p
}
