package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var begun = time.Unix(1_000_000, 0)

// after is a time from the begin, in milliseconds.
func after(ms int) time.Time { return begun.Add(time.Duration(ms) * time.Millisecond) }

func named(rate float64, ms int) Rate { return Rate{PerSecond: rate, At: after(ms)} }

func ended(ms int) Rate { return Rate{Ended: true, At: after(ms)} }

// given is how many are given out between two times, asked for each 5 ms.
func given(l *Ledger, part float64, from, to int) (n int) {
	for ms := from; ms < to; ms += 5 {
		g, ok := l.Take("s", part, after(ms))
		if !ok {
			return -1
		}
		n += g.Count
	}
	return n
}

func TestLedgerGivesOutWhatIsNamed(t *testing.T) {
	for _, c := range []struct {
		rate, part  float64
		least, most int // In ten seconds.
	}{
		{0, 1, 2, 3}, // One in 4 s, so that it is noticed when it takes more.
		{0.25, 1, 2, 3},
		{1, 1, 9, 11},
		{1.7, 1, 16, 18},
		{6.5, 0.5, 31, 33},
		{60, 1, 590, 601},
		{5000, 1, 49_000, 50_001},
	} {
		l := NewLedger()
		assert.Equal(t, l.Observe("s", named(c.rate, 0), after(0)), ChangeBegun)
		n := given(l, c.part, 0, 10_000)
		assert.Assert(t, n >= c.least && n <= c.most, "%g a second, part %g: %d", c.rate, c.part, n)
	}
}

// What is not asked for is kept for a moment only: nobody gets many at once after a rest.
func TestWhatWasLeftUnusedIsNotGivenOutLater(t *testing.T) {
	l := NewLedger()
	l.Observe("s", named(8, 0), after(0))
	assert.Equal(t, given(l, 1, 60_000, 60_005), 1)
	assert.Equal(t, given(l, 1, 60_005, 60_015), 2, "a quarter of a second's, and one")
	assert.Equal(t, given(l, 1, 60_015, 60_100), 0)
	assert.Equal(t, l.Unused("s", after(60_010)), 0.0)
	assert.Assert(t, l.Unused("s", after(62_010)) > 14)
}

func TestOldNewsChangeNothing(t *testing.T) {
	l := NewLedger()
	assert.Equal(t, l.Observe("s", ended(5), after(5)), ChangeNone, "of what was never named")
	assert.Assert(t, l.Empty())
	assert.Equal(t, l.Observe("s", named(2, 100), after(100)), ChangeBegun)
	assert.Equal(t, l.Observe("s", ended(99), after(200)), ChangeNone, "an answer that was under way")
	assert.Equal(t, l.Observe("s", named(3, 50), after(200)), ChangeNone)
	assert.Equal(t, l.Observe("s", named(2, 150), after(200)), ChangeNone, "the same again")
	assert.Equal(t, l.Observe("s", named(3, 160), after(200)), ChangeRate)
	assert.Equal(t, l.Observe("s", ended(170), after(200)), ChangeEnded)
	assert.Equal(t, given(l, 1, 200, 205), -1, "no grant is needed")
	assert.Equal(t, l.Observe("s", named(3, 165), after(300)), ChangeNone, "late news of before")
	assert.Equal(t, l.Observe("s", named(3, 180), after(300)), ChangeBegun)
	assert.Equal(t, l.Count(), 1)
	l.Forget(after(300).Add(idleTerm + time.Second))
	assert.Assert(t, l.Empty())
}

// A rate that falls takes back what was free by the old one.
func TestRateThatFallsLeavesNoRest(t *testing.T) {
	l := NewLedger()
	l.Observe("s", named(100, 0), after(0))
	assert.Equal(t, given(l, 1, 1000, 1005), 2)
	assert.Equal(t, l.Observe("s", named(0.5, 1010), after(1010)), ChangeRate)
	n := given(l, 1, 1010, 5010)
	assert.Assert(t, n >= 2 && n <= 3, "%d in 4 s", n)
}
