package route

import (
	"math"
	"time"
)

// fetchLink is the link of a store or an engine from which KV cache is fetched.
type fetchLink struct {
	hall             string
	rate             float64 // Bytes a second.
	latency          time.Duration
	tally            Tally         // Of this node's transfers.
	busyUntil        time.Time     // Expected end of the transfers requested so far.
	medianLateness   time.Duration // By how much fetches take longer than expected, as of medianLatenessAt.
	medianLatenessAt time.Time
}

// crossHallFactor is the factor by which transfers between data halls take longer.
const crossHallFactor = 2.0

// effectiveBytes is a transfer's size, scaled up if it goes between data halls.
func (l *fetchLink) effectiveBytes(bytes int64, hall string) int64 {
	if l.hall != hall {
		return int64(crossHallFactor * float64(bytes))
	}
	return bytes
}

// occupy adds the time of a transfer behind those requested before.
func (l *fetchLink) occupy(bytes int64, now time.Time) {
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(seconds(float64(bytes) / max(1, l.rate)))
}

// book occupies the link for one of this node's own transfers and adds it to the tally.
func (l *fetchLink) book(bytes int64, hall string, now time.Time) {
	bytes = l.effectiveBytes(bytes, hall)
	l.tally.Bytes += bytes
	l.occupy(bytes, now)
}

// fetchTime is how long a fetch over the link should take: the rest of the transfers
// under way, its own transfer and latency, and the recent lateness of fetches.
func (l *fetchLink) fetchTime(bytes int64, hall string, now time.Time) time.Duration {
	transfer := float64(l.effectiveBytes(bytes, hall)) / max(1, l.rate)
	return max(0, l.busyUntil.Sub(now)) + seconds(transfer) + l.latency + l.lateness(now)
}

// adjustLateness raises the lateness by a step for each late fetch in excess of early
// ones, or lowers it for each early fetch in excess of late ones.
//
// A fetch's own time can't be told apart from the prefill behind it. So the lateness
// follows the median: a few very late answers move it no further than others.
func (l *fetchLink) adjustLateness(lateFetches int64, now time.Time) {
	for range min(lateFetches, maxLatenessSteps) {
		lateness := l.lateness(now)
		l.medianLateness, l.medianLatenessAt = min(maxFetchLateness, lateness+latenessStep(lateness)), now
	}
	for range min(-lateFetches, maxLatenessSteps) {
		lateness := l.lateness(now)
		l.medianLateness, l.medianLatenessAt = max(0, lateness-latenessStep(lateness)), now
	}
}

func latenessStep(current time.Duration) time.Duration {
	return max(minLatenessStep, current/latenessStepDivisor)
}

const (
	// minLatenessStep and latenessStepDivisor set how far one answer moves the
	// lateness, so that a link that has become slow is noticed within some ten
	// answers.
	minLatenessStep     = 8 * time.Millisecond
	latenessStepDivisor = 6
	maxFetchLateness    = time.Second
	// maxLatenessSteps bounds how far one report of another node moves it.
	maxLatenessSteps = 30
)

// lateness is by how much fetches take longer than expected, decayed since the last one.
func (l *fetchLink) lateness(now time.Time) time.Duration {
	decay := math.Exp(-max(0, now.Sub(l.medianLatenessAt).Seconds()/latencyDecayTime.Seconds()))
	return time.Duration(decay * float64(l.medianLateness))
}
