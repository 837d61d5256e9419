package suspect

import (
	"cmp"
	"slices"
	"time"
)

// Verdict is how requests with a cause are treated.
type Verdict int

// Verdicts.
const (
	// Allowed requests are sent without limits.
	Allowed Verdict = iota
	// Watched requests run once at a time among all nodes.
	Watched
	// Blocked requests are not sent.
	Blocked
)

// String names the verdict.
func (v Verdict) String() string {
	switch v {
	case Blocked:
		return "blocked"
	case Watched:
		return "watched"
	default:
		return "free"
	}
}

const (
	// maxEnds, maxFinishes and maxRunsPerEnd bound what is stored for a case.
	maxEnds       = 12
	maxFinishes   = 16
	maxRunsPerEnd = 4
)

// ReplicaEnd is the end of one replica while runs with a cause were in flight there.
type ReplicaEnd struct {
	// Replica is the key of one start of the replica.
	Replica string
	// StartedAt is when the last of the runs was sent there, EndedAt when the replica was first found to have ended.
	StartedAt, EndedAt time.Time
	// Runs are random IDs of the runs, in ascending order, as far as they are known.
	Runs []uint32
}

// Finish is a run that a replica has finished.
type Finish struct {
	ID uint32 // Random.
	At time.Time
}

// Case holds the evidence about one cause.
type Case struct {
	Cause
	// Ends are sorted by time.
	Ends []ReplicaEnd
	// Finishes are the latest known ones, sorted by time.
	Finishes []Finish
	// Decisions is how often a part was blocked and released again: it is blocked while the number is odd. Requests
	// are judged by each node from the evidence alone.
	Decisions int
}

// LastFinish returns the time of the last known finish, zero if there is none.
func (c *Case) LastFinish() time.Time {
	if n := len(c.Finishes); n > 0 {
		return c.Finishes[n-1].At
	}
	return time.Time{}
}

// LastEnd returns the time of the last known end, zero if there is none.
func (c *Case) LastEnd() time.Time {
	if n := len(c.Ends); n > 0 {
		return c.Ends[n-1].EndedAt
	}
	return time.Time{}
}

// LastEvent returns the time of the last known end or finish.
func (c *Case) LastEvent() time.Time {
	if last := c.LastEnd(); last.After(c.LastFinish()) {
		return last
	}
	return c.LastFinish()
}

// Verdict returns how requests with the cause are treated on this evidence.
func (c *Case) Verdict() Verdict {
	if c.Kind == KindPart {
		if c.Decisions%2 == 1 {
			return Blocked
		}
		return Allowed
	}
	if !c.mayReach(watchShare * blockScore) {
		return Allowed
	}
	switch s := c.score(); {
	case s >= blockScore:
		return Blocked
	case s >= watchShare*blockScore:
		return Watched
	default:
		return Allowed
	}
}

// mayReach reports whether there are enough ends for a score. It saves summing up the evidence.
func (c *Case) mayReach(score float64) bool {
	return float64(len(c.Ends))*weightsOf[c.Kind].end >= score
}

// merge adds the evidence of another case and reports whether any of it was new.
func (c *Case) merge(other Case) (changed bool) {
	if c.QuickHash == 0 || other.Kind == KindPart {
		c.Cause = other.Cause // Nodes of older versions pass on the case of a part as that of a request.
	}
	if other.Decisions > c.Decisions {
		c.Decisions = other.Decisions
		changed = true
	}
	for _, e := range other.Ends {
		changed = c.addEnd(e) || changed
	}
	return c.addFinishes(other.Finishes) || changed
}

// addEnd adds an end and reports whether it was new. The result does not depend on the order in which ends are learnt.
func (c *Case) addEnd(e ReplicaEnd) (added bool) {
	i := slices.IndexFunc(c.Ends, func(known ReplicaEnd) bool { return known.Replica == e.Replica })
	if i < 0 {
		e.Runs = slices.Clone(e.Runs)
		c.Ends = append(c.Ends, e)
		c.trimEnds()
		return c.hasEnd(e.Replica)
	}
	known := &c.Ends[i]
	if e.StartedAt.After(known.StartedAt) {
		known.StartedAt = e.StartedAt
	}
	if e.EndedAt.Before(known.EndedAt) {
		known.EndedAt = e.EndedAt
	}
	before := len(known.Runs)
	known.Runs = slices.Compact(slices.Sorted(slices.Values(append(slices.Clone(known.Runs), e.Runs...))))
	known.Runs = known.Runs[:min(len(known.Runs), maxRunsPerEnd)]
	added = len(known.Runs) > before
	slices.SortFunc(c.Ends, byEndTime)
	return added
}

// addFinishes adds finishes and reports whether any was new.
func (c *Case) addFinishes(list []Finish) (added bool) {
	for _, f := range list {
		if slices.ContainsFunc(c.Finishes, func(known Finish) bool { return known.ID == f.ID }) {
			continue
		}
		i, _ := slices.BinarySearchFunc(c.Finishes, f, func(a, b Finish) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID)) })
		if len(c.Finishes) == maxFinishes {
			if i == 0 {
				continue
			}
			c.Finishes = slices.Delete(c.Finishes, 0, 1)
			i--
		}
		c.Finishes = slices.Insert(c.Finishes, i, f)
		added = true
	}
	return added
}

// hasEnd reports whether the end of a replica is stored.
func (c *Case) hasEnd(replica string) bool {
	return slices.ContainsFunc(c.Ends, func(e ReplicaEnd) bool { return e.Replica == replica })
}

// removeEnds removes the ends of replicas for which remove returns true, and reports whether there were any.
func (c *Case) removeEnds(remove func(replica string) bool) bool {
	before := len(c.Ends)
	c.Ends = slices.DeleteFunc(c.Ends, func(e ReplicaEnd) bool { return remove(e.Replica) })
	return len(c.Ends) < before
}

func byEndTime(a, b ReplicaEnd) int {
	return cmp.Or(a.EndedAt.Compare(b.EndedAt), cmp.Compare(a.Replica, b.Replica))
}

// trimEnds sorts the ends by time and drops those beyond maxEnds. It keeps the first end
// and those whose runs began last. If it kept the first ones, they could all be of one
// round, no later round would count, and the cause would never be blocked.
func (c *Case) trimEnds() {
	slices.SortFunc(c.Ends, byEndTime)
	if len(c.Ends) <= maxEnds {
		return
	}
	first, rest := c.Ends[0], c.Ends[1:]
	slices.SortFunc(rest, func(a, b ReplicaEnd) int {
		return cmp.Or(b.StartedAt.Compare(a.StartedAt), cmp.Compare(a.Replica, b.Replica))
	})
	c.Ends = append([]ReplicaEnd{first}, rest[:maxEnds-1]...)
	slices.SortFunc(c.Ends, byEndTime)
}

// Replicas lists the replicas that ended.
func (c *Case) Replicas() []string {
	list := make([]string, len(c.Ends))
	for i, e := range c.Ends {
		list[i] = e.Replica
	}
	return list
}
