package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var startTime = time.Unix(1_000_000, 0)

// atMillis returns a time in milliseconds after startTime.
func atMillis(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }

func rateAt(rate float64, ms int) Rate { return Rate{PerSecond: rate, ObservedAt: atMillis(ms)} }

func endedAt(ms int) Rate { return Rate{Ended: true, ObservedAt: atMillis(ms)} }

// totalGranted sums the grants between two times with a request every 5 ms; -1 means that no
// grant was needed.
func totalGranted(l *Ledger, share float64, from, to int) (n int) {
	for ms := from; ms < to; ms += 5 {
		g, ok := l.Take("s", share, atMillis(ms))
		if !ok {
			return -1
		}
		n += g.Count
	}
	return n
}

func TestLedgerGrantsAtRate(t *testing.T) {
	for _, c := range []struct {
		rate, share float64
		least, most int // In 10 s.
	}{
		{0, 1, 2, 3}, // One in 4 s, so that a later rise is noticed.
		{0.25, 1, 2, 3},
		{1, 1, 9, 11},
		{1.7, 1, 16, 18},
		{6.5, 0.5, 31, 33},
		{60, 1, 590, 601},
		{5000, 1, 49_000, 50_001},
	} {
		l := NewLedger()
		assert.Equal(t, l.Observe("s", rateAt(c.rate, 0), atMillis(0)), ChangeSet)
		granted := totalGranted(l, c.share, 0, 10_000)
		assert.Assert(t, granted >= c.least && granted <= c.most, "%g a second, share %g: %d", c.rate, c.share, granted)
	}
}

// Unused tokens are kept for burstWindow only, so no large burst follows an idle time.
func TestUnusedRateIsNotGrantedLater(t *testing.T) {
	l := NewLedger()
	l.Observe("s", rateAt(8, 0), atMillis(0))
	assert.Equal(t, totalGranted(l, 1, 60_000, 60_005), 1)
	assert.Equal(t, totalGranted(l, 1, 60_005, 60_015), 2, "capacity: 250 ms at the rate, and one")
	assert.Equal(t, totalGranted(l, 1, 60_015, 60_100), 0)
	assert.Equal(t, l.Unused("s", atMillis(60_010)), 0.0)
	assert.Assert(t, l.Unused("s", atMillis(62_010)) > 14)
}

func TestOutdatedObservationIsIgnored(t *testing.T) {
	l := NewLedger()
	assert.Equal(t, l.Observe("s", endedAt(5), atMillis(5)), ChangeNone, "the end of an unknown limit")
	assert.Assert(t, l.Empty())
	assert.Equal(t, l.Observe("s", rateAt(2, 100), atMillis(100)), ChangeSet)
	assert.Equal(t, l.Observe("s", endedAt(99), atMillis(200)), ChangeNone, "an end older than the limit")
	assert.Equal(t, l.Observe("s", rateAt(3, 50), atMillis(200)), ChangeNone)
	assert.Equal(t, l.Observe("s", rateAt(2, 150), atMillis(200)), ChangeNone, "the same rate")
	assert.Equal(t, l.Observe("s", rateAt(3, 160), atMillis(200)), ChangeUpdated)
	assert.Equal(t, l.Observe("s", endedAt(170), atMillis(200)), ChangeEnded)
	assert.Equal(t, totalGranted(l, 1, 200, 205), -1, "no grant is needed")
	assert.Equal(t, l.Observe("s", rateAt(3, 165), atMillis(300)), ChangeNone, "a rate older than the end")
	assert.Equal(t, l.Observe("s", rateAt(3, 180), atMillis(300)), ChangeSet)
	assert.Equal(t, l.Count(), 1)
	l.Forget(atMillis(300).Add(idleTimeout + time.Second))
	assert.Assert(t, l.Empty())
}

// A lowered rate also lowers the capacity: tokens saved at the old rate are lost.
func TestLoweredRateDropsSavedTokens(t *testing.T) {
	l := NewLedger()
	l.Observe("s", rateAt(100, 0), atMillis(0))
	assert.Equal(t, totalGranted(l, 1, 1000, 1005), 2)
	assert.Equal(t, l.Observe("s", rateAt(0.5, 1010), atMillis(1010)), ChangeUpdated)
	granted := totalGranted(l, 1, 1010, 5010)
	assert.Assert(t, granted >= 2 && granted <= 3, "%d in 4 s", granted)
}
