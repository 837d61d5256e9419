package route

import (
	"slices"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/queue"
)

// PromptQueue is where a node's prompts wait until an engine has room for them.
//
// What waits inside an engine can't be ordered any more, what was prepared for it
// gives way before its run, and what is let in past an engine's memory has another
// prompt read again. So a prompt is sent only when an engine is expected to begin it
// soon, and waits here otherwise. Against a number of prompts inside that follows the
// median wait, worth rose from 0.698 to 0.723 (four days of four seeds, nine engines).
//
// Prompts that can still be answered in good time go before those that can't: under
// load a queue in order of arrival has all of them come late. Then the more urgent
// go first, then the organisation that has had the least (start-time fair queueing),
// then who came first. At its own node nobody is passed by: a large prompt that finds no
// room is not overtaken by smaller ones behind it.
//
// The lock is taken before that of a Pool, which QueueRequest.Fits looks into.
type PromptQueue struct {
	mu      sync.Mutex
	waiting queue.Heap[*WaitingPrompt]
	// virtual is the start tag of the last prompt let in, finish up to where each
	// organisation has had its part.
	virtual float64
	finish  map[string]float64
	seq     uint64
	// sending was let in and is not yet sent: until then the pool does not count it.
	sending *WaitingPrompt
	// interval is the mean time between prompts let in while others wait.
	interval time.Duration
	last     time.Time // When one was let in, zero if nobody has waited since.
}

const (
	// startInterval is the time between prompts let in that is assumed before any
	// was measured.
	startInterval = 20 * time.Millisecond
	// intervalWeight is the weight of the newest such time.
	intervalWeight = 0.1
	// finishMost bounds the organisations that are remembered.
	finishMost = 10_000
)

// QueueRequest is what a prompt asks of the queue.
type QueueRequest struct {
	Organisation string
	Cost         float64 // In tokens.
	Priority     int     // The lowest goes first.
	// Deadline is the time after which it is not worth being sent.
	Deadline time.Time
	// Fits says whether an engine is expected to begin it soon; late is as in
	// WaitingPrompt.MarkLate. It is called with the queue's lock held.
	Fits func(late bool, now time.Time) bool
}

// WaitingPrompt is a prompt's place in the queue.
type WaitingPrompt struct {
	queue.Position
	QueueRequest

	queue *PromptQueue
	ready chan struct{}
	late  bool
	tag   float64 // Of start-time fair queueing.
	seq   uint64
	in    bool
	// refused is set when the prompt is not expected to be let in in time.
	refused *RefusedError
}

// NewPromptQueue returns an empty queue.
func NewPromptQueue() *PromptQueue {
	return &PromptQueue{finish: map[string]float64{}, interval: startInterval}
}

// Enqueue queues a prompt; it may be let in at once. One that is not expected to be let
// in before its limit is refused with a *RefusedError.
func (q *PromptQueue) Enqueue(a QueueRequest, now time.Time) (*WaitingPrompt, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.seq++
	w := &WaitingPrompt{QueueRequest: a, queue: q, ready: make(chan struct{}), seq: q.seq}
	w.tag = max(q.virtual, q.finish[a.Organisation])
	if wait := q.expected(w, now); now.Add(wait).After(a.Deadline) {
		return nil, &RefusedError{Reason: RefusedOverload, RetryAfter: max(minRetry, wait)}
	}
	if len(q.finish) >= finishMost {
		clear(q.finish) // They begin anew, all alike.
	}
	q.finish[a.Organisation] = w.tag + a.Cost
	q.waiting.Push(w)
	q.step(now)
	return w, nil
}

// expected is how long a prompt would wait behind those that go before it.
func (q *PromptQueue) expected(w *WaitingPrompt, now time.Time) time.Duration {
	ahead := 0
	for _, o := range q.waiting.Items() {
		if o.Before(w) {
			ahead++
		}
	}
	return q.behind(ahead, now)
}

