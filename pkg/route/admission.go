package route

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/queue"
)

const (
	minCapacity         = 4
	ewmaWeight          = 0.05 // Weight of the newest sample in the moving averages.
	initialAdmittedTime = 300 * time.Millisecond
	minRetryAfter       = 100 * time.Millisecond
	burstSeconds        = 2 // Burst of the token limit, in seconds of its rate.
)

// Organisation is an organisation's name, share and limits.
type Organisation struct {
	Name            string
	Share           float64
	Concurrency     int
	TokensPerSecond float64
}

// Admission admits requests up to a capacity, fairly between organisations by
// their shares, and within an organisation by priority and deadline. The greatest
// priority is the most urgent, unlike in PromptQueue and Pool, where 0 is.
//
// It uses start-time fair queueing: each organisation has a virtual time that
// grows by the cost of its admitted requests divided by its share, and the
// organisation with the lowest virtual time goes next. So a long queue of one
// organisation delays only that organisation. A request that is expected to wait
// past its deadline is refused at once.
type Admission struct {
	mu               locks.Mutex
	capacity         int
	admitted         int
	virtualTime      float64
	meanAdmittedTime time.Duration // Mean time from admission to release.
	// meanFirstToken is the mean time from admission to the first token.
	meanFirstToken      time.Duration
	firstTokenDeviation time.Duration // Mean absolute deviation from meanFirstToken.
	lastFirstToken      time.Time     // When the latest first token came.
	organisations       map[string]*orgQueue
	// backlogged has the organisations with waiting requests: the cost of a
	// decision grows with their number and not with that of all organisations.
	backlogged       map[*orgQueue]struct{}
	backloggedShares float64 // Sum of the shares of backlogged.
	seq              uint64
}

type orgQueue struct {
	Organisation
	virtualFinish float64 // Virtual time at which its admitted work ends.
	admitted      int
	waiting       queue.Heap[*AdmissionTicket]
	limiter       *rate.Limiter
	countedShare  float64 // Its share as added to Admission.backloggedShares.
}

// NewAdmission returns an Admission with the minimum capacity.
func NewAdmission() *Admission {
	return &Admission{
		capacity:         minCapacity,
		meanAdmittedTime: initialAdmittedTime,
		organisations:    map[string]*orgQueue{},
		backlogged:       map[*orgQueue]struct{}{},
	}
}

// Adapt raises the capacity, at most to maxCapacity, or lowers it, depending on how long
// requests wait at the replicas. Requests should wait here instead: a replica's
// prefill queue can't be reordered, and cached KV state that a request needs may
// be evicted while it waits there.
func (a *Admission) Adapt(replicaWait time.Duration, maxCapacity int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case replicaWait > targetReplicaWait:
		a.capacity = int(float64(a.capacity) * shrinkFactor)
	case a.admitted >= a.capacity:
		// Raise the capacity only if it is used up.
		a.capacity += max(1, a.capacity/growDivisor)
	}
	a.capacity = max(minCapacity, min(a.capacity, maxCapacity))
	a.admit(now)
}

const (
	// targetReplicaWait is the wait at a replica above which Adapt lowers the capacity.
	targetReplicaWait = 150 * time.Millisecond
	shrinkFactor      = 0.9
	growDivisor       = 10
)

// FirstTokenTime is the time from admission to the first token that most requests
// don't exceed: the mean plus twice the mean deviation.
//
// It decays while no first token comes and is 0 while no request is admitted.
// Otherwise, once it exceeded all deadlines, all requests would be refused and no
// new sample could lower it.
func (a *Admission) FirstTokenTime(now time.Time) time.Duration {
	const deviations = 2
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.admitted == 0 {
		return 0
	}
	decay := math.Exp(-max(0, now.Sub(a.lastFirstToken).Seconds()/firstTokenDecay.Seconds()))
	return time.Duration(decay * float64(a.meanFirstToken+deviations*a.firstTokenDeviation))
}

// firstTokenDecay is the time constant with which FirstTokenTime decays.
const firstTokenDecay = time.Second

// SetCapacity sets how many requests may be admitted at once.
func (a *Admission) SetCapacity(n int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.capacity = max(minCapacity, n)
	a.admit(now)
}

// Enqueue queues a request, which may be admitted at once, or returns a
// *RefusedError if it is not expected to be admitted before its deadline or its
// organisation exceeds its token limit. cost is in tokens; the greatest priority is
// the most urgent.
func (a *Admission) Enqueue(o Organisation, cost float64, priority int, deadline, now time.Time) (*AdmissionTicket, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.queueFor(o)
	if q.limiter != nil {
		if ok, after := takeTokens(q.limiter, cost, now); !ok {
			return nil, &RefusedError{Reason: RefusedRateLimit, RetryAfter: after}
		}
	}
	if wait := a.expectedWait(q); now.Add(wait).After(deadline) {
		return nil, &RefusedError{Reason: RefusedOverload, RetryAfter: max(minRetryAfter, wait)}
	}
	a.seq++
	ticket := &AdmissionTicket{
		admission:    a,
		organisation: q,
		cost:         max(1, cost),
		priority:     priority,
		deadline:     deadline,
		seq:          a.seq,
		ready:        make(chan struct{}),
	}
	q.waiting.Push(ticket)
	a.updateBacklogged(q)
	a.admit(now)
	return ticket, nil
}

