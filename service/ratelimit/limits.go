package ratelimit

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/quota"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
)

// Limits enforces the rate limits of replicas, which state in their answers how many requests a
// second they accept from all nodes together. Nodes exchange what they learn:
//
//	event                               sent to
//	an answer states a first limit      all nodes
//	an answer states another limit      the replica's owner
//	an answer states no limit any more  the owner, which notifies all nodes
//	a node wants to send                the owner, which answers with a grant
//
// The owner is chosen by rendezvous hashing among the working nodes. A node grants nothing if
// it considers another node the owner, or if it has just started and is not yet in
// contact with the others. A node that considers some nodes dead grants only the share of the
// rate that the remaining nodes are of all nodes, so that the owners on both sides of a network
// partition together grant no more than the rate.
type Limits struct {
	self    control.Member
	members *control.Members
	client  PeerClient
	// joined reports whether this node is in contact with the others.
	joined    func() bool
	ledger    *quota.Ledger
	log       *slog.Logger
	announcer Announcer
	counts    counts
	wg        sync.WaitGroup

	mu     locks.Mutex
	grants map[string]*grant // By Upstream.StartKey.
	owners map[string]control.Member
	view   *control.View // The view for which owners was computed.
}

// PeerClient calls other nodes; peer.Client implements it.
type PeerClient interface {
	CallWithin(ctx context.Context, within time.Duration, addr netip.AddrPort, method string, params, result any) error
	Notify(ctx context.Context, addr netip.AddrPort, method string, params any) error
}

// Announcer sends updates of replicas' rate limits to all other nodes.
type Announcer interface {
	AnnounceRate(n RateUpdate)
}

// grant is an owner's last answer: a grant or a refusal.
type grant struct {
	remaining int // Requests that may still be sent; 0 after a refusal.
	// until is when the grant expires, or after a refusal when to ask again.
	until time.Time
}

type counts struct {
	requested    atomic.Int64 // Grants requested from other nodes.
	denied       atomic.Int64 // Refusals, those by this node included.
	unanswered   atomic.Int64 // Calls not answered in time.
	unreadable   atomic.Int64 // Answers whose rate limit could not be decoded.
	withoutGrant atomic.Int64 // Requests sent without a grant because they could not wait.
}

const (
	// callTimeout bounds a call to an owner: a client's request waits for the grant, and
	// could be sent to another replica instead.
	callTimeout = 100 * time.Millisecond
	// unansweredBackoff is how long this node waits before asking again if the owner did not
	// answer in time, notOwnerBackoff if the node asked was not the owner: the membership
	// change that made another node the owner is still spreading.
	unansweredBackoff = 500 * time.Millisecond
	notOwnerBackoff   = 150 * time.Millisecond
	// minBackoff keeps a node from repeatedly asking for a token that is about to accrue.
	minBackoff = 20 * time.Millisecond
	// grantLifetime is how long a grant is valid: it is meant for requests that wait now.
	grantLifetime = 250 * time.Millisecond
	// unlimitedRate is the rate from which a limit counts as none: no replica takes more.
	unlimitedRate = 1e5
	// ownerKeyPrefix goes before a replica's start key when its owner is chosen.
	ownerKeyPrefix = "limit/"
	// ForgetInterval is how often Forget must be called.
	ForgetInterval = 2 * time.Second
)

// New returns a Limits that knows no replica. SetAnnouncer must be called before any other
// method.
func New(self control.Member, members *control.Members, client PeerClient, joined func() bool, log *slog.Logger) *Limits {
	return &Limits{
		self:    self,
		members: members,
		client:  client,
		joined:  joined,
		ledger:  quota.NewLedger(),
		log:     log,
		grants:  map[string]*grant{},
	}
}

// SetAnnouncer sets what sends updates to all other nodes.
func (l *Limits) SetAnnouncer(announcer Announcer) { l.announcer = announcer }

// Close waits for background calls.
func (l *Limits) Close() { l.wg.Wait() }

// ObserveResponse records the rate limit in an answer. An answer without a limit shows that the
// limit has ended only if its request ran and was sent after the limit was last observed:
// otherwise the request may have been under way since before the limit was set.
func (l *Limits) ObserveResponse(u *site.Upstream, response *site.ResponseInfo, sent, now time.Time) {
	switch {
	case response.Limit.Presence == site.RateUnreadable:
		l.counts.unreadable.Add(1)
		l.log.Debug("replica rate limit can't be decoded", "replica", u.ID)
	case response.Limit.Presence == site.RatePresent && response.Limit.PerSecond < unlimitedRate:
		l.observeRate(u, quota.Rate{PerSecond: response.Limit.PerSecond, ObservedAt: now}, now)
	case l.ledger.Empty() || response.NotRun:
	default:
		l.observeNoRate(u, sent, now)
	}
}

