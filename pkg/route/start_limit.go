package route

import "time"

const (
	// startWaitShare is the share of a route's target within which an engine must be
	// expected to start a prompt for it to be sent there.
	startWaitShare = 0.25
	// lateStartWaitShare is the same for a prompt that can no longer meet its target: it
	// must not delay prompts that can, also those of other nodes. The share grows to
	// maxLateStartWaitShare when the prompt must be sent at the latest, so that it is
	// served nevertheless.
	lateStartWaitShare    = 0.1
	maxLateStartWaitShare = 0.5
)

// StartLimits are the times that decide when a queued prompt is sent.
type StartLimits struct {
	Target time.Duration // The route's target.
	// LateAfter is when the answer can no longer meet the target if the prompt has not
	// been sent, and SendBy when it must be sent for its client to get an answer.
	LateAfter time.Time
	SendBy    time.Time
}

// MayStart reports whether a prompt is sent to a picked engine now rather than queued.
func (l *StartLimits) MayStart(c *Choice, late bool, now time.Time) bool {
	if c.NoRoom {
		return false
	}
	return c.Wait <= l.startWithin(late, now)
}

// startWithin is how soon an engine must be expected to start the prompt.
func (l *StartLimits) startWithin(late bool, now time.Time) time.Duration {
	share := startWaitShare
	if late {
		elapsed := float64(now.Sub(l.LateAfter)) / float64(max(1, l.SendBy.Sub(l.LateAfter)))
		share = lateStartWaitShare + elapsed*(maxLateStartWaitShare-lateStartWaitShare)
	}
	return time.Duration(share * float64(l.Target))
}

// BeginWithin is how soon a replica of the own hall must be expected to start the prompt for the
// prompt to stay there.
func (l *StartLimits) BeginWithin(late bool, now time.Time) time.Duration {
	return min(l.startWithin(late, now), BeginWithin(l.Target))
}

// BeginWithin is the same for a request with a latency target that is not late.
func BeginWithin(target time.Duration) time.Duration {
	return time.Duration(startWaitShare * float64(target))
}
