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
	"github.com/drumpath/drumpath/pkg/quota"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
)

// Limits is what this node and the others know of replicas that have named how many requests
// a second they take from all nodes together.
//
//	learnt by                                told to
//	an answer that names a rate, the first   all nodes
//	one that names another rate              the replica's owner
//	one that names none any more             the owner, which tells all nodes
//	wanting to send                          the owner, which gives a grant
//
// The owner is found by hashing among the nodes that are taken to work. One that others take
// for it though it takes another one for it gives nothing; nor does one that has just started
// and has not met the others. Nodes that are cut off from some others give out that part of the rate
// that those which they still hear are of all: cut apart, all parts add up to no more than
// the rate.
type Limits struct {
	self    control.Member
	members *control.Members
	client  Caller
	// met says whether the node has met the others.
	met    func() bool
	ledger *quota.Ledger
	log    *slog.Logger
	teller Announcer
	counts counts
	wg     sync.WaitGroup

	mu     sync.Mutex
	grants map[string]*grant // By start of a replica.
	owners map[string]control.Member
	view   *control.View // Of which owners are.
}

// Caller calls other nodes.
type Caller interface {
	CallWithin(ctx context.Context, within time.Duration, addr netip.AddrPort, method string, params, result any) error
	Notify(ctx context.Context, addr netip.AddrPort, method string, params any) error
}

// Announcer tells all other nodes what is known of the rate that a start of a replica names.
type Announcer interface {
	AnnounceRate(n RateUpdate)
}

// grant is what this node was given by an owner, or not.
type grant struct {
	count int // Requests that may still be sent.
	// until is for how long they may, or where there are none, when to ask again.
	until time.Time
}

type counts struct {
	asked    atomic.Int64 // For grants, of other nodes.
	denied   atomic.Int64 // Also by this node itself.
	silent   atomic.Int64 // Calls that were not answered in time.
	unread   atomic.Int64 // Rates that could not be read.
	enforced atomic.Int64 // Sent without a grant, as it could not wait.
}

const (
	// askTerm bounds a call for a grant: its request waits, and others may be sent elsewhere.
	askTerm = 100 * time.Millisecond
	// silentWait is for how long an owner that did not answer in time is not asked again by
	// this node, and wrongWait one that knows of another owner: news of that are under way.
	silentWait = 500 * time.Millisecond
	wrongWait  = 150 * time.Millisecond
	// leastWait keeps a node from asking many times for what becomes free at once.
	leastWait = 20 * time.Millisecond
	// grantTerm is for how long a grant holds: it is meant for what waits now.
	grantTerm = 250 * time.Millisecond
	// mostNamed is from what rate on a replica names none: it is more than any takes.
	mostNamed = 1e5
	// ownerDuty names the duty of dividing what a replica takes.
	ownerDuty = "limit/"
	// ForgetInterval is how often Forget is to be called.
	ForgetInterval = 2 * time.Second
)

// New returns what a node knows, which is nothing yet. SetAnnouncer is to be called before anything
// else.
func New(self control.Member, m *control.Members, c Caller, met func() bool, log *slog.Logger) *Limits {
	return &Limits{
		self:    self,
		members: m,
		client:  c,
		met:     met,
		ledger:  quota.NewLedger(),
		log:     log,
		grants:  map[string]*grant{},
	}
}

// SetAnnouncer says by whom other nodes are told.
func (l *Limits) SetAnnouncer(t Announcer) { l.teller = t }

// Close waits for what is under way.
func (l *Limits) Close() { l.wg.Wait() }

// ObserveAnswer takes in what an answer says. Only one to a request that ran, and that was sent after
// the rate was last seen, shows that there is none any more: others may have been under way
// since before it was named.
func (l *Limits) ObserveAnswer(u *site.Upstream, a *site.ResponseInfo, sent, now time.Time) {
	switch {
	case a.Limit.Presence == site.RateUnreadable:
		l.counts.unread.Add(1)
		l.log.Debug("replica rate limit can't be decoded", "replica", u.ID)
	case a.Limit.Presence == site.RatePresent && a.Limit.PerSecond < mostNamed:
		l.named(u, quota.Rate{PerSecond: a.Limit.PerSecond, At: now}, now)
	case l.ledger.Empty() || a.NotRun:
	default:
		l.unnamed(u, sent, now)
	}
}

