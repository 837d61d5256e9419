package route

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/drumpath/drumpath/pkg/queue"
)

const (
	minCapacity  = 4
	holdWeight   = 0.05 // Of the newest hold in the mean hold.
	defaultHold  = 300 * time.Millisecond
	minRetry     = 100 * time.Millisecond
	burstSeconds = 2 // Of an organisation's token limit.
)

// Tenant is what admission knows of an organisation.
type Tenant struct {
	Name            string
	Share           float64
	Concurrency     int
	TokensPerSecond float64
}

// Admission lets requests in up to a capacity, in weighted fair order of
// organisations, and within one by priority and deadline.
//
// It is start-time fair queueing: each organisation has a virtual time that
// grows with the work it was given over its share, and the organisation that is
// furthest behind goes next. So a large organisation's queue delays itself. A
// request that would wait past its limit is refused at once.
type Admission struct {
	mu       sync.Mutex
	capacity int
	inside   int
	virtual  float64
	meanHold time.Duration
	// meanFirst is the mean time from the way in to the first token.
	meanFirst time.Duration
	devFirst  time.Duration // Mean deviation from it.
	lastFirst time.Time     // When the last one came.
	tenants   map[string]*tenantQueue
	// waiting has the organisations with a queue, so that the cost of a
	// decision grows with these and not with all there are.
	waiting map[*tenantQueue]struct{}
	shares  float64 // Of those.
	seq     uint64
}

type tenantQueue struct {
	Tenant
	finish  float64 // Virtual time up to which it has had its share.
	inside  int
	waiting queue.Heap[*AdmissionTicket]
	tokens  *rate.Limiter
	noted   float64 // Its part of Admission.shares.
}

// NewAdmission returns an admission of the least capacity.
func NewAdmission() *Admission {
	return &Admission{
		capacity: minCapacity,
		meanHold: defaultHold,
		tenants:  map[string]*tenantQueue{},
		waiting:  map[*tenantQueue]struct{}{},
	}
}

// Adapt lets more or fewer requests in, by what they wait at the replicas: a
// queue in front of a prefill can't be ordered any more, and what was prepared
// for a request is lost while it waits there, so what must wait waits here. most
// is the largest capacity.
func (a *Admission) Adapt(wait time.Duration, most int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case wait > wantedWait:
		a.capacity = int(float64(a.capacity) * shrink)
	case a.inside >= a.capacity:
		// Only a limit that is met is worth raising.
		a.capacity += max(1, a.capacity/growPart)
	}
	a.capacity = max(minCapacity, min(a.capacity, most))
	a.admit(now)
}

const (
	// wantedWait is the wait at a replica that Adapt aims for.
	wantedWait = 150 * time.Millisecond
	shrink     = 0.9
	growPart   = 10
)

// FirstTokenTime is the time from the way in to the first token that most requests keep
// to: the mean and twice the mean deviation.
//
// It fades while no first token comes, and is nothing while nobody is inside: if
// it is ever longer than the deadlines, all would be refused and nothing would
// show that the way is short again.
func (a *Admission) FirstTokenTime(now time.Time) time.Duration {
	const deviations = 2
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.inside == 0 {
		return 0
	}
	fade := math.Exp(-max(0, now.Sub(a.lastFirst).Seconds()/fadeTerm.Seconds()))
	return time.Duration(fade * float64(a.meanFirst+deviations*a.devFirst))
}

// fadeTerm is how fast the allowance for the first token fades.
const fadeTerm = time.Second

// SetCapacity sets how many requests may be inside at once.
func (a *Admission) SetCapacity(n int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.capacity = max(minCapacity, n)
	a.admit(now)
}

// Enqueue asks for a place: the answer is a place, which may be ready at once, or
// a *RefusedError. The request must be inside before limit; cost is in tokens.
func (a *Admission) Enqueue(t Tenant, cost float64, priority int, limit, now time.Time) (*AdmissionTicket, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.tenant(t)
	if q.tokens != nil {
		if ok, after := takeTokens(q.tokens, cost, now); !ok {
			return nil, &RefusedError{Reason: RefusedRateLimit, RetryAfter: after}
		}
	}
	if wait := a.expectedWait(q); now.Add(wait).After(limit) {
		return nil, &RefusedError{Reason: RefusedOverload, RetryAfter: max(minRetry, wait)}
	}
	a.seq++
	p := &AdmissionTicket{
		admission: a,
		tenant:    q,
		cost:      max(1, cost),
		priority:  priority,
		limit:     limit,
		seq:       a.seq,
		ready:     make(chan struct{}),
	}
	q.waiting.Push(p)
	a.noteWaiting(q)
	a.admit(now)
	return p, nil
}

