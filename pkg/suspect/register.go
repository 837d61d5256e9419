package suspect

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/drumpath/drumpath/pkg/site"
)

const (
	// allowedTTL is for how long a case is remembered that changes nothing yet. Callers
	// repeat within seconds; a minute bears a caller that waits in between.
	allowedTTL = time.Minute
	// flaggedTTL is for how long one is that is watched or blocked, since the last end: an
	// hour is far over what callers repeat within, and lets a request be tried again some
	// time after the engines' software was mended.
	flaggedTTL = time.Hour
	// maxCases bounds the memory: some 200 bytes each. One in flight at each slot of some
	// fifty replicas that end at one moment fit.
	maxCases = 4096
)

// Register is what one node knows of requests under which replicas ended. Its methods may
// be called at the same time.
type Register struct {
	// entryCount counts the entries, so that nothing has to be hashed while there are none.
	entryCount atomic.Int64

	mu       sync.Mutex
	entries  map[site.Fingerprint]*entry
	finishes recentFinishes
}

type entry struct {
	Case

	// runningUntil is until when a run of a watched request is taken to be under way, unless
	// something is heard of it.
	runningUntil time.Time
	// grantedTo names the node that was given a grant for it, empty for this one's own run.
	grantedTo string
	// finishAnnounced says that other nodes know of the last finish.
	finishAnnounced bool
}

// NewRegister returns an empty register.
func NewRegister() *Register { return &Register{entries: map[site.Fingerprint]*entry{}} }

// Empty says whether nothing is known of any request.
func (r *Register) Empty() bool { return r.entryCount.Load() == 0 }

// Case returns what is known of a request.
func (r *Register) Case(f site.Fingerprint) Case {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[f]
	if e == nil {
		return Case{Content: f}
	}
	return e.copy()
}

func (e *entry) copy() Case {
	c := e.Case
	c.Ends = slices.Clone(e.Ends)
	return c
}

// Finished remembers that a replica has finished a request at this node.
func (r *Register) Finished(quickHash uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishes.record(quickHash, now)
}

// MergeResult is what a piece of news has done to a case.
type MergeResult struct {
	Before, After Verdict
	// New says that anything was not known before.
	New bool
	// OwnFinish says that this node has finished the request, and others may not know.
	OwnFinish bool
}

// Merge takes in what was seen here or told by another node, and what this node remembers
// of the request itself.
func (r *Register) Merge(c Case) (result MergeResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[c.Content]
	if e == nil {
		if len(c.Ends) == 0 {
			return result // A finish of which nothing else is known.
		}
		r.evictIfFull()
		e = &entry{Case: Case{Content: c.Content}}
		r.entries[c.Content] = e
		r.entryCount.Store(int64(len(r.entries)))
	}
	result.Before = e.Verdict()
	result.New = e.merge(c)
	if result.New {
		e.runningUntil = time.Time{} // What was under way has ended, or does not matter any more.
		e.finishAnnounced = !c.Finished.IsZero()
	}
	if own := r.finishes.lastFinish(e.QuickHash); own.After(e.Finished) {
		e.merge(Case{Finished: own})
		result.New, result.OwnFinish = true, !e.finishAnnounced
	}
	result.After = e.Verdict()
	return result
}

// ShouldAnnounce says whether this node is to tell of its own finish of a request: nobody has
// told of one since the last end.
func (r *Register) ShouldAnnounce(f site.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[f]
	if e == nil || e.finishAnnounced {
		return false
	}
	e.finishAnnounced = true
	return true
}

// StartRun asks whether a watched request may be sent now by this node; it counts as under way
// for at most a time, unless something is heard of it before.
func (r *Register) StartRun(f site.Fingerprint, maxRun time.Duration, now time.Time) bool {
	return r.tryRun(f, "", maxRun, now)
}

// GrantRun is StartRun for another node. A node has one run under way at a time, so one that asks
// again has not heard the answer, or its run is over.
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
	case e.Verdict() == Blocked:
		return false
	case now.Before(e.runningUntil) && (node == "" || e.grantedTo != node):
		return false
	}
	e.runningUntil, e.grantedTo = now.Add(maxRun), node
	return true
}

// EndRun notes that this node's run of a watched request is no longer under way, with no word
// of its replica.
func (r *Register) EndRun(f site.Fingerprint) { r.EndGrantedRun(f, "") }

// EndGrantedRun is EndRun for a run that was lent to another node.
func (r *Register) EndGrantedRun(f site.Fingerprint, node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[f]; e != nil && e.grantedTo == node {
		e.runningUntil = time.Time{}
	}
}

// Flagged lists the cases that are watched or blocked, the newest first.
func (r *Register) Flagged(limit int) []Case {
	return r.newestMatching(limit, func(e *entry) bool { return e.Verdict() != Allowed })
}

// Cleared returns those that are free as they were finished, the newest first.
func (r *Register) Cleared(limit int) []Case {
	return r.newestMatching(limit, func(e *entry) bool { return !e.Finished.IsZero() && e.Verdict() == Allowed })
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

// Count tells how many requests are watched, and how many blocked.
func (r *Register) Count() (watched, blocked int) {
	if r.Empty() {
		return 0, 0
	}
	for _, c := range r.Flagged(maxCases) {
		if c.Verdict() == Blocked {
			blocked++
		} else {
			watched++
		}
	}
	return watched, blocked
}

// Digest is alike at two nodes that hold the same of watched and blocked requests, 0 where
// there are none.
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

// Expire forgets what is old.
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
		if now.Sub(e.LastEvent()) >= ttl {
			delete(r.entries, f)
		}
	}
	r.entryCount.Store(int64(len(r.entries)))
}

// evictIfFull drops the case that matters least if there is no room for another; the caller
// holds mu. Blocked ones go last, so that nobody can have one forgotten by sending many
// requests that are only in flight where replicas end.
func (r *Register) evictIfFull() {
	if len(r.entries) < maxCases {
		return
	}
	var least *entry
	for _, e := range r.entries {
		if least == nil || cmp.Or(cmp.Compare(e.Verdict(), least.Verdict()), e.LastEvent().Compare(least.LastEvent())) < 0 {
			least = e
		}
	}
	delete(r.entries, least.Content)
}