// updateBacklogged adds a queue to backlogged or removes it, and adjusts the sum of shares.
func (a *Admission) updateBacklogged(q *orgQueue) {
	_, counted := a.backlogged[q]
	switch waits := q.waiting.Len() > 0; {
	case waits && !counted:
		a.backlogged[q] = struct{}{}
		q.countedShare = q.Share
		a.backloggedShares += q.countedShare
	case !waits && counted:
		delete(a.backlogged, q)
		a.backloggedShares -= q.countedShare
	}
}

// takeTokens takes cost from a limiter, or returns after how long to retry. A cost
// larger than the burst counts as the whole burst.
func takeTokens(l *rate.Limiter, cost float64, now time.Time) (bool, time.Duration) {
	n := min(int(cost), l.Burst())
	r := l.ReserveN(now, n)
	if wait := r.DelayFrom(now); wait > 0 {
		r.CancelAt(now)
		return false, max(minRetryAfter, wait)
	}
	return true, 0
}

// queueFor returns an organisation's queue, updated to its current limits.
func (a *Admission) queueFor(o Organisation) *orgQueue {
	q, ok := a.organisations[o.Name]
	if !ok {
		q = &orgQueue{}
		a.organisations[o.Name] = q
	}
	if o.TokensPerSecond != q.TokensPerSecond {
		q.limiter = nil
		if o.TokensPerSecond > 0 {
			q.limiter = rate.NewLimiter(rate.Limit(o.TokensPerSecond), max(1, int(burstSeconds*o.TokensPerSecond)))
		}
	}
	q.Organisation = o
	if q.Share <= 0 {
		q.Share = 1
	}
	return q
}

// expectedWait is how long a new request of an organisation would wait: its queue
// drains at its share of the rate at which admitted requests end.
func (a *Admission) expectedWait(q *orgQueue) time.Duration {
	if a.admitted < a.capacity && q.waiting.Len() == 0 && q.belowConcurrencyLimit() {
		return 0
	}
	shares := a.backloggedShares
	if _, counted := a.backlogged[q]; !counted {
		shares += q.Share
	}
	perSecond := float64(a.capacity) / max(a.meanAdmittedTime.Seconds(), 1e-3) * q.Share / shares
	if q.Concurrency > 0 {
		perSecond = min(perSecond, float64(q.Concurrency)/max(a.meanAdmittedTime.Seconds(), 1e-3))
	}
	return seconds(float64(q.waiting.Len()+1) / perSecond)
}

func (q *orgQueue) belowConcurrencyLimit() bool {
	return q.Concurrency == 0 || q.admitted < q.Concurrency
}

// admit admits waiting requests up to the capacity; the caller holds mu.
func (a *Admission) admit(now time.Time) {
	for a.admitted < a.capacity {
		q := a.nextOrganisation()
		if q == nil {
			return
		}
		ticket := q.waiting.Pop()
		a.updateBacklogged(q)
		a.virtualTime = max(a.virtualTime, q.virtualFinish)
		q.virtualFinish = max(q.virtualFinish, a.virtualTime) + ticket.cost/q.Share
		q.admitted++
		a.admitted++
		ticket.admittedAt = now
		ticket.admitted = true
		close(ticket.ready)
	}
}

// nextOrganisation picks the organisation whose request is admitted next, nil for none.
func (a *Admission) nextOrganisation() *orgQueue {
	var best *orgQueue
	for q := range a.backlogged {
		if !q.belowConcurrencyLimit() {
			continue
		}
		if best == nil || a.precedes(q, best) {
			best = q
		}
	}
	return best
}

// precedes reports whether q's first request is admitted before other's.
func (a *Admission) precedes(q, other *orgQueue) bool {
	first, second := q.waiting.First(), other.waiting.First()
	if q.startTag(a.virtualTime) != other.startTag(a.virtualTime) {
		return q.startTag(a.virtualTime) < other.startTag(a.virtualTime)
	}
	return first.seq < second.seq
}

// startTag is the virtual time at which an organisation's next request starts. It
// is at least the current virtual time: an idle organisation earns no credit.
func (q *orgQueue) startTag(virtualTime float64) float64 { return max(q.virtualFinish, virtualTime) }

// AdmissionStatus is the state of an Admission as shown in dumps.
type AdmissionStatus struct {
	Capacity      int                           `json:"capacity"`
	Admitted      int                           `json:"inside"`
	MeanHold      time.Duration                 `json:"mean_hold_ns"`
	Organisations map[string]OrganisationStatus `json:"organisations"`
}

// OrganisationStatus is the state of one organisation's queue as shown in dumps.
type OrganisationStatus struct {
	Admitted int `json:"inside"`
	Waiting  int `json:"waiting"`
}

// Status returns the capacity and the queues' lengths.
func (a *Admission) Status() AdmissionStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := AdmissionStatus{
		Capacity:      a.capacity,
		Admitted:      a.admitted,
		MeanHold:      a.meanAdmittedTime,
		Organisations: map[string]OrganisationStatus{},
	}
	for name, q := range a.organisations {
		s.Organisations[name] = OrganisationStatus{Admitted: q.admitted, Waiting: q.waiting.Len()}
	}
	return s
}
