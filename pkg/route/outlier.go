package route

import (
	"slices"
	"time"
)

const (
	// outlierConsecutiveFailures is the number of failures in a row after which a replica
	// is ejected.
	outlierConsecutiveFailures = 3
	// outlierExcess is by how much a replica's failure rate must exceed the pool's for it
	// to be ejected; a service may fail some requests by itself.
	outlierExcess = 0.3
	// outlierMinOutcomes is the least number of outcomes for a failure rate to count.
	outlierMinOutcomes = 8
	// outcomeWeight is the weight of the newest outcome in the failure rates.
	outcomeWeight = 0.12
)

// outlierState is the state of outlier ejection for one replica.
type outlierState struct {
	consecutiveFailures int
	outcomes            int // Outcomes since the last ejection.
	ejectionTime        time.Duration
	ejectedUntil        time.Time
	// goneAt is when a reachability check of this node last failed, zero for never.
	goneAt time.Time
	// awaitsContact is set from an ejection for silence, a report of another node, or an
	// unanswered request until a response or a connection has been seen. Until then the
	// replica gets requests only if there is no other, on new connections.
	awaitsContact bool
	// noticed is set once a node has notified the others that the replica is unreachable,
	// until this node has heard it.
	noticed bool
}

func (o *outlierState) ejected(now time.Time) bool { return now.Before(o.ejectedUntil) }

// gone reports whether a recent check found the replica unreachable.
func (o *outlierState) gone(now time.Time) bool {
	return !o.goneAt.IsZero() && now.Sub(o.goneAt) < GoneTerm
}

// recordHeard records that the replica can be reached.
func (o *outlierState) recordHeard() {
	o.goneAt, o.awaitsContact, o.noticed = time.Time{}, false, false
}

// recordOutcome records an outcome and ejects the replica if it is an outlier.
//
// A replica that is gone is detected by failures in a row, one that fails some of its
// requests by its failure rate compared with that of all replicas. At most maxEjectedShare
// of the pool is ejected at once, but always one may be: if more fail, the fault is
// probably not theirs.
func (p *Pool) recordOutcome(m *member, o Outcome, now time.Time) {
	if o == OutcomeNeutral {
		return
	}
	failed := 0.0
	if o == OutcomeOK {
		p.consecutiveUnreachable = 0
		m.outlier.recordHeard()
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
	p.ejected = append(p.ejected, m)
}

// RecordUnreachable records that a replica can't be reached. A single failed attempt is
// enough to eject it, if mayEject allows. It reports whether the other nodes must be
// notified.
func (p *Pool) RecordUnreachable(id string, now time.Time) (notifyPeers bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.byID[id]
	if !ok {
		return false
	}
	if !m.outlier.ejected(now) && p.mayEject(now) {
		p.eject(m, now)
		m.outlier.awaitsContact = !p.disabled.ReachabilityCheck
	}
	notifyPeers = p.presumeRestarted(m, now)
	if p.consecutiveUnreachable < localFaultThreshold {
		p.recordLoss(id, now)
	}
	return notifyPeers
}

// RecordGone records that a replica failed a reachability check of this node, which does
// not presume its own network to be at fault. The replica is ejected however many others
// are, until GoneTerm has passed and it has been reached. RecordGone reports whether the
// other nodes must be notified.
func (p *Pool) RecordGone(id string, now time.Time) (notifyPeers bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.byID[id]
	if !ok || p.disabled.Ejection {
		return false
	}
	m.outlier.goneAt = now
	m.outlier.awaitsContact = true
	if !slices.Contains(p.ejected, m) {
		p.ejected = append(p.ejected, m)
	}
	if until := now.Add(GoneTerm); until.After(m.outlier.ejectedUntil) {
		m.outlier.ejectedUntil = until
	}
	p.presumeCold(m, now)
	notifyPeers = !m.outlier.noticed
	m.outlier.noticed = true
	return notifyPeers
}

// RecordContact records that a connection to a replica was established after a silence.
func (p *Pool) RecordContact(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.byID[id]
	if !ok {
		return
	}
	if m.outlier.awaitsContact {
		m.outlier.ejectedUntil = now
	}
	m.outlier.recordHeard()
}

// RequireContact has a replica that another node reported unreachable, or that left a request
// unanswered, get no request before this node has connected to it.
func (p *Pool) RequireContact(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.byID[id]; ok && !p.disabled.ReachabilityCheck && !p.disabled.Ejection {
		m.outlier.awaitsContact = true
	}
}

// TrustAgain lets a replica be used as before its check: this node presumes its own network
// to be at fault.
func (p *Pool) TrustAgain(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.byID[id]; ok {
		m.outlier.recordHeard()
	}
}

// contactDue reports whether a replica is kept from requests only until this node has
// reached it again.
func (m *member) contactDue(now time.Time) bool {
	return m.outlier.awaitsContact && !m.passedOver(now)
}

// contactTerm bounds how long a replica is left out while a connection to it is being made.
const contactTerm = time.Second

// requestContact has the caller of a pick make a connection to a replica. Until its result
// is recorded the replica is not chosen.
func (p *Pool) requestContact(m *member, in *PickInput, now time.Time) {
	in.Contact = append(in.Contact, m.Upstream)
	m.outlier.ejectedUntil = now.Add(contactTerm)
}

// mayEject reports whether another replica may be ejected. Those that are known to be gone
// don't count.
func (p *Pool) mayEject(now time.Time) bool {
	if p.disabled.Ejection {
		return false
	}
	p.ejected = slices.DeleteFunc(p.ejected, func(m *member) bool { return m.removed() || !m.outlier.ejected(now) })
	ejected := 1
	for _, m := range p.ejected {
		if !m.outlier.gone(now) {
			ejected++
		}
	}
	return ejected == 1 || float64(ejected) <= maxEjectedShare*float64(len(p.members))
}
