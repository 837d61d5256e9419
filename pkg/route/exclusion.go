package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/site"
)

// Exclusion is the reason why a replica must not be sent a request.
type Exclusion string

// Exclusions, in the order in which they are checked.
const (
	NotExcluded Exclusion = ""
	// ExcludedOutside: it is outside the regions in which the request may run.
	ExcludedOutside Exclusion = "outside_homes"
	// ExcludedEvacuated: its data hall is evacuated.
	ExcludedEvacuated Exclusion = "evacuated"
	// ExcludedDraining: it is draining.
	ExcludedDraining Exclusion = "draining"
	// ExcludedBackoff: it has asked this node to send nothing for a while.
	ExcludedBackoff Exclusion = "backoff"
	// ExcludedTried: the request has already failed there.
	ExcludedTried Exclusion = "tried"
	// ExcludedWeights: its weights are too old, or will be when it begins the prompt, or it
	// serves another model.
	ExcludedWeights Exclusion = "weights"
	// ExcludedSoftware: it has another version of its software than the request may run on.
	ExcludedSoftware Exclusion = "software"
	// ExcludedBytes: this node's share of the bytes of requests that it may hold is used up.
	ExcludedBytes Exclusion = "request_bytes"
	// ExcludedBrittle: it is brittle, and this node's share of its slots is used up.
	ExcludedBrittle Exclusion = "brittle"
	// ExcludedCold: it is cold or presumed to be, and this node's share of it is used up.
	ExcludedCold Exclusion = "cold"
	// ExcludedLimited: it has set a rate limit, which is used up.
	ExcludedLimited Exclusion = "limited"
)

// backoffSpread is the largest random delay that is added to a backoff, as many nodes may
// have been given the same one.
const backoffSpread = 250 * time.Millisecond

// exclusion returns why a replica must not be sent a request, or NotExcluded and what is
// known of its rate limit. The caller holds mu.
func (p *Pool) exclusion(m *member, in *PickInput, now time.Time) (reason Exclusion, rate RateState) {
	if !in.mayRunIn(m.Region) {
		return ExcludedOutside, rate
	}
	if reason = m.generalExclusion(now); reason != NotExcluded {
		return reason, rate
	}
	switch {
	case slices.Contains(in.Exclude, m.ID):
		return ExcludedTried, rate
	case !m.serves(in), !p.beginsOnUsableWeights(m, in, now):
		return ExcludedWeights, rate
	case !in.allowsSoftware(m.Software):
		return ExcludedSoftware, rate
	case !p.hasRoomForBytes(m, m.sentBytes, in.Bytes):
		return ExcludedBytes, rate
	case !p.hasSlotShare(m, len(m.inFlight), now):
		return ExcludedBrittle, rate
	case !p.coldShareAllows(m, now):
		return ExcludedCold, rate
	}
	rate = p.rateState(m, now)
	if !rate.allows(in) {
		return ExcludedLimited, rate
	}
	return NotExcluded, rate
}

// generalExclusion returns why a replica accepts no request at all, or NotExcluded; the
// caller holds mu.
func (m *member) generalExclusion(now time.Time) Exclusion {
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

// Excluded counts the replicas that accept no request at all, by reason; nil if there are
// none.
func (p *Pool) Excluded(now time.Time) (list map[Exclusion]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		if reason := m.generalExclusion(now); reason != NotExcluded {
			if list == nil {
				list = map[Exclusion]int{}
			}
			list[reason]++
		}
	}
	return list
}

// serves reports whether a replica has weights that a request may run on. It is true if
// the replica's weights are unknown.
func (m *member) serves(in *PickInput) bool {
	if in.Model == "" || len(m.Weights) == 0 {
		return true
	}
	version, serves := m.Weights[in.Model]
	return serves && version >= in.MinVersion
}

// beginsOnUsableWeights reports whether a replica with older weights is expected to begin a prompt
// while these may be used. The caller holds mu.
func (p *Pool) beginsOnUsableWeights(m *member, in *PickInput, now time.Time) bool {
	version := m.Weights[in.Model]
	if version == 0 || version >= in.NewestVersion {
		return true
	}
	by := in.beginBy(version)
	return by.IsZero() || p.promptQueueSeconds(m, in, now) <= by.Sub(now).Seconds()
}

// BackOff stops this node's requests to one start of a replica for a while, at its request.
// If it asks several times the latest end applies, even if it has served requests in
// between.
func (p *Pool) BackOff(u *site.Upstream, duration time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	start, until := u.StartKey(), now.Add(duration)
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

// InBackoff reports whether a replica has asked this node to send it nothing now.
func (p *Pool) InBackoff(id string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.byID[id]
	return ok && now.Before(m.backoffUntil)
}

// AnyInBackoff reports whether any replica, listed or not, has asked this node to send it
// nothing now.
func (p *Pool) AnyInBackoff(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, end := range p.backoffs {
		if now.Before(end) {
			return true
		}
	}
	return false
}

// Accepts reports whether a picked replica may still be sent its request. It may have been
// removed or have begun to drain while the connection was made.
func (p *Pool) Accepts(u *site.Upstream, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.byID[u.ID]
	return ok && m.Started.Equal(u.Started) && m.generalExclusion(now) == NotExcluded
}

// Availability is the result of Pool.Availability.
type Availability struct {
	// Excluded is the number of excluded replicas, by reason.
	Excluded map[Exclusion]int
	// Eligible is the number of replicas that may take it.
	Eligible int
	// RetryAfter is the delay after which some replica will take the request, 0 if none is
	// known to.
	RetryAfter time.Duration
}

// Availability returns why replicas are excluded for a request that none may take, and
// when to retry it.
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
		case ExcludedBytes, ExcludedBrittle:
			recordWait(0) // Unknown: until another request has ended.
		case ExcludedBackoff:
			recordWait(m.backoffUntil.Sub(now))
		case ExcludedCold:
			recordWait(min(coldWindow, p.coldWait(m, now)))
		case ExcludedLimited:
			recordWait(min(coldWindow, rate.Wait))
		}
	}
	if known {
		a.RetryAfter = max(minUnavailableRetryAfter, wait) + rand.N(retryAfterSpread)
	}
	return a
}

const (
	// minUnavailableRetryAfter is the least delay after which a request that no replica
	// takes now should be retried, and retryAfterSpread the largest random addition to the
	// delay.
	minUnavailableRetryAfter = 250 * time.Millisecond
	retryAfterSpread         = 500 * time.Millisecond
)
