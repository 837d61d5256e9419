package route

import (
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/queue"
)

// PromptQueue holds a node's prompts until an engine has room for them.
//
// Prompts that wait inside an engine can't be reordered, the cached KV state that they
// need may be evicted before they run, and if they exceed the engine's memory, another
// prompt is preempted and prefilled again. So a prompt is sent only when an engine is
// expected to begin it soon, and waits here otherwise. Compared with limiting the number
// of admitted prompts by the median wait, worth, the value served less its costs, rose
// from 0.698 to 0.723 (four days with four seeds each, nine engines).
//
// Prompts that can still be answered in time go before late ones: under load, a queue
// in order of arrival would make all of them late. Then come priority (0 first, unlike
// in Admission), fairness between organisations (start-time fair queueing) and arrival.
// Only the first prompt is considered for admission, so that a large prompt that finds
// no room isn't overtaken by smaller ones behind it.
//
// Lock order: the queue's lock before that of a Pool, which QueueRequest.Fits takes.
type PromptQueue struct {
	mu      locks.Mutex
	waiting queue.Heap[*WaitingPrompt]
	// virtualTime is the start tag of the last admitted prompt, virtualFinish the
	// virtual time at which each organisation's queued prompts end.
	virtualTime   float64
	virtualFinish map[string]float64
	seq           uint64
	// sending is the prompt that is admitted but not yet sent: the pool doesn't count it yet.
	sending *WaitingPrompt
	// interval is the mean time between admissions while prompts wait.
	interval     time.Duration
	lastAdmitted time.Time // Zero unless prompts have been waiting since.
	queued       PeerLoad  // Sum of the waiting prompts, without their number.
}

const (
	// initialInterval is the interval assumed until the first measurement.
	initialInterval = 20 * time.Millisecond
	// intervalWeight is the weight of the newest sample in the mean interval.
	intervalWeight = 0.1
	// maxTrackedOrganisations bounds the size of virtualFinish.
	maxTrackedOrganisations = 10_000
)

// QueueRequest describes a prompt to be queued.
type QueueRequest struct {
	Organisation string
	Cost         float64 // In tokens.
	Priority     int     // 0 is the most urgent, unlike in Admission.
	// Deadline is when the prompt must have been admitted.
	Deadline time.Time
	// Target is the route's target, and ClientLeaves when the client gives up, zero if
	// unknown.
	Target       time.Duration
	ClientLeaves time.Time
	// Prefill and Memory are the tokens that the prompt will have prefilled, and hold.
	Prefill int
	Memory  int
	// Pool is that of the service, which all prompts of a queue have in common; nil if the
	// queue's node decides alone.
	Pool *Pool
	// ForSlot is set for a request without a prompt that waits for a free slot.
	ForSlot bool
	// Fits reports whether an engine is expected to begin the prompt soon; late is set
	// after WaitingPrompt.MarkLate. It is called with the queue's lock held.
	Fits func(late bool, now time.Time) bool
}

// WaitingPrompt is a prompt in a PromptQueue, or one that it has admitted or refused.
type WaitingPrompt struct {
	queue.Position
	QueueRequest

	queue    *PromptQueue
	ready    chan struct{}
	late     bool
	startTag float64 // Virtual start time of fair queueing.
	seq      uint64
	admitted bool
	queuedAt time.Time
	// refused is set if the prompt is not expected to be admitted before its deadline.
	refused *RefusedError
}

// NewPromptQueue returns an empty queue.
func NewPromptQueue() *PromptQueue {
	return &PromptQueue{virtualFinish: map[string]float64{}, interval: initialInterval}
}

