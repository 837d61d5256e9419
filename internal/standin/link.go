package standin

import (
	"context"
	"sync/atomic"
	"time"
)

// linkSlice is how long a transfer holds a link before others get a turn.
const linkSlice = 5 * time.Millisecond

// link is a connection of limited rate, shared in slices by priority.
type link struct {
	lane   *lane
	rate   float64 // Bytes a second.
	factor func() float64
	queue  atomic.Int64 // Bytes not yet moved that go before a new import.
	moved  atomic.Int64
	busy   atomic.Int64 // Nanoseconds.
}

func newLink(rate float64, factor func() float64) *link {
	return &link{lane: newLane(1), rate: rate, factor: factor}
}

// move takes as long as the bytes need; it returns false if ctx ends first.
func (l *link) move(ctx context.Context, bytes int64, priority int) bool {
	left := bytes
	if priority >= priorityImport {
		l.queue.Add(bytes)
		defer func() { l.queue.Add(-left) }()
	}
	for left > 0 {
		if priority < priorityImport && l.queue.Load() > 0 {
			// An import is under way; taking turns with it would halve its rate.
			if !sleep(ctx, linkSlice) {
				return false
			}
			continue
		}
		if !l.lane.enter(ctx, priority) {
			return false
		}
		rate := l.current()
		part := min(left, max(1, int64(rate*linkSlice.Seconds())))
		start := time.Now()
		ok := sleep(ctx, time.Duration(float64(part)/rate*float64(time.Second)))
		l.busy.Add(int64(time.Since(start)))
		// A sleep that was too long has moved more than its part.
		part = min(left, max(part, int64(rate*time.Since(start).Seconds())))
		l.lane.leave()
		if !ok {
			return false
		}
		left -= part
		if priority >= priorityImport {
			l.queue.Add(-part)
		}
		l.moved.Add(part)
	}
	return true
}

func (l *link) current() float64 {
	if f := l.factor(); f > 0 {
		return l.rate * f
	}
	return l.rate
}
