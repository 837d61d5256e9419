package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// outcome is the result of a request as its client saw it.
type outcome struct {
	kind     string
	id       string
	node     *node
	sentAt   time.Time
	endedAt  time.Time
	status   int    // 0 without an answer.
	complete bool   // The answer has status 200 and was read to its end.
	takesUp  bool   // It takes up a stream.
	mismatch string // How the answer differs from the replica's, "" if it does not.
	affected bool   // A fault affected the node when the request ended.
}

// checker records what clients and replicas observed and checks it against the guarantees.
type checker struct {
	mu         sync.Mutex
	runs       map[string]int // How often replicas ran a request, by its ID.
	outcomes   []outcome
	violations []string
	// begun, takenUp and wentOn count resumable streams: those that brought an event, how often one was
	// taken up, and how often it went on.
	begun, takenUp, wentOn int
	mixed                  []string // Streams with events of several versions.
}

// maxViolations bounds the violations that are kept of one soak.
const maxViolations = 50

func newChecker() *checker { return &checker{runs: map[string]int{}} }

// addViolation records a violated guarantee, up to maxViolations.
func (c *checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// maxMixedStreams is how many streams of a run may hold events of several versions.
const maxMixedStreams = 2

// recordStream records what a client has of a stream after an attempt: takesUp is set if it had begun before,
// wentOn if the attempt brought events.
func (c *checker) recordStream(takesUp, wentOn bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !takesUp && wentOn:
		c.begun++
	case takesUp && wentOn:
		c.takenUp++
		c.wentOn++
	case takesUp:
		c.takenUp++
	}
}

// recordMixed records a stream with events of several versions.
func (c *checker) recordMixed(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mixed = append(c.mixed, fmt.Sprintf(format, args...))
}

// recordRun records that a replica has begun a request.
func (c *checker) recordRun(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
}

// recordOutcome records a request that has just ended. Later faults of its node do not excuse it.
func (c *checker) recordOutcome(o outcome) {
	o.affected = o.node.affectedAt(o.endedAt)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// summary counts the outcomes.
func (c *checker) summary() (r Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Begun, r.TakenUp, r.WentOn = c.begun, c.takenUp, c.wentOn
	for _, o := range c.outcomes {
		r.Sent++
		switch {
		case o.complete:
			r.Served++
		case saysNotRun(o.status):
			r.Refused++
		default:
			r.Failed++
		}
	}
	return r
}

// saysNotRun reports whether a status guarantees that the request has not run and will not.
func saysNotRun(status int) bool {
	return status == 503 || status == 429 || status == 408 || status == 421
}

// checkAll checks all outcomes; it is called after all requests have ended.
func (c *checker) checkAll() {
	c.mu.Lock()
	outcomes, mixed := c.outcomes, c.mixed
	c.mu.Unlock()
	if len(mixed) > maxMixedStreams {
		c.addViolation("%d streams have events of several versions: %s", len(mixed), strings.Join(mixed, "; "))
	}
	for _, o := range outcomes {
		c.checkOutcome(o)
	}
}

func (c *checker) checkOutcome(o outcome) {
	c.mu.Lock()
	runs := c.runs[o.id]
	c.mu.Unlock()
	took := o.endedAt.Sub(o.sentAt)
	undisturbed := !o.affected
	switch {
	case o.mismatch != "":
		c.addViolation("%s %s at %s: %s", o.kind, o.id, o.node.name, o.mismatch)
	case o.kind == kindOnce && runs > 1:
		c.addViolation("%s %s at %s ran %d times", o.kind, o.id, o.node.name, runs)
	case o.kind != kindSafe && saysNotRun(o.status) && runs > 0:
		c.addViolation("%s %s at %s was answered %d, but ran", o.kind, o.id, o.node.name, o.status)
	case o.status == http.StatusPreconditionFailed && o.takesUp:
	case o.status >= 400 && o.status < 500 && !saysNotRun(o.status):
		c.addViolation("%s %s at %s was denied: %d", o.kind, o.id, o.node.name, o.status)
	case o.status == 0 && runs > 0 && undisturbed && took < clientTimeout:
		c.addViolation("%s %s at %s ran and was cut without an answer after %s (told to stop meanwhile: %v)",
			o.kind, o.id, o.node.name, took, o.node.stoppedSince(o.sentAt.Add(-grace)))
	case took > clientTimeout+answerSlack && undisturbed:
		c.addViolation("%s %s at %s was held for %s", o.kind, o.id, o.node.name, took)
	}
}
