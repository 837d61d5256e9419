package suspect

import (
	"math"
	"slices"
	"time"
)

// An end accuses all that was in flight at the replica, and blocking one cause explains it. So the ends of a blocked part
// don't count against others, and the parts with the strongest evidence are blocked first: sound ones that are in
// flight beside it, such as a common first part, have finishes or are missing from some of the ends.
//
// Parts that no evidence tells apart are blocked together, as a group. A request that has only some parts of a group runs
// once at a time, until one of its runs finishes, or ends its replica.

// scoreTolerance is the difference up to which scores count as equal.
const scoreTolerance = 0.01

// Decide blocks the parts of a service that are to be blocked on the evidence, and releases those whose ends others
// explain. It returns the cases that have changed. It needs the evidence about all causes that were in flight where
// replicas of the service ended. Nodes must have been asked for finishes before; unasked means that there are parts for
// which they have to be asked.
func (r *Register) Decide(service string, now time.Time) (changed []Case, unasked bool) {
	if r.Empty() {
		return nil, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		changed = append(changed, r.releaseExplained(service)...)
		group := r.strongest(service)
		if len(group) == 0 || slices.ContainsFunc(group, func(e *entry) bool { return !e.answered(now) }) {
			return changed, len(r.unasked(service, now)) > 0
		}
		for _, e := range group {
			e.Decisions++
			changed = append(changed, e.copy())
			r.setBlocked(e)
		}
		for _, e := range group {
			r.explain(e)
		}
	}
}

// openScore is the score of a part that is not blocked, over the ends that no blocked part explains.
func (r *Register) openScore(e *entry) float64 {
	return e.scoreOf(e.endsWithout(func(replica string) bool {
		_, explained := r.explained[replica]
		return explained
	}))
}

// endsWithout returns the ends but for those of some replicas.
func (c *Case) endsWithout(excluded func(replica string) bool) []ReplicaEnd {
	if !slices.ContainsFunc(c.Ends, func(e ReplicaEnd) bool { return excluded(e.Replica) }) {
		return c.Ends
	}
	return slices.DeleteFunc(slices.Clone(c.Ends), func(e ReplicaEnd) bool { return excluded(e.Replica) })
}

// isOpenPart reports whether the cause is a part of a service that is not blocked.
func (e *entry) isOpenPart(service string) bool {
	return e.Kind == KindPart && e.Service == service && e.Verdict() != Blocked
}

