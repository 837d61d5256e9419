package route

import (
	"fmt"
	"time"

	"github.com/drumpath/drumpath/pkg/queue"
)

// AdmissionTicket is a request's place in admission, first in a queue and then inside.
type AdmissionTicket struct {
	queue.Position

	admission *Admission
	tenant    *tenantQueue
	cost      float64
	priority  int
	limit     time.Time
	seq       uint64
	ready     chan struct{}

	// Guarded by admission.mu.
	inside  bool
	ended   bool
	entered time.Time
}

// Ready is closed once the request is inside.
func (p *AdmissionTicket) Ready() <-chan struct{} { return p.ready }

// FirstToken notes that the first token has come.
func (p *AdmissionTicket) FirstToken(now time.Time) {
	a := p.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastFirst = now
	off := now.Sub(p.entered) - a.meanFirst
	a.meanFirst += time.Duration(holdWeight * float64(off))
	a.devFirst += time.Duration(holdWeight * float64(off.Abs()-a.devFirst))
}

// Release gives the place up, inside or still queued; later calls do nothing.
func (p *AdmissionTicket) Release(now time.Time) {
	a := p.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	if !p.inside {
		p.tenant.waiting.Remove(p)
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
func (p *AdmissionTicket) GiveUp(now time.Time) (refused *RefusedError, inside bool) {
	a := p.admission
	a.mu.Lock()
	if p.inside {
		a.mu.Unlock()
		return nil, true
	}
	wait := a.expectedWait(p.tenant)
	a.mu.Unlock()
	p.Release(now)
	return &RefusedError{Reason: RefusedOverload, RetryAfter: max(minRetry, wait)}, false
}

// RefusalReason is why admission refused.
type RefusalReason string

// Reasons for refusals.
const (
	RefusedOverload  RefusalReason = "overloaded"
	RefusedRateLimit RefusalReason = "rate_limited"
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

// Before says whether the place goes before another of its organisation: by
// priority, then limit, then arrival.
func (p *AdmissionTicket) Before(other *AdmissionTicket) bool {
	switch {
	case p.priority != other.priority:
		return p.priority > other.priority
	case !p.limit.Equal(other.limit):
		return p.limit.Before(other.limit)
	default:
		return p.seq < other.seq
	}
}
