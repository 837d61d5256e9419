package gateway

import (
	"math/rand/v2"
	"time"
)

// callBackoff is when a call may be made next; after a failure the pause is random, and doubles up to a limit.
type callBackoff struct {
	least, most time.Duration // Bounds of the pause.
	next        time.Time
	pause       time.Duration
}

// recordFailure puts the next call off.
func (b *callBackoff) recordFailure(now time.Time) {
	b.pause = min(b.most, max(b.least, 2*b.pause))
	b.next = now.Add(b.pause/2 + rand.N(b.pause))
}

// reset has the next failure put calls off for the least pause, and sets when the next call may be made.
func (b *callBackoff) reset(next time.Time) { b.pause, b.next = 0, next }