// Enqueue queues a prompt, which may be admitted at once. It returns a *RefusedError if
// the prompt is not expected to be admitted before its deadline.
func (q *PromptQueue) Enqueue(r QueueRequest, now time.Time) (*WaitingPrompt, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.seq++
	w := &WaitingPrompt{QueueRequest: r, queue: q, ready: make(chan struct{}), seq: q.seq, queuedAt: now}
	w.startTag = max(q.virtualTime, q.virtualFinish[r.Organisation])
	wait := q.expectedWait(w, now)
	if service := w.serviceWait(now); service > wait && now.Add(service).After(r.Deadline) {
		return nil, w.refusal(RefusedServiceOverload, service, now)
	}
	if now.Add(wait).After(r.Deadline) {
		return nil, w.refusal(RefusedOverload, wait, now)
	}
	if len(q.virtualFinish) >= maxTrackedOrganisations {
		clear(q.virtualFinish) // Past usage is forgotten for all alike.
	}
	q.virtualFinish[r.Organisation] = w.startTag + r.Cost
	q.push(w)
	q.admitNext(now)
	return w, nil
}

// serviceWait is how long all nodes together let prompts of this priority wait, this one
// included.
func (w *WaitingPrompt) serviceWait(now time.Time) time.Duration {
	if w.Pool == nil {
		return 0
	}
	if w.ForSlot {
		return w.Pool.slotWait(bandOf(w.Priority), now)
	}
	return w.Pool.serviceWait(bandOf(w.Priority), now)
}

func (w *WaitingPrompt) refusal(reason RefusalReason, wait time.Duration, now time.Time) *RefusedError {
	return &RefusedError{Reason: reason, RetryAfter: w.retryAfter(wait, now), Wait: wait}
}

// load is what the prompt adds to the queue's load.
func (w *WaitingPrompt) load() (l PeerLoad) {
	band := bandOf(w.Priority)
	l.Tokens[band], l.Memory, l.BandMemory[band] = w.Prefill, w.Memory, w.Memory
	return l
}

func (q *PromptQueue) push(w *WaitingPrompt) {
	q.waiting.Push(w)
	q.setLoad(w.Pool, q.queued.Plus(w.load()))
}

func (q *PromptQueue) remove(w *WaitingPrompt) {
	if w.Queued() {
		q.waiting.Remove(w)
		q.setLoad(w.Pool, q.queued.Minus(w.load()))
	}
}

// setLoad sets the queue's load, which the pool reports to other nodes.
func (q *PromptQueue) setLoad(pool *Pool, load PeerLoad) {
	q.queued = load
	if pool != nil {
		pool.setQueued(load)
	}
}

// expectedWait is how long a prompt would wait for those that go before it.
func (q *PromptQueue) expectedWait(w *WaitingPrompt, now time.Time) time.Duration {
	ahead := 0
	for _, o := range q.waiting.Items() {
		if o.Before(w) {
			ahead++
		}
	}
	return q.waitBehind(ahead, now)
}

// waitBehind is how long a prompt would wait behind some others: the mean interval for
// each, plus the time by which the next admission is already overdue.
func (q *PromptQueue) waitBehind(ahead int, now time.Time) time.Duration {
	wait := time.Duration(ahead) * q.interval
	if !q.lastAdmitted.IsZero() && ahead > 0 {
		wait += max(0, now.Sub(q.lastAdmitted)-q.interval)
	}
	return wait
}

// shed refuses the prompts that are no longer expected to be admitted before their deadline:
// all but the first, and at most one by the load of the whole service.
func (q *PromptQueue) shed(now time.Time) {
	list := slices.SortedFunc(slices.Values(q.waiting.Items()), func(a, b *WaitingPrompt) int {
		if a.Before(b) {
			return -1
		}
		return 1
	})
	ahead := 0
	for _, w := range list {
		wait := q.waitBehind(ahead, now)
		if ahead > 0 && now.Add(wait).After(w.Deadline) {
			q.refuse(w, RefusedOverload, wait, now)
			continue
		}
		ahead++
	}
	q.shedForService(list, now)
}

