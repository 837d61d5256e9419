package gateway

import (
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/drumpath/drumpath/pkg/locks"
)

// callerImpact counts what callers lose.
type callerImpact struct {
	mu             locks.Mutex
	streamsAborted map[string]int64 // By reason.
	// refusedAgain counts refusals of requests that had come before, by reason.
	refusedAgain map[string]int64
	// refusedWithFreeSlots counts refusals while half of the slots were free, by reason.
	refusedWithFreeSlots map[string]int64
	// refusedNotRun counts refusals by status, for statuses that guarantee that the request
	// has not run and never will.
	refusedNotRun map[string]int64
	// falseGuarantees counts refusals that were about to have such a status though the
	// request may have run.
	falseGuarantees int64
	deadlines       map[string]*usualDeadline // By route.
}

func newCallerImpact() *callerImpact {
	return &callerImpact{
		streamsAborted:       map[string]int64{},
		refusedAgain:         map[string]int64{},
		refusedWithFreeSlots: map[string]int64{},
		refusedNotRun:        map[string]int64{},
		deadlines:            map[string]*usualDeadline{},
	}
}

// guaranteesNotRun reports whether a refusal's status tells the client that the request has not
// run and never will.
func guaranteesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// countAbortedStream counts a stream that the node ended before its last event.
func (c *callerImpact) countAbortedStream(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streamsAborted[reason]++
}

// refusalImpact is what a refusal means to its caller.
type refusalImpact struct {
	retried          bool // The client has sent the request before.
	freeSlots, slots int  // Of the replicas that the service can use.
}

// freeSlotShare is the share of the slots from which on a refusal counts as one with free slots.
const freeSlotShare = 0.5

func (i *refusalImpact) hadFreeSlots() bool {
	return i.slots > 0 && float64(i.freeSlots) >= freeSlotShare*float64(i.slots)
}

// countRefusal counts a refusal.
func (c *callerImpact) countRefusal(f refusal, i refusalImpact) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i.retried {
		c.refusedAgain[f.reason]++
	}
	if guaranteesNotRun(f.status) {
		c.refusedNotRun[strconv.Itoa(f.status)]++
		if i.hadFreeSlots() {
			c.refusedWithFreeSlots[f.reason]++
		}
	}
}

func (c *callerImpact) countFalseGuarantee() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.falseGuarantees++
}

// callerImpactStatus is the exported form of callerImpact.
type callerImpactStatus struct {
	StreamsAborted       map[string]int64 `json:"streams_aborted"`
	RefusedAgain         map[string]int64 `json:"refused_again"`
	RefusedWithFreeSlots map[string]int64 `json:"refused_with_free_slots"`
	RefusedNotRun        map[string]int64 `json:"refused_not_run"`
	FalseGuarantees      int64            `json:"false_guarantees"`
}

func (c *callerImpact) status() callerImpactStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return callerImpactStatus{
		StreamsAborted:       maps.Clone(c.streamsAborted),
		RefusedAgain:         maps.Clone(c.refusedAgain),
		RefusedWithFreeSlots: maps.Clone(c.refusedWithFreeSlots),
		RefusedNotRun:        maps.Clone(c.refusedNotRun),
		FalseGuarantees:      c.falseGuarantees,
	}
}

// A client that sends a request again states the time that it has left, which is shorter each
// time. So a request with much less time than is usual on its route has come before.
const (
	// retriedShare is the share of the usual time below which a request has come before. A
	// client that is refused at once and returns after 0.25 s has 0.83 of 1.5 s left.
	retriedShare = 0.9
	// usualQuantile of the requests of a window have at most the usual time: most requests are
	// new, and a few with a longer time must not make all others look as if they came again.
	usualQuantile = 90
	// deadlineWindow is how long requests are collected for the usual time, and
	// minDeadlineSamples how many are needed at least.
	deadlineWindow     = 30 * time.Second
	minDeadlineSamples = 20
	// maxDeadlineMillis bounds what is recorded.
	maxDeadlineMillis = 600_000
)

// usualDeadline learns which time the clients of a route usually give their requests.
type usualDeadline struct {
	window    *hdrhistogram.Histogram // In milliseconds.
	startedAt time.Time
	usual     time.Duration // Of the last window, 0 if unknown.
}

// recordDeadline records the time that a client gives a request, 0 for none, and reports whether
// the request has probably come before.
func (c *callerImpact) recordDeadline(route string, timeout time.Duration, now time.Time) (retried bool) {
	if timeout <= 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.deadlines[route]
	if d == nil {
		d = &usualDeadline{window: hdrhistogram.New(1, maxDeadlineMillis, significantDigits), startedAt: now}
		c.deadlines[route] = d
	}
	full := d.window.TotalCount() >= minDeadlineSamples
	if full && (d.usual == 0 || now.Sub(d.startedAt) >= deadlineWindow) {
		d.usual = time.Duration(d.window.ValueAtQuantile(usualQuantile)) * time.Millisecond
		if now.Sub(d.startedAt) >= deadlineWindow {
			d.window.Reset()
			d.startedAt = now
		}
	}
	_ = d.window.RecordValue(min(maxDeadlineMillis, max(1, timeout.Milliseconds()))) // It is within the bounds.
	return float64(timeout) < retriedShare*float64(d.usual)
}

// checkGuarantee corrects a refusal that would guarantee that the request has not run though it
// may have, which no code should give.
func (x *exchange) checkGuarantee(f refusal) refusal {
	if x.mayHaveRun == 0 || !guaranteesNotRun(f.status) {
		return f
	}
	x.g.metrics.impact.countFalseGuarantee()
	x.g.log.Error("refusal would have guaranteed that a request had not run", "request", x.info.ID,
		"status", f.status, "reason", f.reason, "attempts", x.mayHaveRun)
	return refuse(http.StatusBadGateway, f.reason)
}

// refusalImpact finds out what a refusal means to its caller.
func (x *exchange) refusalImpact(now time.Time) (i refusalImpact) {
	i.retried = x.retried
	if x.pool != nil {
		i.freeSlots, i.slots = x.pool.FreeSlots(now)
	}
	return i
}
