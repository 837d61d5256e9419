package soak

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
