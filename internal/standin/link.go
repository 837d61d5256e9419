package standin

import (
	"context"
	"sync/atomic"
	"time"
)

// linkSlice is how long a transfer occupies a link before others get a turn.
const linkSlice = 5 * time.Millisecond

// link models a network link of limited rate that transfers share in time
// slices, by priority.
type link struct {
	semaphore   *semaphore
	rate        float64 // Bytes per second.
	rateFactor  func() float64
	queuedBytes atomic.Int64 // Bytes of imports that are still to be moved.
	movedBytes  atomic.Int64
	busyNanos   atomic.Int64
}

func newLink(rate float64, rateFactor func() float64) *link {
	return &link{semaphore: newSemaphore(1), rate: rate, rateFactor: rateFactor}
}

// move blocks for as long as the link needs for the bytes; it returns false if
// ctx ends first.
func (l *link) move(ctx context.Context, bytes int64, priority int) bool {
	remaining := bytes
	if priority >= priorityImport {
		l.queuedBytes.Add(bytes)
		defer func() { l.queuedBytes.Add(-remaining) }()
	}
	for remaining > 0 {
		if priority < priorityImport && l.queuedBytes.Load() > 0 {
			// Alternating with an import in progress would halve its rate.
			if !sleep(ctx, linkSlice) {
				return false
			}
			continue
		}
		if !l.semaphore.acquire(ctx, priority) {
			return false
		}
		rate := l.currentRate()
		part := min(remaining, max(1, int64(rate*linkSlice.Seconds())))
		start := time.Now()
		ok := sleep(ctx, time.Duration(float64(part)/rate*float64(time.Second)))
		l.busyNanos.Add(int64(time.Since(start)))
		// A sleep that overran counts for all bytes the link moves in that time.
		part = min(remaining, max(part, int64(rate*time.Since(start).Seconds())))
		l.semaphore.release()
		if !ok {
			return false
		}
		remaining -= part
		if priority >= priorityImport {
			l.queuedBytes.Add(-part)
		}
		l.movedBytes.Add(part)
	}
	return true
}

func (l *link) currentRate() float64 {
	if f := l.rateFactor(); f > 0 {
		return l.rate * f
	}
	return l.rate
}
