package route

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// testCapacity is how many prompts fit at the engines, as set by a test.
type testCapacity struct{ free int }

func (r *testCapacity) request(priority int, deadline time.Time) QueueRequest {
	return QueueRequest{Cost: 1000, Priority: priority, Deadline: deadline, Fits: func(bool, time.Time) bool { return r.free > 0 }}
}

func promptAdmitted(w *WaitingPrompt) bool {
	select {
	case <-w.Ready():
		return w.Err() == nil
	default:
		return false
	}
}

// markSent records that an admitted prompt was sent and takes up capacity.
func (r *testCapacity) markSent(w *WaitingPrompt, now time.Time) {
	r.free--
	w.Done(now)
}

// A prompt is admitted only while there is room, each is admitted or refused once, and
// none is forgotten.
func TestPromptQueueStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, r, now := NewPromptQueue(), &testCapacity{free: 3}, testNow
		var open []*WaitingPrompt
		settle := func() {
			for progress := true; progress; {
				progress = false
				for i, w := range open {
					select {
					case <-w.Ready():
						if w.Err() == nil {
							assert.Assert(t, r.free > 0, "admitted without room")
							r.free--
						}
						w.Done(now)
						open = append(open[:i:i], open[i+1:]...)
						progress = true
					default:
						continue
					}
					break
				}
			}
			assert.Equal(t, q.Len(), len(open))
			assert.Assert(t, len(open) == 0 || r.free == 0, "there is room and prompts wait, but none is admitted")
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0, 1:
				deadline := now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "limit")) * time.Millisecond)
				request := r.request(rapid.IntRange(0, 3).Draw(t, "priority"), deadline)
				request.Organisation = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "organisation")
				if w, err := q.Enqueue(request, now); err == nil {
					open = append(open, w)
				}
			case 2:
				r.free++
				q.Step(now)
			case 3:
				if len(open) > 0 {
					open[rapid.IntRange(0, len(open)-1).Draw(t, "late")].MarkLate(now)
				}
			case 4:
				if len(open) > 0 {
					open[rapid.IntRange(0, len(open)-1).Draw(t, "gives up")].GiveUp(now)
				}
			case 5:
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(t, "leaves")
					open[i].Done(now)
					open[i].Done(now)
					open = append(open[:i:i], open[i+1:]...)
				}
			}
			settle()
		}
	})
}

// Prompts that can still be in time go first, then the more urgent ones, then those of
// the organisation that has been served least.
func TestPromptQueueOrder(t *testing.T) {
	q, r, now := NewPromptQueue(), &testCapacity{}, testNow
	deadline := now.Add(time.Minute)
	enqueue := func(priority int, organisation string) *WaitingPrompt {
		request := r.request(priority, deadline)
		request.Organisation = organisation
		w, err := q.Enqueue(request, now)
		assert.NilError(t, err)
		return w
	}
	late := enqueue(0, "a")
	second, third := enqueue(1, "a"), enqueue(1, "a")
	other := enqueue(1, "b")
	urgent := enqueue(0, "a")
	late.MarkLate(now)
	for i, w := range []*WaitingPrompt{urgent, other, second, third, late} {
		r.free = 1
		q.Step(now)
		assert.Assert(t, promptAdmitted(w), "number %d", i)
		r.markSent(w, now)
	}
}

// An admitted prompt takes up capacity only once it is sent. Until then no other may be
// admitted, or both would be sent to the same free slot.
func TestPromptsAreAdmittedOneAtATime(t *testing.T) {
	q, r, now := NewPromptQueue(), &testCapacity{}, testNow
	var list []*WaitingPrompt
	for range 2 {
		w, err := q.Enqueue(r.request(0, now.Add(time.Minute)), now)
		assert.NilError(t, err)
		list = append(list, w)
	}
	r.free = 1
	q.Step(now)
	q.Step(now)
	assert.Assert(t, promptAdmitted(list[0]) && !promptAdmitted(list[1]))
	r.markSent(list[0], now)
	assert.Assert(t, !promptAdmitted(list[1]))
	r.free = 1
	q.Step(now)
	assert.Assert(t, promptAdmitted(list[1]))
}

// If engines begin no prompts any more, waiting prompts are refused with a retry time well
// before their deadlines, and new ones at once.
func TestPromptsThatWouldMissTheirDeadlineAreRefused(t *testing.T) {
	q, r, now := NewPromptQueue(), &testCapacity{}, testNow
	deadline := now.Add(4 * time.Second)
	var list []*WaitingPrompt
	for range 5 {
		w, err := q.Enqueue(r.request(0, deadline), now)
		assert.NilError(t, err)
		list = append(list, w)
	}
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		q.Step(now)
	}
	refused := 0
	for _, w := range list {
		select {
		case <-w.Ready():
			refused++
			var err *RefusedError
			assert.Assert(t, errors.As(w.Err(), &err))
			assert.Assert(t, err.RetryAfter >= minRetryAfter)
		default:
		}
	}
	assert.Assert(t, refused >= 3, "%d refused after half of their time", refused)
	_, err := q.Enqueue(r.request(0, now.Add(time.Second)), now)
	var refusal *RefusedError
	assert.Assert(t, errors.As(err, &refusal))
}

// The admission interval is measured, so that a long queue that moves fast enough accepts
// prompts.
func TestMovingQueueAcceptsPrompts(t *testing.T) {
	q, r, now := NewPromptQueue(), &testCapacity{}, testNow
	var waiting []*WaitingPrompt
	for i := range 200 {
		now = now.Add(10 * time.Millisecond)
		request := r.request(0, now.Add(time.Second))
		request.Organisation = fmt.Sprint(i % 3)
		w, err := q.Enqueue(request, now)
		assert.NilError(t, err, "prompt %d", i)
		waiting = append(waiting, w)
		if i < 20 {
			continue // A queue of 20 builds up, which takes 200 ms to get through.
		}
		r.free = 1
		q.Step(now)
		for j, w := range waiting {
			if promptAdmitted(w) {
				r.markSent(w, now)
				waiting = append(waiting[:j:j], waiting[j+1:]...)
				break
			}
		}
	}
	assert.Equal(t, len(waiting), 20)
}
