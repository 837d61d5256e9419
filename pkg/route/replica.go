package route

import "time"

const (
	defaultPrefillRate = 10_000
	defaultSlots       = 8
	defaultRunTime     = 500 * time.Millisecond
	runTimeWeight      = 0.1 // Of the newest run in the mean run time.

	ejectAfterFailures = 3
	firstEjection      = 2 * time.Second
	maxEjection        = 30 * time.Second
	// maxEjectedShare is the most of a model's replicas that may be ejected at once;
	// beyond it the fault is likely not theirs.
	maxEjectedShare = 0.3

	slowStartTerm    = 10 * time.Second
	slowStartMaxCost = 500 * time.Millisecond
)

// Replica names an engine that may take requests.
type Replica struct {
	Name     string
	DataHall string
	Model    string
}

// replicaState is what this node knows of one engine.
type replicaState struct {
	Replica
	report              Report
	inFlight            map[*InFlightRun]struct{} // Own runs in flight.
	meanRunTime         time.Duration
	consecutiveFailures int // In a row.
	ejectionTime        time.Duration
	ejectedUntil        time.Time // Ejected until.
	slowStartFrom       time.Time // Back in service since.
}

func newReplicaState(r Replica, now time.Time) *replicaState {
	return &replicaState{
		Replica:     r,
		inFlight:    map[*InFlightRun]struct{}{},
		meanRunTime: defaultRunTime,
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

// ejected says whether the replica is passed over.
func (r *replicaState) ejected(now time.Time) bool { return now.Before(r.ejectedUntil) }

// wait estimates how long a new request waits before its own prefill starts.
//
// A report is old when it comes, so its prefill queue is worked off at the
// replica's rate since it was taken, and this node's own runs begun since then
// are added; those begun before are in the report.
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
	if back := now.Sub(r.slowStartFrom); back < slowStartTerm {
		w += time.Duration(float64(slowStartMaxCost) * (1 - back.Seconds()/slowStartTerm.Seconds()))
	}
	return w
}

// prefill is how long so many tokens take to compute.
func (r *replicaState) prefill(tokens int) time.Duration { return seconds(float64(tokens) / r.rate()) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