// shedForService refuses the last of the prompts that have come within a share of their
// target if it is not expected to be admitted in time by the load of the whole service. It
// refuses one at a time, as all nodes decide alike and would shed too much together.
func (q *PromptQueue) shedForService(list []*WaitingPrompt, now time.Time) {
	var waits [bandCount]time.Duration // Of the bands looked at.
	for _, w := range slices.Backward(list) {
		if !w.Queued() || now.Sub(w.queuedAt) > time.Duration(shedTargetShare*float64(w.Target)) {
			continue
		}
		wait := &waits[bandOf(w.Priority)]
		if *wait == 0 {
			*wait = w.serviceWait(now)
		}
		if now.Add(*wait).After(w.Deadline) {
			q.refuse(w, RefusedServiceOverload, *wait, now)
			return
		}
	}
}

func (q *PromptQueue) refuse(w *WaitingPrompt, reason RefusalReason, wait time.Duration, now time.Time) {
	q.remove(w)
	w.refused = w.refusal(reason, wait, now)
	close(w.ready)
}

// Step admits the first prompt if an engine has room for it and no other is being sent.
// Otherwise it refuses those that would wait past their deadline.
func (q *PromptQueue) Step(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.admitNext(now)
}

func (q *PromptQueue) admitNext(now time.Time) {
	if q.sending != nil || q.waiting.Len() == 0 {
		return
	}
	w := q.waiting.First()
	if !w.Fits(w.late, now) {
		if q.lastAdmitted.IsZero() {
			q.lastAdmitted = now
		}
		q.shed(now)
		return
	}
	q.remove(w)
	q.virtualTime = max(q.virtualTime, w.startTag)
	q.sending = w
	w.admitted = true
	if !q.lastAdmitted.IsZero() {
		q.interval += time.Duration(intervalWeight * float64(now.Sub(q.lastAdmitted)-q.interval))
	}
	q.lastAdmitted = now
	if q.waiting.Len() == 0 {
		q.lastAdmitted = time.Time{}
	}
	close(w.ready)
}

// Len returns how many prompts wait.
func (q *PromptQueue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting.Len()
}

// Ready is closed once the prompt is admitted, or refused if Err returns an error.
func (w *WaitingPrompt) Ready() <-chan struct{} { return w.ready }

// MarkLate records that the prompt can't be answered in time any more.
func (w *WaitingPrompt) MarkLate(now time.Time) {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	if w.admitted || w.late || !w.Queued() {
		return
	}
	w.queue.remove(w)
	w.late = true
	w.queue.push(w)
	w.queue.admitNext(now)
}

// Done records that the prompt has been sent or withdrawn; it may be called again.
func (w *WaitingPrompt) Done(now time.Time) {
	q := w.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	q.remove(w)
	if q.sending == w {
		q.sending = nil
	}
	q.admitNext(now)
}

// GiveUp refuses the prompt if it is still waiting.
func (w *WaitingPrompt) GiveUp(now time.Time) {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	if w.Queued() {
		w.queue.refuse(w, RefusedOverload, max(w.queue.expectedWait(w, now), w.serviceWait(now)), now)
		w.queue.admitNext(now)
	}
}

// Err returns the refusal, nil for an admitted prompt; call it after Ready is closed.
func (w *WaitingPrompt) Err() error {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	if w.refused == nil {
		return nil
	}
	return w.refused
}

// Before reports whether the prompt goes before another: one in time before a late one,
// then by priority, 0 first, then by fairness and arrival.
func (w *WaitingPrompt) Before(o *WaitingPrompt) bool {
	switch {
	case w.late != o.late:
		return o.late
	case w.Priority != o.Priority:
		return w.Priority < o.Priority
	case w.startTag != o.startTag:
		return w.startTag < o.startTag
	default:
		return w.seq < o.seq
	}
}

// QueueStatus is the state of a PromptQueue as shown in dumps.
type QueueStatus struct {
	Waiting  int           `json:"waiting"`
	Late     int           `json:"late"` // Among those waiting.
	Interval time.Duration `json:"interval_ns"`
}

// Status returns the queue's length and its mean interval.
func (q *PromptQueue) Status() QueueStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := QueueStatus{Waiting: q.waiting.Len(), Interval: q.interval}
	for _, w := range q.waiting.Items() {
		if w.late {
			s.Late++
		}
	}
	return s
}
