package ratelimit

import (
	"context"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/quota"
	"github.com/drumpath/drumpath/pkg/site"
)

const (
	// MethodTake asks a replica's owner for a grant to send requests to it.
	MethodTake = "ratelimit.take"
	// MethodRate reports an observed rate limit to the replica's owner, MethodSpend a request
	// that was sent without a grant.
	MethodRate  = "ratelimit.rate"
	MethodSpend = "ratelimit.spend"
)

// RateUpdate is one node's observation of a replica's rate limit, as sent to other nodes. The
// time of the observation is sent as an age, as the nodes share no clock. The JSON names are
// short because one message carries many updates.
type RateUpdate struct {
	Replica string `json:"r"`
	// Started is when the replica was started, in Unix milliseconds; 0 if unknown. An update
	// applies only to that start of the replica.
	Started   int64   `json:"t,omitempty"`
	PerSecond float64 `json:"p"`
	// Ended means that the replica no longer states a limit.
	Ended bool `json:"e,omitempty"`
	// AgeMS is how many milliseconds ago this was observed.
	AgeMS int64 `json:"a"`
}

func newRateUpdate(u *site.Upstream, rate quota.Rate, now time.Time) RateUpdate {
	update := RateUpdate{Replica: u.ID, PerSecond: rate.PerSecond, Ended: rate.Ended, AgeMS: now.Sub(rate.ObservedAt).Milliseconds()}
	if !u.Started.IsZero() {
		update.Started = u.Started.UnixMilli()
	}
	return update
}

// upstream identifies the replica that the update is about.
func (update *RateUpdate) upstream() *site.Upstream {
	u := &site.Upstream{ID: update.Replica}
	if update.Started > 0 {
		u.Started = time.UnixMilli(update.Started)
	}
	return u
}

func (update *RateUpdate) rate(now time.Time) quota.Rate {
	age := time.Duration(max(0, update.AgeMS)) * time.Millisecond
	return quota.Rate{PerSecond: max(0, update.PerSecond), Ended: update.Ended, ObservedAt: now.Add(-age)}
}

// takeAnswer is an owner's answer to MethodTake.
type takeAnswer struct {
	// Count is how many requests may be sent; if 0, WaitMS is how long to wait before asking
	// again.
	Count  int   `json:"count"`
	WaitMS int64 `json:"wait_ms,omitempty"`
	// Rate is the owner's last observation, nil if it has none.
	Rate *RateUpdate `json:"rate,omitempty"`
}

// MaySend reports whether a request may be sent to a replica now. If the replica states
// a limit, it uses up a grant from the replica's owner, which may be this node.
func (l *Limits) MaySend(ctx context.Context, u *site.Upstream) bool {
	if l.ledger.Empty() {
		return true // Saves building the start key.
	}
	start := u.StartKey()
	rate, limited := l.activeRate(start)
	if !limited || l.useGrant(start) {
		return true
	}
	answer := l.requestGrant(ctx, u, rate)
	if answer.Rate != nil {
		l.observe(u, answer.Rate.rate(boottime.Now()), boottime.Now())
		if _, limited := l.activeRate(start); !limited {
			return true
		}
	}
	if answer.Count == 0 {
		l.counts.denied.Add(1)
	}
	l.storeGrant(start, answer)
	return answer.Count > 0
}

// useGrant uses one request of a stored grant, if any is left.
func (l *Limits) useGrant(start string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	stored := l.grants[start]
	if stored == nil || stored.remaining == 0 || !boottime.Now().Before(stored.until) {
		return false
	}
	if stored.remaining--; stored.remaining == 0 {
		delete(l.grants, start) // A stored grant with nothing remaining means a refusal.
	}
	return true
}

// storeGrant stores an owner's answer, less the one request that is sent now.
func (l *Limits) storeGrant(start string, answer takeAnswer) {
	now := boottime.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case answer.Count > 1:
		l.grants[start] = &grant{remaining: answer.Count - 1, until: now.Add(grantLifetime)}
	case answer.Count == 0:
		wait := max(minBackoff, time.Duration(answer.WaitMS)*time.Millisecond)
		l.grants[start] = &grant{until: now.Add(wait)}
	}
}

