package route

import (
	"fmt"
	"time"

	"github.com/drumpath/drumpath/pkg/queue"
)

// AdmissionTicket is a request in an Admission, first waiting and then admitted.
type AdmissionTicket struct {
	queue.Position

	admission    *Admission
	organisation *orgQueue
	cost         float64
	priority     int // The greatest is the most urgent.
	deadline     time.Time
	seq          uint64
	ready        chan struct{}

	// Guarded by admission.mu.
	admitted   bool
	released   bool
	admittedAt time.Time
}

// Ready is closed once the request is admitted.
func (t *AdmissionTicket) Ready() <-chan struct{} { return t.ready }

// FirstToken records that the first token has arrived.
func (t *AdmissionTicket) FirstToken(now time.Time) {
	a := t.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastFirstToken = now
	deviation := now.Sub(t.admittedAt) - a.meanFirstToken
	a.meanFirstToken += time.Duration(ewmaWeight * float64(deviation))
	a.firstTokenDeviation += time.Duration(ewmaWeight * float64(deviation.Abs()-a.firstTokenDeviation))
}

// Release removes the request, admitted or still waiting; later calls do nothing.
func (t *AdmissionTicket) Release(now time.Time) {
	a := t.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.released {
		return
	}
	t.released = true
	if !t.admitted {
		t.organisation.waiting.Remove(t)
		a.updateBacklogged(t.organisation)
		return
	}
	t.organisation.admitted--
	a.admitted--
	a.meanAdmittedTime += time.Duration(ewmaWeight * float64(now.Sub(t.admittedAt)-a.meanAdmittedTime))
	a.admit(now)
}

// GiveUp removes a request that has waited too long and returns the refusal to
// answer with. If the request was admitted in the meantime, it stays and admitted
// is true.
func (t *AdmissionTicket) GiveUp(now time.Time) (refused *RefusedError, admitted bool) {
	a := t.admission
	a.mu.Lock()
	if t.admitted {
		a.mu.Unlock()
		return nil, true
	}
	wait := a.expectedWait(t.organisation)
	a.mu.Unlock()
	t.Release(now)
	return &RefusedError{Reason: RefusedOverload, RetryAfter: max(minRetryAfter, wait)}, false
}

// RefusalReason is why a request was refused.
type RefusalReason string

// Reasons for refusals.
const (
	RefusedOverload  RefusalReason = "overloaded"
	RefusedRateLimit RefusalReason = "rate_limited"
	// RefusedServiceOverload: by the loads of all nodes it would wait too long.
	RefusedServiceOverload RefusalReason = "service_overloaded"
)

// RefusedError is a refusal by admission; the request did not run.
type RefusedError struct {
	Reason     RefusalReason
	RetryAfter time.Duration
	Wait       time.Duration // Expected; 0 if it was not the reason.
}

// Error gives the reason and after how long to retry.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s, come back in %s", e.Reason, e.RetryAfter)
}

// Before reports whether the request goes before another of its organisation: by
// priority, the greatest first, then deadline, then arrival.
func (t *AdmissionTicket) Before(other *AdmissionTicket) bool {
	switch {
	case t.priority != other.priority:
		return t.priority > other.priority
	case !t.deadline.Equal(other.deadline):
		return t.deadline.Before(other.deadline)
	default:
		return t.seq < other.seq
	}
}
