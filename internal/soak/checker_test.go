package soak

import (
	"cmp"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

// A check of the soak that never fails would hide violations, so each gets one to report.
func TestCheckerReportsViolations(t *testing.T) {
	now := time.Now()
	healthy, faulty := &node{name: "calm"}, &node{name: "harmed", faultUntil: now.Add(time.Minute)}
	for name, c := range map[string]struct {
		runs      int
		o         outcome
		violation string // "" if no violation is expected.
	}{
		"served":                   {1, outcome{kind: kindOnce, node: healthy, status: 200, complete: true}, ""},
		"ran twice":                {2, outcome{kind: kindOnce, node: faulty, status: 200, complete: true}, "ran 2 times"},
		"may run twice":            {2, outcome{kind: kindSafe, node: healthy, status: 200, complete: true}, ""},
		"refused":                  {0, outcome{kind: kindOnce, node: healthy, status: 503}, ""},
		"refused but ran":          {1, outcome{kind: kindStream, node: faulty, status: 503}, "but ran"},
		"other answer":             {1, outcome{kind: kindSafe, node: faulty, status: 200, complete: true, mismatch: "not the replica's"}, "not the replica's"},
		"denied":                   {0, outcome{kind: kindSafe, node: faulty, status: 404}, "denied: 404"},
		"cut":                      {1, outcome{kind: kindOnce, node: healthy, endedAt: now.Add(time.Second)}, "cut without an answer"},
		"cut by a fault":           {1, outcome{kind: kindOnce, node: faulty, endedAt: now.Add(time.Second)}, ""},
		"not read before the end":  {0, outcome{kind: kindOnce, node: healthy, endedAt: now.Add(time.Second)}, ""},
		"held":                     {0, outcome{kind: kindSafe, node: healthy, status: 504, endedAt: now.Add(clientTimeout + answerSlack + time.Second)}, "was held"},
		"answered at the deadline": {0, outcome{kind: kindSafe, node: healthy, status: 504, endedAt: now.Add(clientTimeout)}, ""},
	} {
		checks := newChecker()
		c.o.id, c.o.sentAt = name, now
		if c.o.endedAt.IsZero() {
			c.o.endedAt = now
		}
		for range c.runs {
			checks.recordRun(name)
		}
		checks.recordOutcome(c.o)
		checks.checkAll()
		got := strings.Join(checks.violations, "; ")
		if c.violation == "" {
			assert.Equal(t, got, "", name)
		} else {
			assert.Assert(t, strings.Contains(got, c.violation), "%s: %q", name, got)
		}
	}
}

// Requests sent too late to a draining replica, or too many during a backoff, must be reported,
// and those within the allowed times, or of a node that was restarted, must not.
func TestRequestsAgainstDrainOrBackoffAreReported(t *testing.T) {
	n := &node{name: "n"}
	ask := func(r *replica, sent time.Time, refused bool) {
		q := &onplatform.Request{Header: http.Header{}}
		q.Header.Set(headerNode, n.name)
		q.Header.Set(headerSent, strconv.FormatInt(sent.UnixNano(), 10))
		r.checkRequest(q, refused)
	}
	violations := func(d time.Duration, do func(r *replica, start time.Time)) string {
		n.disruptedAt = time.Time{}
		r := &replica{checker: newChecker(), advice: map[*node]*advice{}, nodeByName: func(string) *node { return n }, Replica: &onplatform.Replica{ID: "r"}}
		r.backoff.Store(int64(d))
		do(r, time.Now())
		return strings.Join(r.checker.violations, "; ")
	}
	drained := func(after time.Duration) string {
		return violations(0, func(r *replica, start time.Time) {
			r.draining.Store(true)
			ask(r, start, false)
			ask(r, start.Add(after), false)
		})
	}
	assert.Equal(t, drained(maxDrainLag), "")
	assert.Assert(t, strings.Contains(drained(maxDrainLag+time.Second), "had said that it drains"))
	backedOff := func(requests int, after time.Duration, restarted bool) string {
		return violations(time.Minute, func(r *replica, start time.Time) {
			ask(r, start, true)
			if restarted {
				n.disruptedAt = time.Now()
			}
			for range requests {
				ask(r, start.Add(after), false)
			}
		})
	}
	assert.Equal(t, backedOff(9, maxBackoffLag/2, false), "")
	assert.Equal(t, backedOff(maxBackoffRequests, time.Second, false), "")
	assert.Equal(t, backedOff(9, time.Second, true), "")
	assert.Assert(t, strings.Contains(backedOff(maxBackoffRequests+1, time.Second, false), "within a backoff"))
}

// Prompts that begin too late must be reported, and those that the rules excuse must not. Each version is judged from
// its own naming.
func TestPromptsOnReplacedWeightsAreReported(t *testing.T) {
	start := time.Now().Add(-time.Hour)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	const beyond = weightsTerm + time.Millisecond
	for name, tc := range map[string]struct {
		n         *node
		weights   int64
		begun     time.Duration
		disrupted time.Duration // When a disruption of the store or a link ended, 0 for none.
		late      int
		excused   int
	}{
		"newest":                            {weights: 3, begun: time.Minute},
		"within the term":                   {weights: 1, begun: weightsTerm},
		"after the term":                    {weights: 1, begun: beyond, late: 1},
		"second version within its term":    {weights: 2, begun: beyond},
		"second version after its term":     {weights: 2, begun: 5*time.Second + beyond, late: 1},
		"sender had started":                {n: &node{disruptedAt: at(beyond - contactTime + time.Second)}, weights: 1, begun: beyond, excused: 1},
		"sender had started before that":    {n: &node{disruptedAt: at(beyond - contactTime - time.Second)}, weights: 1, begun: beyond, late: 1},
		"sender was told to stop":           {n: &node{stopSignalAt: at(beyond - time.Second)}, weights: 1, begun: beyond, excused: 1},
		"sender stood still":                {n: &node{faultUntil: at(beyond + time.Second)}, weights: 1, begun: beyond, excused: 1},
		"not calm for a term":               {weights: 1, begun: beyond, disrupted: time.Second},
		"calm for a term after disruptions": {weights: 1, begun: time.Second + contactTime + beyond, disrupted: time.Second, late: 1},
	} {
		c := &weightsCheck{}
		c.recordNaming(2, at(0))
		c.recordNaming(3, at(5*time.Second))
		if tc.disrupted > 0 {
			c.calmSince = at(tc.disrupted + contactTime)
		}
		c.recordPrompt("e", cmp.Or(tc.n, &node{}), tc.weights, at(tc.begun), at(tc.begun))
		assert.Equal(t, c.late, tc.late, name)
		assert.Equal(t, c.excused, tc.excused, name)
		assert.Equal(t, c.violation() != "", tc.late > 0, name)
	}
}

// While a disruption lasts nothing is judged, and when it ends the time in touch begins.
func TestTermOfWeightsCountsFromTheEndOfDisruptions(t *testing.T) {
	c := &weightsCheck{}
	c.recordNaming(2, time.Now().Add(-time.Minute))
	endFirst, endSecond := c.startDisruption(), c.startDisruption()
	endFirst()
	c.calmSince = time.Time{}
	c.recordPrompt("e", &node{}, 1, time.Now(), time.Now())
	assert.Equal(t, c.late, 0, "the second disruption goes on")
	endSecond()
	assert.Assert(t, time.Until(c.calmSince) > contactTime-time.Second)
	c.recordPrompt("e", &node{}, 1, time.Now(), c.calmSince.Add(weightsTerm+time.Second))
	assert.Equal(t, c.late, 1)
}

// Any fault of a node excused all requests that had ended before it, so few were checked.
func TestLaterFaultDoesNotExcuseARequest(t *testing.T) {
	n := &node{name: "n"}
	c := newChecker()
	c.recordRun("cut")
	now := time.Now()
	c.recordOutcome(outcome{kind: kindOnce, id: "cut", node: n, sentAt: now, endedAt: now.Add(time.Millisecond)})
	n.recordFault(time.Second)
	c.checkAll()
	assert.Equal(t, len(c.violations), 1)
}
