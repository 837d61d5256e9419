package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/site"
)

// Exclusion is why a replica may not be sent a request, whatever else is free.
type Exclusion string

// Exclusions, in the order in which they are looked at.
const (
	NotExcluded Exclusion = ""
	// ExcludedOutside: it is outside the regions in which the request may run.
	ExcludedOutside Exclusion = "outside_homes"
	// ExcludedEvacuated: its data hall is evacuated.
	ExcludedEvacuated Exclusion = "evacuated"
	// ExcludedDraining: it is about to end.
	ExcludedDraining Exclusion = "draining"
	// ExcludedBackoff: it has asked this node to send it nothing for a while.
	ExcludedBackoff Exclusion = "backoff"
	// ExcludedTried: it has failed the request already.
	ExcludedTried Exclusion = "tried"
	// ExcludedWeights: its weights are too old, or it serves another model.
	ExcludedWeights Exclusion = "weights"
	// ExcludedCold: it is cold, or taken to be, and this node's share of it is used up.
	ExcludedCold Exclusion = "cold"
	// ExcludedLimited: it has named a rate, and that is used up.
	ExcludedLimited Exclusion = "limited"
)

// backoffSpread is how much later than it asked a replica is sent requests again at most:
// many nodes may have been told the same time.
const backoffSpread = 250 * time.Millisecond

// exclusion says why a replica may not be sent a request, and what is known of the rate that
// it names if it may be. The caller holds mu.
func (p *Pool) exclusion(m *member, in *PickInput, now time.Time) (reason Exclusion, rate RateState) {
	if !in.mayRunIn(m.Region) {
		return ExcludedOutside, rate
	}
	if reason = m.memberExclusion(now); reason != NotExcluded {
		return reason, rate
	}
	switch {
	case slices.Contains(in.Exclude, m.ID):
		return ExcludedTried, rate
	case !m.serves(in):
		return ExcludedWeights, rate
	case !p.coldShareAllows(m, now):
		return ExcludedCold, rate
	}
	rate = p.rateState(m, now)
	if !rate.allows(in) {
		return ExcludedLimited, rate
	}
	return NotExcluded, rate
}

// memberExclusion says why a replica takes no request at all, if so; the caller holds mu.
func (m *member) memberExclusion(now time.Time) Exclusion {
	switch {
	case m.Evacuated:
		return ExcludedEvacuated
	case m.Draining:
		return ExcludedDraining
	case now.Before(m.backoffUntil):
		return ExcludedBackoff
	default:
		return NotExcluded
	}
}

// Excluded counts the replicas that take no request at all, by reason; nil if all do.
func (p *Pool) Excluded(now time.Time) (list map[Exclusion]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		if reason := m.memberExclusion(now); reason != NotExcluded {
			if list == nil {
				list = map[Exclusion]int{}
			}
			list[reason]++
		}
	}
	return list
}

// serves says whether a replica has weights that a request may run on, as far as is known.
func (m *member) serves(in *PickInput) bool {
	if in.Model == "" || len(m.Weights) == 0 {
		return true
	}
	version, serves := m.Weights[in.Model]
	return serves && version >= in.MinVersion
}

// BackOff has nothing sent to a start of a replica for a while, as it asked this node. Of several
// such times the last end counts, also where requests are served meanwhile.
func (p *Pool) BackOff(u *site.Upstream, d time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	start, until := u.StartKey(), now.Add(d)
	for old, end := range p.backoffs {
		if !now.Before(end) {
			delete(p.backoffs, old)
		}
	}
	if end, known := p.backoffs[start]; known && !until.After(end) {
		return
	}
	until = until.Add(time.Duration(p.rng.Int64N(int64(backoffSpread))))
	p.backoffs[start] = until
	if m, ok := p.byID[u.ID]; ok && m.startKey == start {
		m.backoffUntil = until
	}
}

// InBackoff says whether a replica has asked this node to send it nothing now.
func (p *Pool) InBackoff(id string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.byID[id]
	return ok && now.Before(m.backoffUntil)
}

// Accepts says whether a replica that was picked may still be sent its request: while a
// connection was made it may have been dropped, or have said that it drains.
func (p *Pool) Accepts(u *site.Upstream, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.byID[u.ID]
	return ok && m.Started.Equal(u.Started) && m.memberExclusion(now) == NotExcluded
}

// Availability is why no replica may take a request.
type Availability struct {
	// Excluded is how many replicas are left out, by reason.
	Excluded map[Exclusion]int
	// Eligible is how many may take it.
	Eligible int
	// RetryAfter is when to come back where some will take it after a known time, 0 where none will.
	RetryAfter time.Duration
}

// Availability finds out why no replica may take a request.
func (p *Pool) Availability(in *PickInput, now time.Time) (a Availability) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a.Excluded = map[Exclusion]int{}
	wait, known := time.Duration(0), false
	recordWait := func(d time.Duration) {
		if !known || d < wait {
			wait, known = d, true
		}
	}
	for _, m := range p.members {
		reason, rate := p.exclusion(m, in, now)
		if reason == NotExcluded {
			a.Eligible++
			continue
		}
		a.Excluded[reason]++
		switch reason {
		case ExcludedBackoff:
			recordWait(m.backoffUntil.Sub(now))
		case ExcludedCold:
			recordWait(min(coldWindow, p.coldWait(m, now)))
		case ExcludedLimited:
			recordWait(min(coldWindow, rate.Wait))
		}
	}
	if known {
		a.RetryAfter = max(minRetryAfter, wait) + rand.N(retryAfterSpread)
	}
	return a
}

const (
	// minRetryAfter and returnSpread bound when a request that no replica takes at the moment is
	// to come back, each at a time of its own.
	minRetryAfter    = 250 * time.Millisecond
	retryAfterSpread = 500 * time.Millisecond
)
