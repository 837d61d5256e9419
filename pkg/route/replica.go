package route

import "time"

const (
	defaultPrefillRate = 10_000
	defaultSlots       = 8
	initialRunTime     = 500 * time.Millisecond
	runTimeWeight      = 0.1 // Weight of the newest run in the mean run time.

	ejectAfterFailures = 3 // Failures in a row after which a Fleet ejects an engine.
	firstEjection      = 2 * time.Second
	maxEjection        = 30 * time.Second
	// maxEjectedShare is the largest share of a model's or pool's replicas that may be
	// ejected at once; if more fail, the fault is probably not theirs.
	maxEjectedShare = 0.3

	// After an ejection ejectionRampUpMaxCost is added to the wait; it falls to 0 over
	// ejectionRampUpTerm.
	ejectionRampUpTerm    = 10 * time.Second
	ejectionRampUpMaxCost = 500 * time.Millisecond
)

// Replica identifies an engine that serves a model.
type Replica struct {
	Name     string
	DataHall string
	Model    string
}

// replicaState is what this node knows of one engine.
type replicaState struct {
	Replica
	report              Report
	inFlight            map[*InFlightRun]struct{} // Runs of this node.
	meanRunTime         time.Duration
	consecutiveFailures int
	ejectionTime        time.Duration
	ejectedUntil        time.Time
	rampUpFrom          time.Time // When the last ejection ends.
}

func newReplicaState(r Replica, now time.Time) *replicaState {
	return &replicaState{
		Replica:     r,
		inFlight:    map[*InFlightRun]struct{}{},
		meanRunTime: initialRunTime,
		report:      Report{Taken: now},
	}
}

func (r *replicaState) rate() float64 {
	if r.report.PrefillRate <= 0 {
		return defaultPrefillRate
	}
	return r.report.PrefillRate
}

func (r *replicaState) slots() int {
	if r.report.Slots <= 0 {
		return defaultSlots
	}
	return r.report.Slots
}

// ejected reports whether the replica is ejected.
func (r *replicaState) ejected(now time.Time) bool { return now.Before(r.ejectedUntil) }

// wait estimates how long a new request waits before its own prefill starts.
//
// A report is outdated when it arrives. The prefill queue in it is reduced by what the
// replica can process since it was taken, and this node's own runs that began since then
// are added; earlier ones are in the report.
func (r *replicaState) wait(now time.Time) time.Duration {
	elapsed := now.Sub(r.report.Taken)
	pending := max(0, float64(r.report.PrefillQueue)-elapsed.Seconds()*r.rate())
	occupied := r.report.Running + r.report.Queued
	for run := range r.inFlight {
		if run.startedAt.Before(r.report.Taken) {
			continue
		}
		occupied++
		if !run.firstTokenSeen {
			pending += float64(run.tokens)
		}
	}
	w := seconds(pending / r.rate())
	if excess := occupied + 1 - r.slots(); excess > 0 {
		w += time.Duration(excess) * r.meanRunTime / time.Duration(r.slots())
	}
	if sinceReturn := now.Sub(r.rampUpFrom); sinceReturn < ejectionRampUpTerm {
		w += time.Duration(float64(ejectionRampUpMaxCost) * (1 - sinceReturn.Seconds()/ejectionRampUpTerm.Seconds()))
	}
	return w
}

// prefill is how long it takes to prefill a number of tokens.
func (r *replicaState) prefill(tokens int) time.Duration { return seconds(float64(tokens) / r.rate()) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
