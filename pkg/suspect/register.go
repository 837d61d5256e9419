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
	// freeTerm is for how long a case is remembered that changes nothing yet. Callers
	// repeat within seconds; a minute bears a caller that waits in between.
	freeTerm = time.Minute
	// heldTerm is for how long one is that is watched or blocked, since the last end: an
	// hour is far over what callers repeat within, and lets a request be tried again some
	// time after the engines' software was mended.
	heldTerm = time.Hour
	// mostCases bounds the memory: some 200 bytes each. One in flight at each slot of some
	// fifty replicas that end at one moment fit.
	mostCases = 4096
)

// Register is what one node knows of requests under which replicas ended. Its methods may
// be called at the same time.
type Register struct {
	// cases counts the entries, so that nothing has to be hashed while there are none.
	cases atomic.Int64

	mu       sync.Mutex
	known    map[site.Fingerprint]*entry
	finishes finishes
}

type entry struct {
	Case

	// running is until when a run of a watched request is taken to be under way, unless
	// something is heard of it.
	running time.Time
	// lent names the node that was given a grant for it, empty for this one's own run.
	lent string
	// told says that other nodes know of the last finish.
	told bool
}

// NewRegister returns an empty register.
func NewRegister() *Register { return &Register{known: map[site.Fingerprint]*entry{}} }

// Empty says whether nothing is known of any request.
func (r *Register) Empty() bool { return r.cases.Load() == 0 }

// Case returns what is known of a request.
func (r *Register) Case(f site.Fingerprint) Case {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.known[f]
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
func (r *Register) Finished(sketch uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishes.note(sketch, now)
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
func (r *Register) Merge(c Case) (done MergeResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.known[c.Content]
	if e == nil {
		if len(c.Ends) == 0 {
			return done // A finish of which nothing else is known.
		}
		r.makeRoom()
		e = &entry{Case: Case{Content: c.Content}}
		r.known[c.Content] = e
		r.cases.Store(int64(len(r.known)))
	}
	done.Before = e.Verdict()
	done.New = e.merge(c)
	if done.New {
		e.running = time.Time{} // What was under way has ended, or does not matter any more.
		e.told = !c.Finished.IsZero()
	}
	if own := r.finishes.at(e.QuickHash); own.After(e.Finished) {
		e.merge(Case{Finished: own})
		done.New, done.OwnFinish = true, !e.told
	}
	done.After = e.Verdict()
	return done
}

// ShouldAnnounce says whether this node is to tell of its own finish of a request: nobody has
// told of one since the last end.
func (r *Register) ShouldAnnounce(f site.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.known[f]
	if e == nil || e.told {
		return false
	}
	e.told = true
	return true
}

// StartRun asks whether a watched request may be sent now by this node; it counts as under way
// for at most a time, unless something is heard of it before.
func (r *Register) StartRun(f site.Fingerprint, most time.Duration, now time.Time) bool {
	return r.run(f, "", most, now)
}

// GrantRun is StartRun for another node. A node has one run under way at a time, so one that asks
// again has not heard the answer, or its run is over.
func (r *Register) GrantRun(f site.Fingerprint, node string, most time.Duration, now time.Time) bool {
	return r.run(f, node, most, now)
}

func (r *Register) run(f site.Fingerprint, node string, most time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.known[f]
	switch {
	case e == nil || e.Verdict() == Allowed:
		return true
	case e.Verdict() == Blocked:
		return false
	case now.Before(e.running) && (node == "" || e.lent != node):
		return false
	}
	e.running, e.lent = now.Add(most), node
	return true
}

// EndRun notes that this node's run of a watched request is no longer under way, with no word
// of its replica.
func (r *Register) EndRun(f site.Fingerprint) { r.EndGrantedRun(f, "") }

// EndGrantedRun is EndRun for a run that was lent to another node.
func (r *Register) EndGrantedRun(f site.Fingerprint, node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.known[f]; e != nil && e.lent == node {
		e.running = time.Time{}
	}
}

// Flagged lists the cases that are watched or blocked, the newest first.
func (r *Register) Flagged(most int) []Case {
	return r.newest(most, func(e *entry) bool { return e.Verdict() != Allowed })
}

// Cleared returns those that are free as they were finished, the newest first.
func (r *Register) Cleared(most int) []Case {
	return r.newest(most, func(e *entry) bool { return !e.Finished.IsZero() && e.Verdict() == Allowed })
}

func (r *Register) newest(most int, which func(e *entry) bool) (list []Case) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.known {
		if which(e) {
			list = append(list, e.copy())
		}
	}
	slices.SortFunc(list, func(a, b Case) int { return b.LastEvent().Compare(a.LastEvent()) })
	return list[:min(len(list), most)]
}

// Count tells how many requests are watched, and how many blocked.
func (r *Register) Count() (watched, blocked int) {
	if r.Empty() {
		return 0, 0
	}
	for _, c := range r.Flagged(mostCases) {
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
	for f, e := range r.known {
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
	for f, e := range r.known {
		term := heldTerm
		if e.Verdict() == Allowed {
			term = freeTerm
		}
		if now.Sub(e.LastEvent()) >= term {
			delete(r.known, f)
		}
	}
	r.cases.Store(int64(len(r.known)))
}

// makeRoom drops the case that matters least if there is no room for another; the caller
// holds mu. Blocked ones go last, so that nobody can have one forgotten by sending many
// requests that are only in flight where replicas end.
func (r *Register) makeRoom() {
	if len(r.known) < mostCases {
		return
	}
	var least *entry
	for _, e := range r.known {
		if least == nil || cmp.Or(cmp.Compare(e.Verdict(), least.Verdict()), e.LastEvent().Compare(least.LastEvent())) < 0 {
			least = e
		}
	}
	delete(r.known, least.Content)
}
