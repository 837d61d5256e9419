package soak

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

// Each check must be able to fail.
func TestBrokenPromisesAreFound(t *testing.T) {
	now := time.Now()
	calm, harmed := &node{name: "calm"}, &node{name: "harmed", harmed: now.Add(time.Minute)}
	for name, c := range map[string]struct {
		runs   int
		o      outcome
		broken string // "" if nothing is.
	}{
		"served":                   {1, outcome{kind: kindOnce, node: calm, status: 200, whole: true}, ""},
		"ran twice":                {2, outcome{kind: kindOnce, node: harmed, status: 200, whole: true}, "ran 2 times"},
		"may run twice":            {2, outcome{kind: kindSafe, node: calm, status: 200, whole: true}, ""},
		"refused":                  {0, outcome{kind: kindOnce, node: calm, status: 503}, ""},
		"refused but ran":          {1, outcome{kind: kindStream, node: harmed, status: 503}, "but ran"},
		"other answer":             {1, outcome{kind: kindSafe, node: harmed, status: 200, whole: true, wrong: "not the replica's"}, "not the replica's"},
		"denied":                   {0, outcome{kind: kindSafe, node: harmed, status: 404}, "denied: 404"},
		"cut":                      {1, outcome{kind: kindOnce, node: calm, ended: now.Add(time.Second)}, "cut without an answer"},
		"cut by a fault":           {1, outcome{kind: kindOnce, node: harmed, ended: now.Add(time.Second)}, ""},
		"not read before the end":  {0, outcome{kind: kindOnce, node: calm, ended: now.Add(time.Second)}, ""},
		"held":                     {0, outcome{kind: kindSafe, node: calm, status: 504, ended: now.Add(patience + answerSlack + time.Second)}, "was held"},
		"answered at the deadline": {0, outcome{kind: kindSafe, node: calm, status: 504, ended: now.Add(patience)}, ""},
	} {
		l := newLedger()
		c.o.id, c.o.sent = name, now
		if c.o.ended.IsZero() {
			c.o.ended = now
		}
		for range c.runs {
			l.run(name)
		}
		l.end(c.o)
		l.judge()
		got := strings.Join(l.broken, "; ")
		if c.broken == "" {
			assert.Equal(t, got, "", name)
		} else {
			assert.Assert(t, strings.Contains(got, c.broken), "%s: %q", name, got)
		}
	}
}

func TestBrokenPromisesToReplicasAreFound(t *testing.T) {
	n := &node{name: "n"}
	ask := func(r *replica, sent time.Time, refused bool) {
		q := &onplatform.Request{Header: http.Header{}}
		q.Header.Set(headerNode, n.name)
		q.Header.Set(headerSent, strconv.FormatInt(sent.UnixNano(), 10))
		r.hear(q, refused)
	}
	play := func(d time.Duration, do func(r *replica, begun time.Time)) string {
		n.struck = time.Time{}
		r := &replica{ledger: newLedger(), told: map[*node]*told{}, nodeOf: func(string) *node { return n }, Replica: &onplatform.Replica{ID: "r"}}
		r.backoff.Store(int64(d))
		do(r, time.Now())
		return strings.Join(r.ledger.broken, "; ")
	}
	drained := func(after time.Duration) string {
		return play(0, func(r *replica, begun time.Time) {
			r.drains.Store(true)
			ask(r, begun, false)
			ask(r, begun.Add(after), false)
		})
	}
	assert.Equal(t, drained(drainBound), "")
	assert.Assert(t, strings.Contains(drained(drainBound+time.Second), "had said that it drains"))
	backedOff := func(requests int, after time.Duration, restarted bool) string {
		return play(time.Minute, func(r *replica, begun time.Time) {
			ask(r, begun, true)
			if restarted {
				n.struck = time.Now()
			}
			for range requests {
				ask(r, begun.Add(after), false)
			}
		})
	}
	assert.Equal(t, backedOff(9, backoffLag/2, false), "")
	assert.Equal(t, backedOff(backoffMost, time.Second, false), "")
	assert.Equal(t, backedOff(9, time.Second, true), "")
	assert.Assert(t, strings.Contains(backedOff(backoffMost+1, time.Second, false), "within a backoff"))
}