// named notes a rate that an answer names.
func (l *Limits) named(u *site.Upstream, r quota.Rate, now time.Time) {
	switch l.note(u, r, now) {
	case quota.ChangeBegun:
		l.teller.AnnounceRate(newsOf(u, r, now))
	case quota.ChangeRate:
		l.tellOwner(u, r)
	}
}

// unnamed notes that an answer names no rate.
func (l *Limits) unnamed(u *site.Upstream, sent, now time.Time) {
	r, limited := l.limited(u.StartKey())
	if !limited || !sent.After(r.At) {
		return
	}
	end := quota.Rate{Ended: true, At: sent}
	if l.owner(u.StartKey()).Name != l.self.Name {
		l.tellOwner(u, end)
		return
	}
	l.ended(u, end, now)
}

// ended takes an end in, as the replica's owner.
func (l *Limits) ended(u *site.Upstream, end quota.Rate, now time.Time) {
	if l.note(u, end, now) == quota.ChangeEnded {
		l.teller.AnnounceRate(newsOf(u, end, now))
	}
}

// ApplyUpdate takes in what another node tells of the rate that a start of a replica names.
func (l *Limits) ApplyUpdate(n RateUpdate) {
	now := boottime.Now()
	l.note(n.upstream(), n.rate(now), now)
}

// note takes in what was seen of a replica, and logs what that changes.
func (l *Limits) note(u *site.Upstream, r quota.Rate, now time.Time) quota.Change {
	change := l.ledger.Observe(u.StartKey(), r, now)
	switch change {
	case quota.ChangeBegun, quota.ChangeRate:
		l.log.Info("replica rate limit set", "replica", u.ID, "per_second", r.PerSecond, "age", now.Sub(r.At), "owner", l.owner(u.StartKey()).Name)
	case quota.ChangeEnded:
		l.log.Info("replica rate limit removed", "replica", u.ID, "age", now.Sub(r.At))
	}
	return change
}

// owner is the node that gives a grant to send a start of a replica something.
func (l *Limits) owner(start string) control.Member {
	view := l.members.View()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.view != view {
		l.view, l.owners = view, map[string]control.Member{}
	}
	m, known := l.owners[start]
	if known {
		return m
	}
	m, ok := control.Owner(view.Working, ownerDuty+start)
	if !ok {
		m = l.self
	}
	l.owners[start] = m
	return m
}

// part is the part of rates that this node gives out: as many of all nodes as it takes to be
// there.
func (l *Limits) part() float64 {
	all, dead := l.members.View().All, 0
	for i := range all {
		if all[i].State == control.MemberDead {
			dead++
		}
	}
	return float64(max(1, len(all)-dead)) / float64(max(1, len(all)))
}

// State implements route.RateLimits.
func (l *Limits) State(start string, now time.Time) (s route.RateState) {
	r, known := l.ledger.Rate(start)
	switch {
	case !known:
		return s
	case r.Ended:
		return route.RateState{Ended: r.At}
	}
	s.Limited = true
	l.mu.Lock()
	if v := l.grants[start]; v != nil && v.count == 0 {
		s.Wait = max(0, v.until.Sub(now))
	}
	l.mu.Unlock()
	if s.Wait == 0 && l.owner(start).Name == l.self.Name {
		s.Unused = l.ledger.Unused(start, now)
	}
	return s
}

// limited is the rate that a start of a replica names; ok is false if it names none.
func (l *Limits) limited(start string) (r quota.Rate, ok bool) {
	r, known := l.ledger.Rate(start)
	return r, known && !r.Ended
}

// Forget drops what no longer matters; it is to be called each ForgetInterval.
func (l *Limits) Forget(context.Context) {
	now := boottime.Now()
	l.ledger.Forget(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	for start, v := range l.grants {
		if now.After(v.until) {
			delete(l.grants, start)
		}
	}
}

// Status is what is served of it.
type Status struct {
	Limited  int   `json:"limited"`
	Asked    int64 `json:"asked"`
	Denied   int64 `json:"denied"`
	Silent   int64 `json:"unanswered"`
	Unread   int64 `json:"unreadable"`
	Enforced int64 `json:"without_grant"`
}

// Status counts what is known and was done.
func (l *Limits) Status() Status {
	return Status{
		Limited:  l.ledger.Count(),
		Asked:    l.counts.asked.Load(),
		Denied:   l.counts.denied.Load(),
		Silent:   l.counts.silent.Load(),
		Unread:   l.counts.unread.Load(),
		Enforced: l.counts.enforced.Load(),
	}
}