// noteWaiting keeps the set of organisations with a queue.
func (a *Admission) noteWaiting(q *tenantQueue) {
	_, noted := a.waiting[q]
	switch waits := q.waiting.Len() > 0; {
	case waits && !noted:
		a.waiting[q] = struct{}{}
		q.noted = q.Share
		a.shares += q.noted
	case !waits && noted:
		delete(a.waiting, q)
		a.shares -= q.noted
	}
}

// takeTokens takes cost from a limiter, or says when to come back. One request
// larger than the burst is let through when the bucket is full.
func takeTokens(l *rate.Limiter, cost float64, now time.Time) (bool, time.Duration) {
	n := min(int(cost), l.Burst())
	r := l.ReserveN(now, n)
	if wait := r.DelayFrom(now); wait > 0 {
		r.CancelAt(now)
		return false, max(minRetry, wait)
	}
	return true, 0
}

// tenant returns an organisation's queue with its present limits.
func (a *Admission) tenant(t Tenant) *tenantQueue {
	q, ok := a.tenants[t.Name]
	if !ok {
		q = &tenantQueue{}
		a.tenants[t.Name] = q
	}
	if t.TokensPerSecond != q.TokensPerSecond {
		q.tokens = nil
		if t.TokensPerSecond > 0 {
			q.tokens = rate.NewLimiter(rate.Limit(t.TokensPerSecond), max(1, int(burstSeconds*t.TokensPerSecond)))
		}
	}
	q.Tenant = t
	if q.Share <= 0 {
		q.Share = 1
	}
	return q
}

// expectedWait is how long a new request of an organisation would wait: its own
// queue drains at its share of the rate at which places come free.
func (a *Admission) expectedWait(q *tenantQueue) time.Duration {
	if a.inside < a.capacity && q.waiting.Len() == 0 && q.mayEnter() {
		return 0
	}
	shares := a.shares
	if _, noted := a.waiting[q]; !noted {
		shares += q.Share
	}
	perSecond := float64(a.capacity) / max(a.meanHold.Seconds(), 1e-3) * q.Share / shares
	if q.Concurrency > 0 {
		perSecond = min(perSecond, float64(q.Concurrency)/max(a.meanHold.Seconds(), 1e-3))
	}
	return seconds(float64(q.waiting.Len()+1) / perSecond)
}

func (q *tenantQueue) mayEnter() bool { return q.Concurrency == 0 || q.inside < q.Concurrency }

// admit lets in whom there is room for; the caller holds mu.
func (a *Admission) admit(now time.Time) {
	for a.inside < a.capacity {
		q := a.next()
		if q == nil {
			return
		}
		p := q.waiting.Pop()
		a.noteWaiting(q)
		a.virtual = max(a.virtual, q.finish)
		q.finish = max(q.finish, a.virtual) + p.cost/q.Share
		q.inside++
		a.inside++
		p.entered = now
		p.inside = true
		close(p.ready)
	}
}

// next finds the organisation that is furthest behind its share.
func (a *Admission) next() *tenantQueue {
	var best *tenantQueue
	for q := range a.waiting {
		if !q.mayEnter() {
			continue
		}
		if best == nil || a.goesBefore(q, best) {
			best = q
		}
	}
	return best
}

// goesBefore says whether one organisation's next request goes before another's.
func (a *Admission) goesBefore(q, other *tenantQueue) bool {
	first, second := q.waiting.First(), other.waiting.First()
	if q.behind(a.virtual) != other.behind(a.virtual) {
		return q.behind(a.virtual) < other.behind(a.virtual)
	}
	return first.seq < second.seq
}

// behind is the virtual time at which an organisation's next request starts;
// one that was idle starts now and has saved nothing up.
func (q *tenantQueue) behind(virtual float64) float64 { return max(q.finish, virtual) }

// AdmissionStatus is what a dump shows of admission.
type AdmissionStatus struct {
	Capacity int                     `json:"capacity"`
	Admitted int                     `json:"inside"`
	MeanHold time.Duration           `json:"mean_hold_ns"`
	Tenants  map[string]TenantStatus `json:"organisations"`
}

// TenantStatus is what a dump shows of one organisation's queue.
type TenantStatus struct {
	Admitted int `json:"inside"`
	Waiting  int `json:"waiting"`
}

// Status returns the queues' lengths.
func (a *Admission) Status() AdmissionStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := AdmissionStatus{
		Capacity: a.capacity,
		Admitted: a.inside,
		MeanHold: a.meanHold,
		Tenants:  map[string]TenantStatus{},
	}
	for name, q := range a.tenants {
		s.Tenants[name] = TenantStatus{Admitted: q.inside, Waiting: q.waiting.Len()}
	}
	return s
}
