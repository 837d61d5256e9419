package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/site"
)

// Verdict is what is to be done with a request.
type Verdict int

// Verdicts.
const (
	// Allowed requests are sent like all others.
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
	// watchThreshold is from how many ends on a request runs once at a time. A good one may be
	// in flight where a replica ends, and so may its repeat: at two, a block would hit one
	// of those in some hundred where replicas come and go.
	watchThreshold = 2
	// blockThreshold is with how many ends a request is sent no more: operators allow three, and
	// a few that were under way.
	blockThreshold = 3
	// blockMinRounds is in how many rounds they must have come: when many replicas end at one
	// moment for another reason, what is asked most often is in flight at several of them.
	blockMinRounds = 2
	// maxEnds bounds what is kept of one case.
	maxEnds = 6
	// finishGrace is for how long after a finish runs that begin count for nothing: what is
	// asked so often that it is in flight wherever a replica ends is finished many times
	// meanwhile. It is short, as new weights may make of a good request another one.
	finishGrace = 10 * time.Second
)

// ReplicaEnd is the end of one replica while a request was in flight there.
type ReplicaEnd struct {
	// Replica names the start of the replica.
	Replica string
	// StartedAt is when the request was sent there, EndedAt when the replica had ended.
	StartedAt, EndedAt time.Time
}

// Case is what is known of one request.
type Case struct {
	Content site.Fingerprint
	// QuickHash is a quick hash of the same, by which finishes are remembered.
	QuickHash uint64
	// Ends are by time.
	Ends []ReplicaEnd
	// Finished is when a replica last finished the request, as far as is known; zero for
	// never.
	Finished time.Time
}

// LastEvent is when something was last known to happen to the request.
func (c *Case) LastEvent() time.Time {
	last := c.Finished
	for _, e := range c.Ends {
		if e.EndedAt.After(last) {
			last = e.EndedAt
		}
	}
	return last
}

// Verdict judges the case.
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

// rounds counts how often the request was sent anew after a replica had ended under it.
// Runs that were in flight together are one round.
func (c *Case) rounds() int {
	n := 0
	var roundEnd time.Time // End of the round.
	for _, e := range c.Ends {
		if n == 0 || e.StartedAt.After(roundEnd) {
			n++
			roundEnd = e.EndedAt
		}
	}
	return n
}

// merge takes in what else is known and says whether it was new.
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

// hasEnd says whether the end of a replica is kept.
func (c *Case) hasEnd(replica string) bool {
	return slices.ContainsFunc(c.Ends, func(e ReplicaEnd) bool { return e.Replica == replica })
}

// trimEnds sorts ends by time and drops those beyond the most that are kept. The first one
// stays, and those whose runs began last: were it the first six, all of which may be of one
// round, no later round would ever count, and the request never be blocked. Which stay does
// not depend on the order in which a node hears of them.
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

// clearedByFinish says whether an end does not count, as the request was finished about when that
// run began, or later.
func (c *Case) clearedByFinish(e ReplicaEnd) bool {
	return !c.Finished.IsZero() && e.StartedAt.Before(c.Finished.Add(finishGrace))
}

// Replicas names the replicas that ended.
func (c *Case) Replicas() []string {
	list := make([]string, len(c.Ends))
	for i, e := range c.Ends {
		list[i] = e.Replica
	}
	return list
}
