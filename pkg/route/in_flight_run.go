package route

import "time"

// Outcome is how a request ended, as seen by outlier ejection.
type Outcome int

// Outcomes of requests.
const (
	OutcomeOK Outcome = iota
	// OutcomeFailed counts against the replica.
	OutcomeFailed
	// OutcomeNeutral neither counts for nor against the replica, such as when the client
	// left.
	OutcomeNeutral
)

// InFlightRun is a request that this node has in flight at a model engine.
type InFlightRun struct {
	fleet          *Fleet
	replica        string
	startedAt      time.Time
	tokens         int
	firstTokenSeen bool
}

// FirstToken records that the first token has arrived.
func (run *InFlightRun) FirstToken() {
	run.fleet.mu.Lock()
	defer run.fleet.mu.Unlock()
	run.firstTokenSeen = true
}

// End records how the run ended. A replica that fails several times in a row is ejected
// for a growing time, unless too many replicas of its model already are.
func (run *InFlightRun) End(o Outcome, now time.Time) {
	run.fleet.mu.Lock()
	defer run.fleet.mu.Unlock()
	r, ok := run.fleet.replicas[run.replica]
	if !ok {
		return
	}
	delete(r.inFlight, run)
	switch o {
	case OutcomeOK:
		r.consecutiveFailures = 0
		r.ejectionTime = 0
		elapsed := now.Sub(run.startedAt)
		r.meanRunTime += time.Duration(runTimeWeight * float64(elapsed-r.meanRunTime))
	case OutcomeFailed:
		r.consecutiveFailures++
		if r.consecutiveFailures >= ejectAfterFailures && run.fleet.mayEject(r.Model, now) {
			r.ejectionTime = min(maxEjection, max(firstEjection, 2*r.ejectionTime))
			r.ejectedUntil = now.Add(r.ejectionTime)
			r.rampUpFrom = r.ejectedUntil
			r.consecutiveFailures = 0
		}
	case OutcomeNeutral:
	}
}
