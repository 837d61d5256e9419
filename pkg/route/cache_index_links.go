package route

import (
	"math"
	"time"
)

// keptLink is the link of a store or an engine from which kept state is fetched.
type keptLink struct {
	hall    string
	rate    float64 // Bytes a second.
	latency time.Duration
	own     Tally         // Of this node.
	busy    time.Time     // Until when the link is taken by moves asked for.
	late    time.Duration // By how much fetches come later than expected.
	lateAt  time.Time
}

// crossHall is how much longer moves take between data halls.
const crossHall = 2.0

// effective is how many bytes of the link's time a move takes.
func (l *keptLink) effective(bytes int64, hall string) int64 {
	if l.hall != hall {
		return int64(crossHall * float64(bytes))
	}
	return bytes
}

// occupy has a move wait behind those that were asked for before.
func (l *keptLink) occupy(bytes int64, now time.Time) {
	if l.busy.Before(now) {
		l.busy = now
	}
	l.busy = l.busy.Add(seconds(float64(bytes) / max(1, l.rate)))
}

// book has this node's own move take its time on the link.
func (l *keptLink) book(bytes int64, hall string, now time.Time) {
	bytes = l.effective(bytes, hall)
	l.own.Bytes += bytes
	l.occupy(bytes, now)
}

// fetchTime is how long a fetch from the link's end should take: behind those under
// way, and as much later as fetches from it have lately come.
func (l *keptLink) fetchTime(bytes int64, hall string, now time.Time) time.Duration {
	own := float64(l.effective(bytes, hall)) / max(1, l.rate)
	return max(0, l.busy.Sub(now)) + seconds(own) + l.latency + l.lateness(now)
}

// shift moves the link's end's lateness by a step for each fetch that came late over
// those that came early, or the other way round.
//
// How long a fetch took can't be told from the reading behind it. So the lateness
// follows the median: a few very late answers move it no further than others.
func (l *keptLink) shift(late int64, now time.Time) {
	for range min(late, fetchLateSteps) {
		late := l.lateness(now)
		l.late, l.lateAt = min(fetchLateMost, late+lateStep(late)), now
	}
	for range min(-late, fetchLateSteps) {
		late := l.lateness(now)
		l.late, l.lateAt = max(0, late-lateStep(late)), now
	}
}

func lateStep(late time.Duration) time.Duration { return max(fetchLateStep, late/fetchLateParts) }

const (
	// fetchLateStep and fetchLateParts say how far one answer moves a store's
	// lateness: a link that has become slow is noticed within some ten answers.
	fetchLateStep  = 8 * time.Millisecond
	fetchLateParts = 6
	fetchLateMost  = time.Second
	// fetchLateSteps bounds how far one word of another node moves it.
	fetchLateSteps = 30
)

// lateness is how much later than expected fetches from the link's end come.
func (l *keptLink) lateness(now time.Time) time.Duration {
	fade := math.Exp(-max(0, now.Sub(l.lateAt).Seconds()/latencyDecayTime.Seconds()))
	return time.Duration(fade * float64(l.late))
}