// observeRate records a limit that an answer states.
func (l *Limits) observeRate(u *site.Upstream, rate quota.Rate, now time.Time) {
	switch l.observe(u, rate, now) {
	case quota.ChangeSet:
		l.announcer.AnnounceRate(newRateUpdate(u, rate, now))
	case quota.ChangeUpdated:
		l.notifyOwner(u, rate)
	}
}

// observeNoRate records that an answer states no limit.
func (l *Limits) observeNoRate(u *site.Upstream, sent, now time.Time) {
	rate, limited := l.activeRate(u.StartKey())
	if !limited || !sent.After(rate.ObservedAt) {
		return
	}
	end := quota.Rate{Ended: true, ObservedAt: sent}
	if l.owner(u.StartKey()).Name != l.self.Name {
		l.notifyOwner(u, end)
		return
	}
	l.observeEnd(u, end, now)
}

// observeEnd records the end of a limit, as the replica's owner.
func (l *Limits) observeEnd(u *site.Upstream, end quota.Rate, now time.Time) {
	if l.observe(u, end, now) == quota.ChangeEnded {
		l.announcer.AnnounceRate(newRateUpdate(u, end, now))
	}
}

// ApplyUpdate records an update received from another node.
func (l *Limits) ApplyUpdate(update RateUpdate) {
	now := boottime.Now()
	l.observe(update.upstream(), update.rate(now), now)
}

// observe records an observation of a replica's limit and logs a change.
func (l *Limits) observe(u *site.Upstream, rate quota.Rate, now time.Time) quota.Change {
	change := l.ledger.Observe(u.StartKey(), rate, now)
	switch change {
	case quota.ChangeSet, quota.ChangeUpdated:
		l.log.Info("replica rate limit set", "replica", u.ID, "per_second", rate.PerSecond, "age", now.Sub(rate.ObservedAt), "owner", l.owner(u.StartKey()).Name)
	case quota.ChangeEnded:
		l.log.Info("replica rate limit removed", "replica", u.ID, "age", now.Sub(rate.ObservedAt))
	}
	return change
}

// owner returns the node that issues the grants for one start of a replica.
func (l *Limits) owner(start string) control.Member {
	view := l.members.View()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.view != view {
		l.view, l.owners = view, map[string]control.Member{}
	}
	owner, known := l.owners[start]
	if known {
		return owner
	}
	owner, ok := control.Owner(view.Working(), ownerKeyPrefix+start)
	if !ok {
		owner = l.self
	}
	l.owners[start] = owner
	return owner
}

// grantShare returns the share of a rate that this node grants: the share of nodes that it doesn't
// consider dead.
func (l *Limits) grantShare() float64 {
	all, dead := l.members.View().All(), 0
	for i := range all {
		if all[i].State == control.MemberDead {
			dead++
		}
	}
	return float64(max(1, len(all)-dead)) / float64(max(1, len(all)))
}

// State implements route.RateLimits.
func (l *Limits) State(start string, now time.Time) (s route.RateState) {
	rate, known := l.ledger.Rate(start)
	switch {
	case !known:
		return s
	case rate.Ended:
		return route.RateState{Ended: rate.ObservedAt}
	}
	s.Limited = true
	l.mu.Lock()
	if stored := l.grants[start]; stored != nil && stored.remaining == 0 {
		s.Wait = max(0, stored.until.Sub(now))
	}
	l.mu.Unlock()
	if s.Wait == 0 && l.owner(start).Name == l.self.Name {
		s.Unused = l.ledger.Unused(start, now)
	}
	return s
}

// activeRate returns the rate limit of one start of a replica; ok is false if it has none.
func (l *Limits) activeRate(start string) (rate quota.Rate, ok bool) {
	rate, known := l.ledger.Rate(start)
	return rate, known && !rate.Ended
}

// Forget drops expired grants and unused limits; it must be called every ForgetInterval.
func (l *Limits) Forget(context.Context) {
	now := boottime.Now()
	l.ledger.Forget(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	for start, stored := range l.grants {
		if now.After(stored.until) {
			delete(l.grants, start)
		}
	}
}

// Status is the part of the node's status about rate limits.
type Status struct {
	Limited      int   `json:"limited"`
	Requested    int64 `json:"asked"`
	Denied       int64 `json:"denied"`
	Unanswered   int64 `json:"unanswered"`
	Unreadable   int64 `json:"unreadable"`
	WithoutGrant int64 `json:"without_grant"`
}

// Status returns the number of limited replicas and the counters since the start.
func (l *Limits) Status() Status {
	return Status{
		Limited:      l.ledger.Count(),
		Requested:    l.counts.requested.Load(),
		Denied:       l.counts.denied.Load(),
		Unanswered:   l.counts.unanswered.Load(),
		Unreadable:   l.counts.unreadable.Load(),
		WithoutGrant: l.counts.withoutGrant.Load(),
	}
}
