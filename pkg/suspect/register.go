package suspect

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/site"
)

const (
	// allowedTTL is how long after its last end a case is kept that is neither watched nor blocked. Clients repeat
	// within seconds; a minute allows for one that waits in between.
	allowedTTL = time.Minute
	// flaggedTTL is how long a watched or blocked case is kept after its last event. An
	// hour is far longer than clients go on repeating, and lets a request be tried again
	// some time after the engine software was fixed.
	flaggedTTL = time.Hour
	// maxCases bounds the memory, some 300 bytes a case. It has room for a request in each
	// slot of some fifty replicas that end at once.
	maxCases = 4096
	// explainedTTL is how long it is remembered that a blocked part explains the end of a replica. It is longer than
	// any request may be in flight.
	explainedTTL = 2 * time.Minute
	// maxServiceEnds bounds the ends of replicas of one service that are remembered.
	maxServiceEnds = 4096
)

// Register holds one node's evidence about causes that were in flight at replicas that
// ended. It is safe for concurrent use.
type Register struct {
	// entryCount is the number of entries; while it is 0, nothing has to be hashed.
	entryCount atomic.Int64
	// blockedPartCount is the number of blocked parts; while it is 0, parts of prompts need not be looked up.
	blockedPartCount atomic.Int64

	mu           locks.Mutex
	entries      map[site.Fingerprint]*entry
	blockedParts map[site.Fingerprint]*entry
	finishes     recentFinishes
	// explained are the replicas whose end a blocked part explains, and when they ended.
	explained map[string]time.Time
	// serviceEnds are the replicas of each service that ended in the last explainedTTL, and when.
	serviceEnds map[string]map[string]time.Time
}

type entry struct {
	Case

	// runningUntil is until when a run of a watched cause is assumed to be in progress,
	// unless its outcome is learnt earlier.
	runningUntil time.Time
	// grantedTo is the node that the run was granted to, empty for a run of this node.
	grantedTo string
	// finishAnnounced means that the last finish was announced to other nodes.
	finishAnnounced bool
	// askedAt is when nodes were last asked for the finishes of a part.
	askedAt time.Time
}

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{
		entries:      map[site.Fingerprint]*entry{},
		blockedParts: map[site.Fingerprint]*entry{},
		explained:    map[string]time.Time{},
		serviceEnds:  map[string]map[string]time.Time{},
	}
}

// Empty reports whether the register holds no cases.
func (r *Register) Empty() bool { return r.entryCount.Load() == 0 }

// Case returns the case of a cause, one without evidence if there is none.
func (r *Register) Case(f site.Fingerprint) Case {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[f]
	if e == nil {
		return Case{Cause: Cause{Fingerprint: f}}
	}
	return e.copy()
}

func (e *entry) copy() Case {
	c := e.Case
	c.Ends, c.Finishes = slices.Clone(e.Ends), slices.Clone(e.Finishes)
	return c
}

// RecordFinish remembers that a replica has finished a run with a cause at this node.
func (r *Register) RecordFinish(quickHash uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishes.record(quickHash, now)
}

// MergeResult is how Merge changed a case.
type MergeResult struct {
	Before, After Verdict
	// New means that some of the evidence was new.
	New bool
	// OwnFinish means that replicas have finished runs with the cause for this node and other nodes may not know it.
	OwnFinish bool
}

// Merge adds evidence seen here or received from another node, and the finishes of the cause that this node remembers.
func (r *Register) Merge(c Case) MergeResult { return r.MergeAll([]Case{c})[0] }

// MergeAll is Merge for evidence about several causes. No one sees the register with only a part of it: parts that it does not tell
// apart would seem to be.
func (r *Register) MergeAll(cases []Case) []MergeResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	results := make([]MergeResult, len(cases))
	for i, c := range cases {
		results[i] = r.merge(c)
	}
	return results
}

// merge is Merge for one cause. The caller holds mu.
func (r *Register) merge(c Case) (result MergeResult) {
	r.recordServiceEnds(&c)
	e := r.entries[c.Fingerprint]
	c.Ends = r.unexplained(&c)
	if e == nil {
		if len(c.Ends) == 0 {
			return result // A finish without known ends.
		}
		r.evictIfFull()
		e = &entry{Case: Case{Cause: c.Cause}}
		r.entries[c.Fingerprint] = e
		r.entryCount.Store(int64(len(r.entries)))
	}
	result.Before = e.Verdict()
	result.New = e.merge(c)
	if result.New {
		e.runningUntil = time.Time{} // The run in progress has ended or no longer matters.
		e.finishAnnounced = len(c.Finishes) > 0
	}
	if e.addFinishes(r.finishes.of(e.QuickHash)) {
		if e.Kind == KindPart && result.Before == Blocked {
			e.finishAnnounced = false // Each finish counts against the block, not just the first one.
		}
		result.New, result.OwnFinish = true, !e.finishAnnounced
	}
	if result.New {
		r.reconsider(e)
	}
	result.After = e.Verdict()
	return result
}

// unexplained returns the ends of a case that count: those of a request but for what blocked parts explain. Parts keep
// theirs, as it may turn out later which of them ended the replicas.
func (r *Register) unexplained(c *Case) []ReplicaEnd {
	if c.Kind == KindPart || len(r.explained) == 0 {
		return c.Ends
	}
	return c.endsWithout(func(replica string) bool {
		_, ok := r.explained[replica]
		return ok
	})
}

// reconsider draws the consequences of new evidence about a part that is or was blocked.
func (r *Register) reconsider(e *entry) {
	r.releaseIfCleared(e)
	if e.Kind == KindPart && e.Verdict() == Blocked {
		r.explain(e)
	}
}

