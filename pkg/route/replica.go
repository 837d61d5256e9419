package route

import "time"

const (
	defaultPrefillRate = 10_000
	defaultSlots       = 8
	defaultRun         = 500 * time.Millisecond
	runWeight          = 0.1 // Of the newest run in the mean run time.

	ejectFailures = 3
	ejectFirst    = 2 * time.Second
	ejectMost     = 30 * time.Second
	// ejectShare is the most of a model's replicas that may be ejected at once;
	// beyond it the fault is likely not theirs.
	ejectShare = 0.3

	slowStart        = 10 * time.Second
	slowStartPenalty = 500 * time.Millisecond
)

// Replica names an engine that may take requests.
type Replica struct {
	Name     string
	DataHall string
	Model    string
}

// replica is what this node knows of one engine.
type replica struct {
	Replica
	report   Report
	tickets  map[*InFlightRun]struct{} // Own runs in flight.
	meanRun  time.Duration
	failures int // In a row.
	ejection time.Duration
	until    time.Time // Ejected until.
	slowFrom time.Time // Back in service since.
}

func newReplica(r Replica, now time.Time) *replica {
	return &replica{
		Replica: r,
		tickets: map[*InFlightRun]struct{}{},
		meanRun: defaultRun,
		report:  Report{Taken: now},
	}
}

func (r *replica) rate() float64 {
	if r.report.PrefillRate <= 0 {
		return defaultPrefillRate
	}
	return r.report.PrefillRate
}

func (r *replica) slots() int {
	if r.report.Slots <= 0 {
		return defaultSlots
	}
	return r.report.Slots
}

// ejected says whether the replica is passed over.
func (r *replica) ejected(now time.Time) bool { return now.Before(r.until) }

// wait estimates how long a new request waits before its own prefill starts.
//
// A report is old when it comes, so its prefill queue is worked off at the
// replica's rate since it was taken, and this node's own runs begun since then
// are added; those begun before are in the report.
func (r *replica) wait(now time.Time) time.Duration {
	elapsed := now.Sub(r.report.Taken)
	pending := max(0, float64(r.report.PrefillQueue)-elapsed.Seconds()*r.rate())
	occupied := r.report.Running + r.report.Queued
	for t := range r.tickets {
		if t.begun.Before(r.report.Taken) {
			continue
		}
		occupied++
		if !t.first {
			pending += float64(t.tokens)
		}
	}
	w := seconds(pending / r.rate())
	if excess := occupied + 1 - r.slots(); excess > 0 {
		w += time.Duration(excess) * r.meanRun / time.Duration(r.slots())
	}
	if back := now.Sub(r.slowFrom); back < slowStart {
		w += time.Duration(float64(slowStartPenalty) * (1 - back.Seconds()/slowStart.Seconds()))
	}
	return w
}

// prefill is how long so many tokens take to compute.
func (r *replica) prefill(tokens int) time.Duration { return seconds(float64(tokens) / r.rate()) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
