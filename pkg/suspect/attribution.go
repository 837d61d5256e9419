package suspect

import (
	"math"
	"slices"
)

// An end accuses all that was in flight at the replica, and blocking one cause explains it. So the ends of a blocked part
// don't count against others, and the parts with the strongest evidence are blocked first: sound ones that are in
// flight beside it, such as a common first part, have finishes or are missing from some of the ends.
//
// Parts that no evidence tells apart are blocked together, as a group. A request that has only some parts of a group runs
// once at a time, until one of its runs finishes, or ends its replica.

// scoreTolerance is the difference up to which scores count as equal.
const scoreTolerance = 0.01

// Decide blocks the parts of a service that are to be blocked on the evidence, and returns their cases. It needs the
// evidence about all causes that were in flight where replicas of the service ended.
func (r *Register) Decide(service string) (blocked []Case) {
	if r.Empty() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		group := r.strongest(service)
		if len(group) == 0 {
			return blocked
		}
		for _, e := range group {
			e.Decisions++
			blocked = append(blocked, e.copy())
			r.setBlocked(e)
		}
		for _, e := range group {
			r.explain(e)
		}
	}
}

// strongest returns the part to block next, with those that the evidence does not tell from it.
func (r *Register) strongest(service string) (group []*entry) {
	best := math.Inf(-1)
	for _, e := range r.entries {
		if e.Kind != KindPart || e.Service != service || e.Verdict() == Blocked {
			continue
		}
		s := e.score()
		switch {
		case s < blockScore || s < best-scoreTolerance || r.explainedByRequest(e):
			continue
		case s > best+scoreTolerance:
			best, group = s, nil
		}
		group = append(group, e)
	}
	if len(group) == 0 {
		return nil
	}
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

func (c *Case) sameReplicas(other *Case) bool { return c.covers(other) && other.covers(c) }

// explain removes the ends that a blocked part explains from the evidence about other causes, and remembers them for
// evidence that comes later. A part of the same group keeps them while the evidence is equal.
func (r *Register) explain(part *entry) {
	for _, end := range part.Ends {
		r.explained[end.Replica] = end.EndedAt
	}
	for _, e := range r.entries {
		if e == part || e.Kind == KindPart && (e.Service != part.Service || e.Verdict() == Blocked && !part.outweighs(e)) {
			continue
		}
		if e.removeEnds(part.hasEnd) {
			r.releaseIfCleared(e)
		}
	}
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