// TryAnnounce reports whether this node should announce its own finish of a request, and
// marks it as announced. It returns true once after each new end, unless another node has
// announced a finish.
func (r *Register) TryAnnounce(f site.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[f]
	if e == nil || e.finishAnnounced {
		return false
	}
	e.finishAnnounced = true
	return true
}

// StartRun reports whether this node may send a watched request now. The run counts as in
// progress for at most maxRun, unless its outcome is learnt earlier.
func (r *Register) StartRun(f site.Fingerprint, maxRun time.Duration, now time.Time) bool {
	return r.tryRun(f, "", maxRun, now)
}

// GrantRun is StartRun for another node. A node has one run of a request at a time, so a
// node that asks again has not received the answer, or its run is over.
func (r *Register) GrantRun(f site.Fingerprint, node string, maxRun time.Duration, now time.Time) bool {
	return r.tryRun(f, node, maxRun, now)
}

func (r *Register) tryRun(f site.Fingerprint, node string, maxRun time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[f]
	switch {
	case e == nil || e.Verdict() == Allowed:
		return true
	case e.Verdict() == Blocked && !r.isGrouped(e):
		return false
	case now.Before(e.runningUntil) && (node == "" || e.grantedTo != node):
		return false
	}
	e.runningUntil, e.grantedTo = now.Add(maxRun), node
	return true
}

// isGrouped reports whether other blocked parts can't be told from a part, so that requests without them are watched.
func (r *Register) isGrouped(e *entry) bool { return e.Kind == KindPart && len(r.groupOf(e)) > 1 }

// EndRun records that this node's run of a watched request is over and that its replica is
// not known to have ended.
func (r *Register) EndRun(f site.Fingerprint) { r.EndGrantedRun(f, "") }

// EndGrantedRun is EndRun for a run that was granted to another node.
func (r *Register) EndGrantedRun(f site.Fingerprint, node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[f]; e != nil && e.grantedTo == node {
		e.runningUntil = time.Time{}
	}
}

// Flagged lists the watched and blocked cases, the newest first.
func (r *Register) Flagged(limit int) []Case {
	return r.newestMatching(limit, func(e *entry) bool { return e.Verdict() != Allowed })
}

// Cleared lists the requests that are allowed because they were finished, and the parts that are no longer blocked, the
// newest first.
func (r *Register) Cleared(limit int) []Case {
	return r.newestMatching(limit, func(e *entry) bool {
		return e.Verdict() == Allowed && (e.Decisions > 0 || e.Kind == KindRequest && len(e.Finishes) > 0)
	})
}

func (r *Register) newestMatching(limit int, match func(e *entry) bool) (list []Case) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if match(e) {
			list = append(list, e.copy())
		}
	}
	slices.SortFunc(list, func(a, b Case) int { return b.LastEvent().Compare(a.LastEvent()) })
	return list[:min(len(list), limit)]
}

// Counts are numbers of causes.
type Counts struct {
	WatchedRequests, BlockedRequests, BlockedParts int
}

// Count returns the numbers of watched and blocked causes.
func (r *Register) Count() (n Counts) {
	if r.Empty() {
		return n
	}
	for _, c := range r.Flagged(maxCases) {
		switch {
		case c.Kind == KindPart:
			n.BlockedParts++
		case c.Verdict() == Blocked:
			n.BlockedRequests++
		default:
			n.WatchedRequests++
		}
	}
	return n
}

// Digest returns a hash of the watched and blocked causes. It is equal at two nodes that
// know the same ones, and 0 if there are none.
func (r *Register) Digest() (sum uint64) {
	if r.Empty() {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for f, e := range r.entries {
		if v := e.Verdict(); v != Allowed {
			sum += xxhash.Sum64String(string(f[:]) + v.String())
		}
	}
	return sum
}

// Expire deletes old cases.
func (r *Register) Expire(now time.Time) {
	if r.Empty() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for f, e := range r.entries {
		ttl := flaggedTTL
		if e.Verdict() == Allowed {
			ttl = allowedTTL
		}
		since := e.LastEnd()
		if since.IsZero() {
			since = e.LastEvent()
		}
		if now.Sub(since) >= ttl {
			r.remove(f)
		}
	}
	old := func(_ string, endedAt time.Time) bool { return now.Sub(endedAt) >= explainedTTL }
	maps.DeleteFunc(r.explained, old)
	for service, ends := range r.serviceEnds {
		if maps.DeleteFunc(ends, old); len(ends) == 0 {
			delete(r.serviceEnds, service)
		}
	}
	r.entryCount.Store(int64(len(r.entries)))
}

func (r *Register) remove(f site.Fingerprint) {
	delete(r.entries, f)
	delete(r.blockedParts, f)
	r.blockedPartCount.Store(int64(len(r.blockedParts)))
}

// evictIfFull makes room for another case: it drops one with the mildest verdict and the fewest ends, the oldest of
// them. Blocked cases go last, so that no client can get one forgotten by sending many
// requests that are merely in flight where replicas end. The caller holds mu.
func (r *Register) evictIfFull() {
	if len(r.entries) < maxCases {
		return
	}
	var least *entry
	for _, e := range r.entries {
		if least == nil || cmp.Or(cmp.Compare(e.Verdict(), least.Verdict()), cmp.Compare(len(e.Ends), len(least.Ends)), e.LastEvent().Compare(least.LastEvent())) < 0 {
			least = e
		}
	}
	r.remove(least.Fingerprint)
}
