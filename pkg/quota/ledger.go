package quota

import (
	"sync/atomic"
	"time"

	"github.com/drumpath/drumpath/pkg/locks"
)

const (
	// minRate is the lowest rate granted, one request in 4 s: a subject that is sent
	// nothing could not report a higher rate.
	minRate = 0.25
	// burstWindow bounds the unused tokens that are kept: one, plus this long at the rate.
	burstWindow = 250 * time.Millisecond
	// batchWindow is how much of the rate one grant covers, so that a node asks an owner at
	// most about 50 times a second at any rate.
	batchWindow = 20 * time.Millisecond
	// idleTimeout is how long a rate is kept without observation or use. A rate that has ended is
	// kept as long, since a node that missed the end may still ask.
	idleTimeout = 10 * time.Minute
	// maxSubjects bounds the ledger's memory, some 200 bytes a subject.
	maxSubjects = 8192
)

// Rate is the last observation of a subject's rate limit.
type Rate struct {
	// PerSecond is how many requests a second all nodes together may send.
	PerSecond float64
	// Ended means that the subject no longer has a limit.
	Ended bool
	// ObservedAt is the time of the observation by this node's clock.
	ObservedAt time.Time
}

// Grant is an owner's answer to a node that wants to send.
type Grant struct {
	// Count is how many requests it may send now.
	Count int
	// Wait is how long to wait before asking again if Count is 0.
	Wait time.Duration
}

// Change is the effect of an observation.
type Change int

// Effects of an observation.
const (
	// ChangeNone: nothing changed, or the observation was outdated.
	ChangeNone Change = iota
	// ChangeSet: the subject had no limit before.
	ChangeSet
	// ChangeUpdated: the subject had another limit.
	ChangeUpdated
	// ChangeEnded: the subject no longer has a limit.
	ChangeEnded
)

// Ledger holds the rate limits that a node knows, and a token bucket for each, from which it
// grants if it is the owner.
type Ledger struct {
	subjectCount atomic.Int64 // len(subjects), readable without mu.

	mu       locks.Mutex
	subjects map[string]*bucket
}

// bucket is the token bucket of one subject.
type bucket struct {
	rate       Rate
	tokens     float64 // Negative after requests sent without a grant.
	lastRefill time.Time
	lastUsed   time.Time // Last observation or request for a grant.
	lastGrant  time.Time // Or when the limit was set, if nothing was granted since.
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{subjects: map[string]*bucket{}} }

// Empty reports whether the ledger has no subject, not even one whose rate has ended.
func (l *Ledger) Empty() bool { return l.subjectCount.Load() == 0 }

// Rate returns the last observation of a subject; ok is false if there is none.
func (l *Ledger) Rate(subject string) (r Rate, ok bool) {
	if l.Empty() {
		return r, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.subjects[subject]
	if !ok {
		return r, false
	}
	return b.rate, true
}

// Observe records an observation. Observations may arrive in any order; outdated ones are
// ignored.
func (l *Ledger) Observe(subject string, r Rate, now time.Time) Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.subjects[subject]
	switch {
	case !ok && (r.Ended || len(l.subjects) >= maxSubjects):
		return ChangeNone
	case !ok:
		// The bucket starts empty: another node may already have granted what was available.
		l.subjects[subject] = &bucket{rate: r, lastRefill: now, lastUsed: now, lastGrant: now}
		l.subjectCount.Add(1)
		return ChangeSet
	case !r.ObservedAt.After(b.rate.ObservedAt):
		return ChangeNone
	}
	b.lastUsed = now
	previous := b.rate
	b.rate = r
	b.tokens = min(b.tokens, b.capacity())
	switch {
	case r.Ended && previous.Ended:
		return ChangeNone
	case r.Ended:
		return ChangeEnded
	case previous.Ended:
		b.tokens, b.lastRefill, b.lastGrant = 0, now, now
		return ChangeSet
	case r.PerSecond != previous.PerSecond:
		return ChangeUpdated
	default:
		return ChangeNone
	}
}

// Take grants requests out of a share of the rate: during a network partition several owners
// grant, and their shares must not exceed the whole. ok is false if no grant is needed.
func (l *Ledger) Take(subject string, share float64, now time.Time) (g Grant, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, known := l.subjects[subject]
	if !known || b.rate.Ended {
		return g, false
	}
	b.lastUsed = now
	b.refill(share, now)
	if b.tokens < 1 {
		return Grant{Wait: time.Duration((1 - b.tokens) / (b.effectiveRate() * share) * float64(time.Second))}, true
	}
	batch := max(1, int(b.effectiveRate()*batchWindow.Seconds()))
	b.lastGrant = now
	g.Count = min(int(b.tokens), batch)
	b.tokens -= float64(g.Count)
	return g, true
}

// Unused returns how many more requests than one the rate allowed since the last grant.
func (l *Ledger) Unused(subject string, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.subjects[subject]
	if !ok || b.rate.Ended {
		return 0
	}
	return max(0, now.Sub(b.lastGrant).Seconds()*b.effectiveRate()-1)
}

// Spend counts a request that was sent without a grant because it could not wait.
func (l *Ledger) Spend(subject string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, ok := l.subjects[subject]; ok {
		b.lastUsed = now
		b.tokens--
	}
}

// Forget drops subjects that were neither observed nor used for idleTimeout.
func (l *Ledger) Forget(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for subject, b := range l.subjects {
		if now.Sub(b.lastUsed) > idleTimeout {
			delete(l.subjects, subject)
			l.subjectCount.Add(-1)
		}
	}
}

// Count returns the number of subjects that have a limit.
func (l *Ledger) Count() (n int) {
	if l.Empty() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.subjects {
		if !b.rate.Ended {
			n++
		}
	}
	return n
}

// effectiveRate returns the rate at which tokens are granted.
func (b *bucket) effectiveRate() float64 { return max(minRate, b.rate.PerSecond) }

// capacity returns the largest number of tokens in the bucket.
func (b *bucket) capacity() float64 { return 1 + b.effectiveRate()*burstWindow.Seconds() }

// refill adds the tokens accrued since the last refill.
func (b *bucket) refill(share float64, now time.Time) {
	elapsed := max(0, now.Sub(b.lastRefill).Seconds())
	b.tokens = min(b.capacity(), b.tokens+elapsed*share*b.effectiveRate())
	b.lastRefill = now
}