// behind is how long a prompt would wait behind some others: for each the time that
// has lately passed between two let in, and as long again as it has now taken since
// the last.
func (q *PromptQueue) behind(ahead int, now time.Time) time.Duration {
	wait := time.Duration(ahead) * q.interval
	if !q.last.IsZero() && ahead > 0 {
		wait += max(0, now.Sub(q.last)-q.interval)
	}
	return wait
}

// shed refuses those that are no longer expected to be let in before their limit, the
// first excepted: to wait any longer would be in vain.
func (q *PromptQueue) shed(now time.Time) {
	list := slices.SortedFunc(slices.Values(q.waiting.Items()), func(a, b *WaitingPrompt) int {
		if a.Before(b) {
			return -1
		}
		return 1
	})
	ahead := 0
	for _, w := range list {
		wait := q.behind(ahead, now)
		if ahead > 0 && now.Add(wait).After(w.Deadline) {
			q.refuse(w, wait)
			continue
		}
		ahead++
	}
}

func (q *PromptQueue) refuse(w *WaitingPrompt, wait time.Duration) {
	q.waiting.Remove(w)
	w.refused = &RefusedError{Reason: RefusedOverload, RetryAfter: max(minRetry, wait)}
	close(w.ready)
}

// Step lets in whom there is room for.
func (q *PromptQueue) Step(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.step(now)
}

func (q *PromptQueue) step(now time.Time) {
	if q.sending != nil || q.waiting.Len() == 0 {
		return
	}
	w := q.waiting.First()
	if !w.Fits(w.late, now) {
		if q.last.IsZero() {
			q.last = now
		}
		q.shed(now)
		return
	}
	q.waiting.Pop()
	q.virtual = max(q.virtual, w.tag)
	q.sending = w
	w.in = true
	if !q.last.IsZero() {
		q.interval += time.Duration(intervalWeight * float64(now.Sub(q.last)-q.interval))
	}
	q.last = now
	if q.waiting.Len() == 0 {
		q.last = time.Time{}
	}
	close(w.ready)
}

// Len is how many prompts wait.
func (q *PromptQueue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting.Len()
}

// Ready is closed once the prompt waits no longer: it is let in, unless Err says
// otherwise.
func (w *WaitingPrompt) Ready() <-chan struct{} { return w.ready }

// MarkLate notes that the prompt can't be answered in good time any more.
func (w *WaitingPrompt) MarkLate(now time.Time) {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	if w.in || w.late || !w.Queued() {
		return
	}
	w.queue.waiting.Remove(w)
	w.late = true
	w.queue.waiting.Push(w)
	w.queue.step(now)
}

// Done says that the prompt has been sent, or has left; it may be called again.
func (w *WaitingPrompt) Done(now time.Time) {
	q := w.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting.Remove(w)
	if q.sending == w {
		q.sending = nil
	}
	q.step(now)
}

// GiveUp refuses a prompt that has not been let in by now.
func (w *WaitingPrompt) GiveUp(now time.Time) {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	if w.Queued() {
		w.queue.refuse(w, w.queue.expected(w, now))
		w.queue.step(now)
	}
}

// Err is the refusal to answer with, nil if there is none; Ready must be closed.
func (w *WaitingPrompt) Err() error {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	if w.refused == nil {
		return nil
	}
	return w.refused
}

// Before says whether the prompt goes before another.
func (w *WaitingPrompt) Before(o *WaitingPrompt) bool {
	switch {
	case w.late != o.late:
		return o.late
	case w.Priority != o.Priority:
		return w.Priority < o.Priority
	case w.tag != o.tag:
		return w.tag < o.tag
	default:
		return w.seq < o.seq
	}
}

// QueueStatus is what a dump shows of a queue.
type QueueStatus struct {
	Waiting  int           `json:"waiting"`
	Late     int           `json:"late"` // Of those.
	Interval time.Duration `json:"interval_ns"`
}

// Status returns the queue's length.
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
