package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/site"
)

// Verdict is how a request is treated.
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
	// watchThreshold is the number of ends from which a request is watched. A harmless
	// request and its retry may both be in flight where replicas end: if two ends blocked,
	// about one in a hundred of those would be blocked where replicas come and go.
	watchThreshold = 2
	// blockThreshold is the number of ends from which a request is blocked: operators allow
	// three, and a few more that were in flight.
	blockThreshold = 3
	// blockMinRounds is the minimum number of rounds of these ends: when many replicas end at
	// once for another reason, a frequent request is in flight at several of them.
	blockMinRounds = 2
	// maxEnds bounds the ends that are stored for a case.
	maxEnds = 6
	// finishGrace is how long after a finish new runs don't count: a request that is so
	// frequent that it is in flight wherever a replica ends finishes many times meanwhile.
	// It is short because new weights may turn a harmless request into one that crashes
	// replicas.
	finishGrace = 10 * time.Second
)

// ReplicaEnd is the end of one replica while a request was in flight there.
type ReplicaEnd struct {
	// Replica is the key of one start of the replica.
	Replica string
	// StartedAt is when the request was sent there, EndedAt when the replica was found to
	// have ended.
	StartedAt, EndedAt time.Time
}

// Case holds the evidence about one request.
type Case struct {
	Content site.Fingerprint
	// QuickHash is a cheap hash of the request, the key under which finishes are
	// remembered.
	QuickHash uint64
	// Ends are sorted by time.
	Ends []ReplicaEnd
	// Finished is the latest known finish of the request by a replica; zero if there is
	// none.
	Finished time.Time
}

// LastEvent returns the time of the last known end or finish of the request.
func (c *Case) LastEvent() time.Time {
	last := c.Finished
	for _, e := range c.Ends {
		if e.EndedAt.After(last) {
			last = e.EndedAt
		}
	}
	return last
}

// Verdict returns how the request is treated on this evidence.
func (c *Case) Verdict() Verdict {
	switch n := len(c.Ends); {
	case n >= blockThreshold && c.rounds() >= blockMinRounds:
		return Blocked
	case n >= watchThreshold:
		return Watched
	default:
		return Allowed
	}
}

// rounds counts how often the request was sent again after a replica had ended under it.
// Runs that were in flight together are one round.
func (c *Case) rounds() int {
	n := 0
	var roundEnd time.Time // First end of the current round.
	for _, e := range c.Ends {
		if n == 0 || e.StartedAt.After(roundEnd) {
			n++
			roundEnd = e.EndedAt
		}
	}
	return n
}

// merge adds the evidence of another case and reports whether any of it was new.
func (c *Case) merge(other Case) (changed bool) {
	if c.QuickHash == 0 {
		c.QuickHash = other.QuickHash
	}
	if other.Finished.After(c.Finished) {
		c.Finished = other.Finished
		changed = true
	}
	c.Ends = slices.DeleteFunc(c.Ends, c.clearedByFinish)
	for _, e := range other.Ends {
		if c.hasEnd(e.Replica) || c.clearedByFinish(e) {
			continue
		}
		c.Ends = append(c.Ends, e)
		c.trimEnds()
		changed = changed || c.hasEnd(e.Replica)
	}
	return changed
}

// hasEnd reports whether the end of a replica is stored.
func (c *Case) hasEnd(replica string) bool {
	return slices.ContainsFunc(c.Ends, func(e ReplicaEnd) bool { return e.Replica == replica })
}

// trimEnds sorts the ends by time and drops those beyond maxEnds. It keeps the first end
// and those whose runs began last. If it kept the first six, they could all be of one
// round, no later round would count, and the request would never be blocked. The result
// does not depend on the order in which ends are learnt.
func (c *Case) trimEnds() {
	byTime := func(a, b ReplicaEnd) int {
		return cmp.Or(a.EndedAt.Compare(b.EndedAt), cmp.Compare(a.Replica, b.Replica))
	}
	slices.SortFunc(c.Ends, byTime)
	if len(c.Ends) <= maxEnds {
		return
	}
	first, rest := c.Ends[0], c.Ends[1:]
	slices.SortFunc(rest, func(a, b ReplicaEnd) int {
		return cmp.Or(b.StartedAt.Compare(a.StartedAt), cmp.Compare(a.Replica, b.Replica))
	})
	c.Ends = append([]ReplicaEnd{first}, rest[:maxEnds-1]...)
	slices.SortFunc(c.Ends, byTime)
}

// clearedByFinish reports whether an end does not count because its run began before the last
// finish or within finishGrace after it.
func (c *Case) clearedByFinish(e ReplicaEnd) bool {
	return !c.Finished.IsZero() && e.StartedAt.Before(c.Finished.Add(finishGrace))
}

// Replicas lists the replicas that ended.
func (c *Case) Replicas() []string {
	list := make([]string, len(c.Ends))
	for i, e := range c.Ends {
		list[i] = e.Replica
	}
	return list
}
