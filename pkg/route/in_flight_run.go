package route

import "time"

// Outcome is how a run ended, for outlier ejection.
type Outcome int

// Outcomes of runs.
const (
	OutcomeOK Outcome = iota
	// OutcomeFailed counts against the replica.
	OutcomeFailed
	// OutcomeNeutral says nothing of the replica, such as a caller who left.
	OutcomeNeutral
)

// InFlightRun is one of this node's own runs in flight.
type InFlightRun struct {
	fleet  *Fleet
	name   string
	begun  time.Time
	tokens int
	first  bool
}

// FirstToken records that the first token has come.
func (t *InFlightRun) FirstToken() {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	t.first = true
}

// End records how the run ended; a replica that fails several times in a row is
// passed over for a growing time, unless too many of its model are already.
func (t *InFlightRun) End(o Outcome, now time.Time) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	r, ok := t.fleet.replicas[t.name]
	if !ok {
		return
	}
	delete(r.tickets, t)
	switch o {
	case OutcomeOK:
		r.failures = 0
		r.ejection = 0
		took := now.Sub(t.begun)
		r.meanRun += time.Duration(runWeight * float64(took-r.meanRun))
	case OutcomeFailed:
		r.failures++
		if r.failures >= ejectFailures && t.fleet.ejectable(r.Model, now) {
			r.ejection = min(ejectMost, max(ejectFirst, 2*r.ejection))
			r.until = now.Add(r.ejection)
			r.slowFrom = r.until
			r.failures = 0
		}
	case OutcomeNeutral:
	}
}
