package ratelimit

import (
	"context"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/quota"
	"github.com/drumpath/drumpath/pkg/site"
)

const (
	// MethodTake asks a replica's owner for a grant to send it something.
	MethodTake = "ratelimit.take"
	// MethodRate tells an owner what was seen of its replica, MethodSpend that something was
	// sent without a grant.
	MethodRate  = "ratelimit.rate"
	MethodSpend = "ratelimit.spend"
)

// RateUpdate is what one node tells others of the rate that a replica names. Times are told as
// ages, as nodes have no clock in common. Its JSON names are short, as many go in one note.
type RateUpdate struct {
	Replica string `json:"r"`
	// Started is the replica's start that is meant, in Unix milliseconds; 0 if it is not known.
	Started   int64   `json:"t,omitempty"`
	PerSecond float64 `json:"p"`
	// Ended says that the replica names none any more.
	Ended bool `json:"e,omitempty"`
	// AgeMS is how many milliseconds ago that was seen.
	AgeMS int64 `json:"a"`
}

func newsOf(u *site.Upstream, r quota.Rate, now time.Time) RateUpdate {
	n := RateUpdate{Replica: u.ID, PerSecond: r.PerSecond, Ended: r.Ended, AgeMS: now.Sub(r.At).Milliseconds()}
	if !u.Started.IsZero() {
		n.Started = u.Started.UnixMilli()
	}
	return n
}

// upstream names the replica that news are of.
func (n *RateUpdate) upstream() *site.Upstream {
	u := &site.Upstream{ID: n.Replica}
	if n.Started > 0 {
		u.Started = time.UnixMilli(n.Started)
	}
	return u
}

func (n *RateUpdate) rate(now time.Time) quota.Rate {
	age := time.Duration(max(0, n.AgeMS)) * time.Millisecond
	return quota.Rate{PerSecond: max(0, n.PerSecond), Ended: n.Ended, At: now.Add(-age)}
}

// takeAnswer is an owner's.
type takeAnswer struct {
	// Count is how many requests may be sent, WaitMS when to ask again if none may.
	Count  int   `json:"count"`
	WaitMS int64 `json:"wait_ms,omitempty"`
	// Rate is what the owner knows, if that is something.
	Rate *RateUpdate `json:"rate,omitempty"`
}

// MaySend asks whether a request may be sent to a replica now. Where it names no limit it
// may; else its owner, or this node itself, gives a grant or says when to ask again.
func (l *Limits) MaySend(ctx context.Context, u *site.Upstream) bool {
	if l.ledger.Empty() {
		return true // No start has to be named.
	}
	start := u.StartKey()
	rate, limited := l.limited(start)
	if !limited || l.useGrant(start) {
		return true
	}
	a := l.ask(ctx, u, rate)
	if a.Rate != nil {
		l.note(u, a.Rate.rate(boottime.Now()), boottime.Now())
		if _, limited := l.limited(start); !limited {
			return true
		}
	}
	if a.Count == 0 {
		l.counts.denied.Add(1)
	}
	l.putGrant(start, a)
	return a.Count > 0
}

// useGrant takes one of what was given before.
func (l *Limits) useGrant(start string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.grants[start]
	if v == nil || v.count == 0 || !boottime.Now().Before(v.until) {
		return false
	}
	if v.count--; v.count == 0 {
		delete(l.grants, start) // Else it would count as a refusal.
	}
	return true
}

// putGrant notes what was given, but for the one that is used at once.
func (l *Limits) putGrant(start string, a takeAnswer) {
	now := boottime.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case a.Count > 1:
		l.grants[start] = &grant{count: a.Count - 1, until: now.Add(grantTerm)}
	case a.Count == 0:
		wait := max(leastWait, time.Duration(a.WaitMS)*time.Millisecond)
		l.grants[start] = &grant{until: now.Add(wait)}
	}
}

// ask asks a replica's owner for a grant.
func (l *Limits) ask(ctx context.Context, u *site.Upstream, rate quota.Rate) (a takeAnswer) {
	owner := l.owner(u.StartKey())
	if owner.Name == l.self.Name {
		return l.give(u, boottime.Now())
	}
	l.counts.asked.Add(1)
	if err := l.client.CallWithin(ctx, askTerm, owner.Peer, MethodTake, newsOf(u, rate, boottime.Now()), &a); err != nil {
		if ctx.Err() != nil {
			return takeAnswer{} // Its client has left, which says nothing of the owner.
		}
		l.counts.silent.Add(1)
		l.log.Debug("grant not received", "replica", u.ID, "owner", owner.Name, "err", err)
		return takeAnswer{WaitMS: silentWait.Milliseconds()}
	}
	return a
}

// give gives a grant if this node owns the replica.
func (l *Limits) give(u *site.Upstream, now time.Time) (a takeAnswer) {
	start := u.StartKey()
	if rate, known := l.ledger.Rate(start); known {
		news := newsOf(u, rate, now)
		a.Rate = &news
	}
	if l.owner(start).Name != l.self.Name || !l.met() {
		a.WaitMS = wrongWait.Milliseconds()
		return a
	}
	g, limited := l.ledger.Take(start, l.part(), now)
	if !limited {
		return a
	}
	a.Count, a.WaitMS = g.Count, g.Wait.Milliseconds()
	return a
}

// ServeTake answers a node that asks for a grant.
func (l *Limits) ServeTake(_ context.Context, n RateUpdate) (takeAnswer, error) {
	now := boottime.Now()
	u := n.upstream()
	l.note(u, n.rate(now), now)
	return l.give(u, now), nil
}

// ServeRate takes in what a node has seen of a replica that this one owns.
func (l *Limits) ServeRate(_ context.Context, n RateUpdate) (struct{}, error) {
	now := boottime.Now()
	u, r := n.upstream(), n.rate(now)
	if r.Ended {
		l.ended(u, r, now)
		return struct{}{}, nil
	}
	l.note(u, r, now)
	return struct{}{}, nil
}

// ServeSpend counts what a node sent without a grant.
func (l *Limits) ServeSpend(_ context.Context, n RateUpdate) (struct{}, error) {
	l.ledger.Spend(n.upstream().StartKey(), boottime.Now())
	return struct{}{}, nil
}

// Spend counts something that is sent to a replica without a grant, as it can't wait.
func (l *Limits) Spend(u *site.Upstream) {
	rate, limited := l.limited(u.StartKey())
	if !limited {
		return
	}
	l.counts.enforced.Add(1)
	if l.owner(u.StartKey()).Name == l.self.Name {
		l.ledger.Spend(u.StartKey(), boottime.Now())
		return
	}
	l.notify(u, MethodSpend, rate)
}

// tellOwner tells a replica's owner what was seen.
func (l *Limits) tellOwner(u *site.Upstream, r quota.Rate) {
	if l.owner(u.StartKey()).Name != l.self.Name {
		l.notify(u, MethodRate, r)
	}
}

// notify tells a replica's owner something, without waiting for it.
func (l *Limits) notify(u *site.Upstream, method string, r quota.Rate) {
	owner := l.owner(u.StartKey())
	news := newsOf(u, r, boottime.Now())
	l.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), askTerm)
		defer cancel()
		if err := l.client.Notify(ctx, owner.Peer, method, news); err != nil {
			// The next answer of the replica tells it again.
			l.log.Debug("rate limit owner not notified", "method", method, "replica", news.Replica, "err", err)
		}
	})
}
