package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

// A response that is not streamed is held in memory from when it is read until its client has
// taken it, and its client may be slow. So what all of them together may hold is bounded: before
// the node reads more of a response it reserves the memory, and until then the bytes stay at the
// replica.
//
// A response that holds memory must not wait for memory that others like it hold, as none of them
// would end. So only responses that hold nothing wait for ordinary room. One that has begun
// without a known length and finds no more room waits for the place of the one large response,
// which has room of its own: whoever has the place finishes without waiting for anyone else.
const (
	// responseMemoryShare is the share of the node's memory for responses. The room for one
	// large response is part of it, but at most half.
	responseMemoryShare = 0.2
	// uncountedResponse is the size in bytes up to which a response is not counted, that of a
	// connection's read buffer: the number of connections bounds these.
	uncountedResponse = upstreamBufferSize
)

// responseBudget bounds the memory that responses take up. Nil sets no bound.
type responseBudget struct {
	ordinary *bodyBudget
	large    *semaphore.Weighted // Of weight 1.

	held    atomic.Int64 // Bytes that responses hold, without uncounted ones.
	waiting atomic.Int64 // Responses that wait for memory.
	waits   atomic.Int64 // Waits since the start.
	cutOff  atomic.Int64 // Responses that a replica cut off while they waited.
}

// newResponseBudget returns the budget of a node with the given memory, nil if it is not limited.
func newResponseBudget(memory int64) *responseBudget {
	if memory <= 0 {
		return nil
	}
	size := int64(responseMemoryShare * float64(memory))
	return &responseBudget{
		ordinary: newSizedBudget(max(size/2, size-maxAnswerBytes)),
		large:    semaphore.NewWeighted(1),
	}
}

// hold returns the hold of a response to a request of an organisation, which has no memory yet.
func (b *responseBudget) hold(organisation string) *responseHold {
	return &responseHold{budget: b, organisation: organisation}
}

// responseHold is the memory that one response takes up. It is used by one goroutine.
type responseHold struct {
	budget       *responseBudget
	organisation string
	own          *organisationBudget // Nil before the first reservation.
	size         int64               // All bytes asked for.
	counted      int64               // Of those, the ones that count as held.
	reserved     int64               // Bytes of the ordinary room.
	large        bool                // It has the place of the large response.
	waited       time.Duration
}

// grow waits until the response may take n more bytes.
func (h *responseHold) grow(ctx context.Context, n int64) error {
	b := h.budget
	if b == nil || h.size+n <= uncountedResponse {
		h.size += n
		return nil
	}
	if h.own == nil {
		h.own = b.ordinary.join(h.organisation)
	}
	if !h.large && !h.tryReserve(n) {
		if err := h.waitFor(ctx, n); err != nil {
			return err
		}
	}
	h.size += n
	h.counted += n
	b.held.Add(n)
	return nil
}

func (h *responseHold) tryReserve(n int64) bool {
	if !h.own.TryAcquire(n) {
		return false
	}
	if !h.budget.ordinary.all.TryAcquire(n) {
		h.own.Release(n)
		return false
	}
	h.reserved += n
	return true
}

// waitFor waits for n bytes of the ordinary room, or for the place of the large response.
func (h *responseHold) waitFor(ctx context.Context, n int64) (err error) {
	b, start := h.budget, time.Now()
	b.waits.Add(1)
	b.waiting.Add(1)
	defer func() {
		b.waiting.Add(-1)
		h.waited += time.Since(start)
	}()
	if h.reserved > 0 || n > b.ordinary.organisation {
		if err = b.large.Acquire(ctx, 1); err == nil {
			h.large = true
		}
		return err
	}
	if err = h.own.Acquire(ctx, n); err != nil {
		return err
	}
	if err = b.ordinary.all.Acquire(ctx, n); err != nil {
		h.own.Release(n)
		return err
	}
	h.reserved = n
	return nil
}

// release gives the memory back. Further calls do nothing.
func (h *responseHold) release() {
	b := h.budget
	if b == nil || h.own == nil {
		return
	}
	b.ordinary.all.Release(h.reserved)
	h.own.Release(h.reserved)
	if h.large {
		b.large.Release(1)
	}
	b.ordinary.leave(h.organisation, h.own)
	b.held.Add(-h.counted)
	h.own, h.size, h.counted, h.reserved, h.large = nil, 0, 0, 0, false
}

// responseMemoryStatus is the exported state of a responseBudget.
type responseMemoryStatus struct {
	Held    int64 `json:"held_bytes"`
	Waiting int64 `json:"waiting"`
	Waits   int64 `json:"waits"`
	CutOff  int64 `json:"cut_off"`
}

func (b *responseBudget) status() (s responseMemoryStatus) {
	if b == nil {
		return s
	}
	return responseMemoryStatus{Held: b.held.Load(), Waiting: b.waiting.Load(), Waits: b.waits.Load(), CutOff: b.cutOff.Load()}
}
