package route

import "time"

const (
	// outlierFailures in a row have a replica ejected.
	outlierFailures = 3
	// outlierExcess is by how much a replica's share of failures must be over
	// the pool's for it to be ejected; a service may fail some requests itself.
	outlierExcess = 0.3
	// outlierLeast is how many outcomes there must be to speak of a share.
	outlierLeast = 8
	// outlierMemory is the weight of the newest outcome in the shares.
	outlierMemory = 0.12
)

// outlier is what is remembered of a replica's outcomes.
type outlier struct {
	row      int // Failures in a row.
	seen     int // Outcomes since it came back.
	ejection time.Duration
	until    time.Time
}

func (o *outlier) ejected(now time.Time) bool { return now.Before(o.until) }

// note takes in an outcome and ejects the replica if it is an outlier.
//
// A lost replica shows by failures in a row; one that fails some of its requests
// shows by its share against that of all replicas. No more than ejectShare of
// the pool is ejected at once, and at least one may be: beyond that, the fault
// is likely not theirs.
func (p *Pool) note(m *member, o Outcome, now time.Time) {
	if o == OutcomeNeutral {
		return
	}
	failed := 0.0
	if o == OutcomeOK {
		p.lostInRow = 0
	}
	if o == OutcomeFailed {
		failed = 1
		m.outcome.row++
	} else {
		m.outcome.row = 0
	}
	m.outcome.seen++
	m.failing += outlierMemory * (failed - m.failing)
	p.failing += outlierMemory / float64(max(1, len(p.list))) * (failed - p.failing)
	excess := m.outcome.seen >= outlierLeast && m.failing > p.failing+outlierExcess
	if m.outcome.row < outlierFailures && !excess {
		return
	}
	if failed == 0 || m.outcome.ejected(now) || !p.mayEject(now) {
		return
	}
	p.eject(m, now)
}

func (p *Pool) eject(m *member, now time.Time) {
	m.outcome.ejection = min(ejectMost, max(ejectFirst, 2*m.outcome.ejection))
	m.outcome.until = now.Add(m.outcome.ejection)
	m.outcome.row = 0
	m.outcome.seen = 0
	m.failing = p.failing
}

// RecordUnreachable records that a replica can't be reached, which one look suffices for. It says
// whether the other nodes are to hear of it.
func (p *Pool) RecordUnreachable(id string, now time.Time) (tell bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.replicas[id]
	if !ok {
		return false
	}
	if !m.outcome.ejected(now) && p.mayEject(now) {
		p.eject(m, now)
	}
	return p.doubt(m, now)
}

func (p *Pool) mayEject(now time.Time) bool {
	if p.without.Ejection {
		return false
	}
	out := 1
	for _, m := range p.list {
		if m.outcome.ejected(now) {
			out++
		}
	}
	return out == 1 || float64(out) <= ejectShare*float64(len(p.list))
}
