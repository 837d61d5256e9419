package route

import "time"

const (
	// outlierConsecutiveFailures in a row have a replica ejected.
	outlierConsecutiveFailures = 3
	// outlierExcess is by how much a replica's share of failures must be over
	// the pool's for it to be ejected; a service may fail some requests itself.
	outlierExcess = 0.3
	// outlierMinOutcomes is how many outcomes there must be to speak of a share.
	outlierMinOutcomes = 8
	// outcomeWeight is the weight of the newest outcome in the shares.
	outcomeWeight = 0.12
)

// outlierState is what is remembered of a replica's outcomes.
type outlierState struct {
	consecutiveFailures int // Failures in a row.
	outcomes            int // Outcomes since it came back.
	ejectionTime        time.Duration
	ejectedUntil        time.Time
}

func (o *outlierState) ejected(now time.Time) bool { return now.Before(o.ejectedUntil) }

// recordOutcome takes in an outcome and ejects the replica if it is an outlier.
//
// A lost replica shows by failures in a row; one that fails some of its requests
// shows by its share against that of all replicas. No more than ejectShare of
// the pool is ejected at once, and at least one may be: beyond that, the fault
// is likely not theirs.
func (p *Pool) recordOutcome(m *member, o Outcome, now time.Time) {
	if o == OutcomeNeutral {
		return
	}
	failed := 0.0
	if o == OutcomeOK {
		p.consecutiveUnreachable = 0
	}
	if o == OutcomeFailed {
		failed = 1
		m.outlier.consecutiveFailures++
	} else {
		m.outlier.consecutiveFailures = 0
	}
	m.outlier.outcomes++
	m.failureRate += outcomeWeight * (failed - m.failureRate)
	p.meanFailureRate += outcomeWeight / float64(max(1, len(p.members))) * (failed - p.meanFailureRate)
	excess := m.outlier.outcomes >= outlierMinOutcomes && m.failureRate > p.meanFailureRate+outlierExcess
	if m.outlier.consecutiveFailures < outlierConsecutiveFailures && !excess {
		return
	}
	if failed == 0 || m.outlier.ejected(now) || !p.mayEject(now) {
		return
	}
	p.eject(m, now)
}

func (p *Pool) eject(m *member, now time.Time) {
	m.outlier.ejectionTime = min(maxEjection, max(firstEjection, 2*m.outlier.ejectionTime))
	m.outlier.ejectedUntil = now.Add(m.outlier.ejectionTime)
	m.outlier.consecutiveFailures = 0
	m.outlier.outcomes = 0
	m.failureRate = p.meanFailureRate
}

// RecordUnreachable records that a replica can't be reached, which one look suffices for. It says
// whether the other nodes are to hear of it.
func (p *Pool) RecordUnreachable(id string, now time.Time) (notifyPeers bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.byID[id]
	if !ok {
		return false
	}
	if !m.outlier.ejected(now) && p.mayEject(now) {
		p.eject(m, now)
	}
	return p.presumeRestarted(m, now)
}

func (p *Pool) mayEject(now time.Time) bool {
	if p.disabled.Ejection {
		return false
	}
	ejected := 1
	for _, m := range p.members {
		if m.outlier.ejected(now) {
			ejected++
		}
	}
	return ejected == 1 || float64(ejected) <= maxEjectedShare*float64(len(p.members))
}
