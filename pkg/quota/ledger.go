package quota

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// leastRate is what is given out a second of a rate that is smaller: one in 4 s. A
	// subject that is sent nothing could not tell that it takes more again.
	leastRate = 0.25
	// depthTime is for how long what is not used is kept, beside one.
	depthTime = 250 * time.Millisecond
	// batchTime is for how long's worth of a rate grants are given at once: an owner is asked
	// some 50 times a second at most, at any rate.
	batchTime = 20 * time.Millisecond
	// idleTerm is for how long a rate is remembered that nothing was heard of, and its end: a
	// node that has missed the end asks some time.
	idleTerm = 10 * time.Minute
	// mostSubjects bounds what is remembered, some 200 bytes each.
	mostSubjects = 8192
)

// Rate is what was last seen of a subject.
type Rate struct {
	// PerSecond is what all nodes together may send.
	PerSecond float64
	// Ended says that it no longer names a rate.
	Ended bool
	// At is when that was seen, by this node's clock.
	At time.Time
}

// Grant is an owner's answer to a node that wants to send.
type Grant struct {
	// Count is how many it may send now.
	Count int
	// Wait is when to ask again if that is none.
	Wait time.Duration
}

// Change is what news have changed.
type Change int

// Changes by news.
const (
	// ChangeNone: nothing, or the news were older than what is known.
	ChangeNone Change = iota
	// ChangeBegun: the subject had no rate before.
	ChangeBegun
	// ChangeRate: it had another one.
	ChangeRate
	// ChangeEnded: it has none any more.
	ChangeEnded
)

// Ledger is what a node knows of subjects' rates, and what it has given out of those that it
// owns.
type Ledger struct {
	known atomic.Int64 // Subjects.

	mu       sync.Mutex
	subjects map[string]*account
}

// account is one subject's.
type account struct {
	rate   Rate
	tokens float64 // What may be given out, below 0 for what was sent without a grant.
	filled time.Time
	used   time.Time // Last heard of, or asked for.
	given  time.Time // Last, or since when there is anything to give.
}

// NewLedger returns a ledger that knows no subject.
func NewLedger() *Ledger { return &Ledger{subjects: map[string]*account{}} }

// Empty says whether no subject has a rate, or had one a moment ago.
func (l *Ledger) Empty() bool { return l.known.Load() == 0 }

// Rate is what is known of a subject; ok is false if that is nothing.
func (l *Ledger) Rate(subject string) (r Rate, ok bool) {
	if l.Empty() {
		return r, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.subjects[subject]
	if !ok {
		return r, false
	}
	return a.rate, true
}

// Observe takes in what was seen. What is older than what is known is passed over: news may come
// in any order.
func (l *Ledger) Observe(subject string, r Rate, now time.Time) Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.subjects[subject]
	switch {
	case !ok && (r.Ended || len(l.subjects) >= mostSubjects):
		return ChangeNone
	case !ok:
		// It begins with nothing: another node may have given out what there was.
		l.subjects[subject] = &account{rate: r, filled: now, used: now, given: now}
		l.known.Add(1)
		return ChangeBegun
	case !r.At.After(a.rate.At):
		return ChangeNone
	}
	a.used = now
	was := a.rate
	a.rate = r
	a.tokens = min(a.tokens, a.depth())
	switch {
	case r.Ended && was.Ended:
		return ChangeNone
	case r.Ended:
		return ChangeEnded
	case was.Ended:
		a.tokens, a.filled, a.given = 0, now, now
		return ChangeBegun
	case r.PerSecond != was.PerSecond:
		return ChangeRate
	default:
		return ChangeNone
	}
}

// Take gives a grant to send, out of a part of the rate: what is given out by owners that are
// cut off from each other must not be more than the whole. ok is false if no grant is needed.
func (l *Ledger) Take(subject string, part float64, now time.Time) (g Grant, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, known := l.subjects[subject]
	if !known || a.rate.Ended {
		return g, false
	}
	a.used = now
	a.fill(part, now)
	if a.tokens < 1 {
		return Grant{Wait: time.Duration((1 - a.tokens) / (a.perSecond() * part) * float64(time.Second))}, true
	}
	batch := max(1, int(a.perSecond()*batchTime.Seconds()))
	a.given = now
	g.Count = min(int(a.tokens), batch)
	a.tokens -= float64(g.Count)
	return g, true
}

// Unused is how many could have been sent since the last one was, beyond the first.
func (l *Ledger) Unused(subject string, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.subjects[subject]
	if !ok || a.rate.Ended {
		return 0
	}
	return max(0, now.Sub(a.given).Seconds()*a.perSecond()-1)
}

// Spend counts one that was sent without a grant, as it could not wait.
func (l *Ledger) Spend(subject string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.subjects[subject]; ok {
		a.used = now
		a.tokens--
	}
}

// Forget drops what nothing was heard of for long.
func (l *Ledger) Forget(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for subject, a := range l.subjects {
		if now.Sub(a.used) > idleTerm {
			delete(l.subjects, subject)
			l.known.Add(-1)
		}
	}
}

// Count is how many subjects have a rate.
func (l *Ledger) Count() (n int) {
	if l.Empty() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.subjects {
		if !a.rate.Ended {
			n++
		}
	}
	return n
}

// perSecond is the rate that is given out.
func (a *account) perSecond() float64 { return max(leastRate, a.rate.PerSecond) }

// depth is how many there may be to be given out.
func (a *account) depth() float64 { return 1 + a.perSecond()*depthTime.Seconds() }

// fill adds what has become free.
func (a *account) fill(part float64, now time.Time) {
	past := max(0, now.Sub(a.filled).Seconds())
	a.tokens = min(a.depth(), a.tokens+past*part*a.perSecond())
	a.filled = now
}