// requestGrant asks a replica's owner for a grant.
func (l *Limits) requestGrant(ctx context.Context, u *site.Upstream, rate quota.Rate) (answer takeAnswer) {
	owner := l.owner(u.StartKey())
	if owner.Name == l.self.Name {
		return l.issueGrant(u, boottime.Now())
	}
	l.counts.requested.Add(1)
	if err := l.client.CallWithin(ctx, callTimeout, owner.Peer, MethodTake, newRateUpdate(u, rate, boottime.Now()), &answer); err != nil {
		if ctx.Err() != nil {
			return takeAnswer{} // The client has disconnected; the owner may be fine.
		}
		l.counts.unanswered.Add(1)
		l.log.Debug("grant not received", "replica", u.ID, "owner", owner.Name, "err", err)
		return takeAnswer{WaitMS: unansweredBackoff.Milliseconds()}
	}
	return answer
}

// issueGrant grants requests to the replica if this node owns it.
func (l *Limits) issueGrant(u *site.Upstream, now time.Time) (answer takeAnswer) {
	start := u.StartKey()
	if rate, known := l.ledger.Rate(start); known {
		update := newRateUpdate(u, rate, now)
		answer.Rate = &update
	}
	if l.owner(start).Name != l.self.Name || !l.joined() {
		answer.WaitMS = notOwnerBackoff.Milliseconds()
		return answer
	}
	granted, limited := l.ledger.Take(start, l.grantShare(), now)
	if !limited {
		return answer
	}
	answer.Count, answer.WaitMS = granted.Count, granted.Wait.Milliseconds()
	return answer
}

// ServeTake answers a node that asks for a grant.
func (l *Limits) ServeTake(_ context.Context, update RateUpdate) (takeAnswer, error) {
	now := boottime.Now()
	u := update.upstream()
	l.observe(u, update.rate(now), now)
	return l.issueGrant(u, now), nil
}

// ServeRate records another node's observation of a replica that this node owns.
func (l *Limits) ServeRate(_ context.Context, update RateUpdate) (struct{}, error) {
	now := boottime.Now()
	u, rate := update.upstream(), update.rate(now)
	if rate.Ended {
		l.observeEnd(u, rate, now)
		return struct{}{}, nil
	}
	l.observe(u, rate, now)
	return struct{}{}, nil
}

// ServeSpend counts a request that another node sent without a grant.
func (l *Limits) ServeSpend(_ context.Context, update RateUpdate) (struct{}, error) {
	l.ledger.Spend(update.upstream().StartKey(), boottime.Now())
	return struct{}{}, nil
}

// Spend counts a request that is sent to a replica without a grant because it can't wait.
func (l *Limits) Spend(u *site.Upstream) {
	rate, limited := l.activeRate(u.StartKey())
	if !limited {
		return
	}
	l.counts.withoutGrant.Add(1)
	if l.owner(u.StartKey()).Name == l.self.Name {
		l.ledger.Spend(u.StartKey(), boottime.Now())
		return
	}
	l.sendToOwner(u, MethodSpend, rate)
}

// notifyOwner reports an observation to the replica's owner, unless that is this node.
func (l *Limits) notifyOwner(u *site.Upstream, rate quota.Rate) {
	if l.owner(u.StartKey()).Name != l.self.Name {
		l.sendToOwner(u, MethodRate, rate)
	}
}

// sendToOwner sends an update to the replica's owner in the background.
func (l *Limits) sendToOwner(u *site.Upstream, method string, rate quota.Rate) {
	owner := l.owner(u.StartKey())
	update := newRateUpdate(u, rate, boottime.Now())
	l.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if err := l.client.Notify(ctx, owner.Peer, method, update); err != nil {
			// No retry: the replica's next answer causes another update.
			l.log.Debug("rate limit owner not notified", "method", method, "replica", update.Replica, "err", err)
		}
	})
}