// strongest returns the part to block next, with those that the evidence does not tell from it.
func (r *Register) strongest(service string) (group []*entry) {
	best := math.Inf(-1)
	for _, e := range r.entries {
		if !e.isOpenPart(service) || !e.mayReach(blockScore) {
			continue
		}
		s := r.openScore(e)
		switch {
		case s < blockScore || s < r.threshold(e) || s < best-scoreTolerance || r.explainedByRequest(e):
			continue
		case s > best+scoreTolerance:
			best, group = s, nil
		}
		group = append(group, e)
	}
	if len(group) == 0 {
		return nil
	}
	// Parts with equal scores and different ends are blocked one after the other.
	first := slices.MinFunc(group, func(a, b *entry) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return slices.DeleteFunc(group, func(e *entry) bool { return !first.sameReplicas(&e.Case) })
}

// explainedByRequest reports whether a blocked request was in flight at all replicas that ended under a part.
func (r *Register) explainedByRequest(part *entry) bool {
	for _, e := range r.entries {
		if e.Kind == KindRequest && len(e.Ends) >= len(part.Ends) && e.Verdict() == Blocked && e.covers(&part.Case) {
			return true
		}
	}
	return false
}

// covers reports whether all replicas that ended under another cause ended under this one.
func (c *Case) covers(other *Case) bool {
	return !slices.ContainsFunc(other.Ends, func(e ReplicaEnd) bool { return !c.hasEnd(e.Replica) })
}

// sameReplicas reports whether the same replicas ended under two causes.
func (c *Case) sameReplicas(other *Case) bool { return c.covers(other) && other.covers(c) }

// explain remembers the ends that a blocked part explains, and removes them from the evidence about requests.
func (r *Register) explain(part *entry) {
	for _, end := range part.Ends {
		r.explained[end.Replica] = end.EndedAt
	}
	for _, e := range r.entries {
		if e.Kind == KindRequest {
			e.removeEnds(part.hasEnd)
		}
	}
}

// releaseExplained releases the blocked parts of a service whose ends other blocked parts explain, against which the
// evidence is sufficient without them. A sound part may have been in flight wherever one of two others ended replicas,
// before any of its runs was finished.
func (r *Register) releaseExplained(service string) (released []Case) {
	for _, e := range r.blockedParts {
		if e.Service != service {
			continue
		}
		left := e.endsWithout(func(replica string) bool {
			for _, other := range r.blockedParts {
				if other != e && other.Service == service && other.hasEnd(replica) && (other.outweighs(e) || other.standsWithout(e)) {
					return true
				}
			}
			return false
		})
		if len(left) < len(e.Ends) && e.scoreOf(left) < liftShare*blockScore {
			e.Decisions++
			r.setBlocked(e)
			released = append(released, e.copy())
		}
	}
	return released
}

// standsWithout reports whether a part would be blocked without the ends that another one explains.
func (c *Case) standsWithout(other *entry) bool {
	return c.scoreOf(c.endsWithout(other.hasEnd)) >= blockScore
}

// outweighs reports whether the evidence against a blocked part is stronger than that against another one, and explains
// all of it.
func (c *Case) outweighs(other *entry) bool {
	return c.covers(&other.Case) && (!other.covers(c) || c.score() > other.score()+scoreTolerance)
}

// releaseIfCleared releases a blocked part against which too little evidence is left.
func (r *Register) releaseIfCleared(e *entry) {
	if e.Kind == KindPart && e.Verdict() == Blocked && e.score() < liftShare*blockScore {
		e.Decisions++
	}
	r.setBlocked(e)
}

// setBlocked keeps the list of blocked parts.
func (r *Register) setBlocked(e *entry) {
	if e.Kind != KindPart {
		return
	}
	if e.Verdict() == Blocked {
		r.blockedParts[e.Fingerprint] = e
	} else {
		delete(r.blockedParts, e.Fingerprint)
	}
	r.blockedPartCount.Store(int64(len(r.blockedParts)))
}

// groupOf returns the blocked parts that the evidence does not tell from a blocked part, with that part.
func (r *Register) groupOf(part *entry) (group []*entry) {
	for _, e := range r.blockedParts {
		if e == part || e.Service == part.Service && e.sameReplicas(&part.Case) && math.Abs(e.score()-part.score()) <= scoreTolerance {
			group = append(group, e)
		}
	}
	return group
}

// Judge returns the strictest verdict on a request, by itself and by the shared parts of its prompt, and the case that
// it rests on.
func (r *Register) Judge(request Cause, parts []Cause) (c Case, v Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[request.Fingerprint]; e != nil {
		c, v = e.copy(), e.Verdict()
	} else {
		c = Case{Cause: request}
	}
	for _, p := range parts {
		e := r.blockedParts[p.Fingerprint]
		if e == nil || v == Blocked {
			continue
		}
		partVerdict := Blocked
		for _, other := range r.groupOf(e) {
			if !slices.ContainsFunc(parts, func(p Cause) bool { return p.Fingerprint == other.Fingerprint }) {
				partVerdict = Watched
			}
		}
		if partVerdict > v {
			c, v = e.copy(), partVerdict
		}
	}
	return c, v
}

// HasBlockedParts reports whether any part is blocked.
func (r *Register) HasBlockedParts() bool { return r.blockedPartCount.Load() > 0 }
