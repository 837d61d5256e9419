package ratelimit

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/site"
)

// fleet simulates nodes that send to one replica with a rate limit, in virtual time.
// Announcements arrive late or are lost; calls take some milliseconds.
type fleet struct {
	nodes  []*Limits
	byPeer map[netip.AddrPort]*Limits
	sides  [2]*control.Members // The membership as seen by each side of a partition.
	delay  func() time.Duration

	mu            sync.Mutex
	rng           *rand.Rand
	replica       *site.Upstream
	limit         float64 // Negative for none.
	partitioned   bool    // The sides can't reach each other.
	down          map[string]bool
	sentAt        []time.Time
	grantCalls    int
	announcements int
	notJoined     map[string]bool // Nodes not yet in contact with the others.
}

const (
	announcementLoss = 0.05
	callLatency      = 4 * time.Millisecond
	requestDuration  = 60 * time.Millisecond
)

func newFleet(n int, delay func() time.Duration) *fleet {
	f := &fleet{
		byPeer:    map[netip.AddrPort]*Limits{},
		delay:     delay,
		rng:       rand.New(rand.NewPCG(uint64(n), 11)),
		replica:   &site.Upstream{ID: "r1", Started: time.UnixMilli(1000)},
		limit:     -1,
		down:      map[string]bool{},
		notJoined: map[string]bool{},
	}
	var members []control.Member
	for i := range n {
		members = append(members, control.Member{
			Name: fmt.Sprint("n", i), DataHall: fmt.Sprint("h", i%3), Incarnation: 1,
			Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i / 250), byte(1 + i%250)}), 1),
		})
	}
	for i := range f.sides {
		f.sides[i] = control.NewMembers(members[0], time.Second, nil, f.rng)
		f.sides[i].Merge(members[1:], time.Now())
	}
	for i, m := range members {
		f.startNode(m, i%len(f.sides))
	}
	return f
}

// startNode starts a node that doesn't know the replica's limit.
func (f *fleet) startNode(m control.Member, side int) *Limits {
	joined := func() bool { return !f.contains(f.notJoined, m.Name) }
	l := New(m, f.sides[side], &delayedClient{f, m.Name}, joined, slog.New(slog.DiscardHandler))
	l.SetAnnouncer(&delayedAnnouncer{f, l})
	f.mu.Lock()
	defer f.mu.Unlock()
	if previous := f.byPeer[m.Peer]; previous != nil {
		for i := range f.nodes {
			if f.nodes[i] == previous {
				f.nodes[i] = l
			}
		}
	} else {
		f.nodes = append(f.nodes, l)
	}
	f.byPeer[m.Peer] = l
	return l
}

func (f *fleet) contains(set map[string]bool, name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return set[name]
}

// reachable reports whether messages from one node reach another.
func (f *fleet) reachable(from, to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.down[from] && !f.down[to] && (!f.partitioned || sideOf(from) == sideOf(to))
}

func sideOf(name string) (side int) {
	_, _ = fmt.Sscanf(name, "n%d", &side) // All names have this form.
	return side % 2
}

type delayedAnnouncer struct {
	f    *fleet
	from *Limits
}

func (a *delayedAnnouncer) AnnounceRate(update RateUpdate) {
	a.f.mu.Lock()
	a.f.announcements++
	nodes := append([]*Limits(nil), a.f.nodes...)
	a.f.mu.Unlock()
	for _, l := range nodes {
		if l == a.from || !a.f.reachable(a.from.self.Name, l.self.Name) || a.f.random() < announcementLoss {
			continue
		}
		time.AfterFunc(a.f.delay(), func() { l.ApplyUpdate(update) })
	}
}

func (f *fleet) random() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64()
}

type delayedClient struct {
	f    *fleet
	from string
}

var errUnreachable = errors.New("silent")

func (c *delayedClient) CallWithin(ctx context.Context, within time.Duration, addr netip.AddrPort, _ string, params, result any) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	to := c.f.nodeAt(addr)
	if !c.f.reachable(c.from, to.self.Name) {
		time.Sleep(within)
		return errUnreachable
	}
	time.Sleep(callLatency)
	a, err := to.ServeTake(ctx, params.(RateUpdate))
	*result.(*takeAnswer) = a
	c.f.mu.Lock()
	c.f.grantCalls++
	c.f.mu.Unlock()
	return err
}

func (c *delayedClient) Notify(ctx context.Context, addr netip.AddrPort, method string, params any) (err error) {
	to := c.f.nodeAt(addr)
	if !c.f.reachable(c.from, to.self.Name) {
		return errUnreachable
	}
	time.Sleep(callLatency)
	switch method {
	case MethodRate:
		_, err = to.ServeRate(ctx, params.(RateUpdate))
	case MethodSpend:
		_, err = to.ServeSpend(ctx, params.(RateUpdate))
	}
	return err
}

func (f *fleet) nodeAt(addr netip.AddrPort) *Limits {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byPeer[addr]
}

// setLimit sets the limit that the replica states from now on; negative for none.
func (f *fleet) setLimit(limit float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limit = limit
}

// sendLoad sends requests for the replica to random nodes, at a rate in requests a second.
func (f *fleet) sendLoad(rate float64, d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(f.random() * 2 / rate * float64(time.Second)))
		f.mu.Lock()
		l := f.nodes[f.rng.IntN(len(f.nodes))]
		u := *f.replica
		off := f.down[l.self.Name]
		f.mu.Unlock()
		if off {
			continue
		}
		go f.send(l, &u)
	}
	time.Sleep(time.Second)
}

func (f *fleet) send(l *Limits, u *site.Upstream) {
	now := time.Now()
	if l.State(u.StartKey(), now).Wait > 0 || !l.MaySend(context.Background(), u) {
		return // It goes to another replica.
	}
	sent := time.Now()
	f.mu.Lock()
	f.sentAt = append(f.sentAt, sent)
	limit := f.limit
	f.mu.Unlock()
	time.Sleep(requestDuration)
	answer := site.ResponseInfo{}
	if limit >= 0 {
		answer.Limit = site.NewRateLimit(limit)
	}
	l.ObserveResponse(u, &answer, sent, time.Now())
}

// busiestWindow returns the most requests that the replica got in any 4 s since a time, and the
// total.
func (f *fleet) busiestWindow(from time.Time) (busiest, total int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, at := range f.sentAt {
		if at.Before(from) {
			continue
		}
		total++
		n := 0
		for _, later := range f.sentAt[i:] {
			if later.Sub(at) < 4*time.Second {
				n++
			}
		}
		busiest = max(busiest, n)
	}
	return busiest, total
}

func (f *fleet) sentCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sentAt)
}

// allowedPerWindow returns the most requests that all nodes together may send in 4 s.
func allowedPerWindow(rate float64) float64 { return 6*rate + 5 }

func delayUpTo(ms int) func() time.Duration {
	return func() time.Duration { return time.Duration(1+rand.IntN(ms)) * time.Millisecond }
}

// Guards against nodes exceeding the limit together, or leaving most of it unused. The load is
// a usual one or a burst. Most nodes know the limit only from announcements, which arrive up
// to 1.3 s late or not at all.
func TestLimitHoldsInFleetsOfAnySize(t *testing.T) {
	for _, nodes := range []int{7, 71, 295, 900} {
		for _, c := range []struct {
			limit, load float64
		}{{0.3, 5}, {1, 5}, {1.7, 20}, {6.5, 20}, {30, 40}} {
			t.Run(fmt.Sprint(nodes, "/", c.limit), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(nodes, delayUpTo(1300))
					f.sendLoad(c.load, 2*time.Second)
					f.setLimit(c.limit)
					// The limit has 3 s to become known to the nodes.
					limitKnown, duration := time.Now().Add(3*time.Second), 30*time.Second
					f.sendLoad(c.load, 3*time.Second+duration)
					busiest, total := f.busiestWindow(limitKnown)
					t.Logf("%d in the worst 4 s, %.1f allowed, %.2f of the limit used, %d calls, %d announcements",
						busiest, allowedPerWindow(c.limit), float64(total)/(c.limit*duration.Seconds()), f.grantCalls, f.announcements)
					assert.Assert(t, float64(busiest) <= allowedPerWindow(c.limit))
					assert.Assert(t, float64(total) >= 0.3*c.limit*duration.Seconds())
					assert.Assert(t, f.announcements <= 4*int(c.load), "%d announcements", f.announcements)
					f.setLimit(-1)
					f.sendLoad(c.load, 15*time.Second)
					for _, l := range f.nodes {
						// A node that missed the announcement learns of the end as it asks.
						assert.Assert(t, l.MaySend(t.Context(), f.replica))
					}
				})
			})
		}
	}
}

// A partition splits the fleet in two halves, each of which considers the other's nodes dead
// after 2 s; 20 s later it heals. Each half has an owner, and both together must keep the limit.
func TestLimitHoldsDuringPartition(t *testing.T) {
	for _, nodes := range []int{7, 71, 295} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const limit = 6.0
				f := newFleet(nodes, delayUpTo(200))
				f.setLimit(limit)
				f.sendLoad(40, 5*time.Second)
				start := time.Now()
				f.mu.Lock()
				f.partitioned = true
				f.mu.Unlock()
				f.sendLoad(40, 2*time.Second)
				f.setOtherSide(control.MemberDead, 1)
				f.sendLoad(40, 20*time.Second)
				f.mu.Lock()
				f.partitioned = false
				f.mu.Unlock()
				f.setOtherSide(control.MemberAlive, 2)
				f.sendLoad(40, 10*time.Second)
				busiest, total := f.busiestWindow(start)
				t.Logf("%d in the worst 4 s, %.0f allowed, %d in all", busiest, allowedPerWindow(limit), total)
				assert.Assert(t, float64(busiest) <= allowedPerWindow(limit))
				assert.Assert(t, float64(total) >= 0.3*limit*32)
			})
		})
	}
}

// setOtherSide gives the nodes of each side the state in which the other side sees them.
func (f *fleet) setOtherSide(state control.MemberState, incarnation uint64) {
	for side, m := range f.sides {
		var members []control.Member
		for _, l := range f.nodes {
			if sideOf(l.self.Name) != side {
				other := l.self
				other.State, other.Incarnation = state, incarnation
				members = append(members, other)
			}
		}
		m.Merge(members, time.Now())
	}
}

// The replica's owner fails, which all nodes know 2 s later. Then it restarts with an empty
// ledger and is in contact with the others only after a second.
func TestLimitHoldsWhenOwnerRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 3.0
		f := newFleet(9, delayUpTo(200))
		f.setLimit(limit)
		f.sendLoad(40, 4*time.Second)
		start := time.Now()
		owner := f.nodes[0].owner(f.replica.StartKey())
		f.mu.Lock()
		f.down[owner.Name] = true
		f.mu.Unlock()
		f.sendLoad(40, 2*time.Second)
		dead := owner
		dead.State = control.MemberDead
		for _, m := range f.sides {
			m.Merge([]control.Member{dead}, time.Now())
		}
		assert.Assert(t, f.nodes[0].owner(f.replica.StartKey()).Name != owner.Name)
		before := f.sentCount()
		f.sendLoad(40, 8*time.Second)
		assert.Assert(t, f.sentCount()-before >= 8, "no other owner issues grants, %d sent", f.sentCount()-before)
		f.mu.Lock()
		delete(f.down, owner.Name)
		f.notJoined[owner.Name] = true
		f.mu.Unlock()
		restarted := owner
		restarted.Incarnation++
		f.startNode(restarted, sideOf(restarted.Name))
		for _, m := range f.sides {
			m.Merge([]control.Member{restarted}, time.Now())
		}
		f.sendLoad(40, time.Second)
		f.mu.Lock()
		delete(f.notJoined, owner.Name)
		f.mu.Unlock()
		f.sendLoad(40, 10*time.Second)
		busiest, total := f.busiestWindow(start)
		t.Logf("%d in the worst 4 s, %.0f allowed, %d in all", busiest, allowedPerWindow(limit), total)
		assert.Assert(t, float64(busiest) <= allowedPerWindow(limit))
	})
}

// A replica that restarts under its ID without a limit must not be held to the limit of its
// earlier start, of which late announcements still arrive.
func TestLimitOfEarlierReplicaStartIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7, delayUpTo(1300))
		f.setLimit(0.5)
		f.sendLoad(20, 5*time.Second)
		f.setLimit(-1)
		f.mu.Lock()
		f.replica = &site.Upstream{ID: "r1", Started: time.UnixMilli(2000)}
		f.mu.Unlock()
		before := f.sentCount()
		f.sendLoad(20, 5*time.Second)
		sent := f.sentCount() - before
		assert.Assert(t, sent >= 80, "%d of 100 sent", sent)
	})
}

// Orders don't wait for a grant, but must count against the limit.
func TestSendWithoutGrantCountsAgainstLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7, delayUpTo(10))
		f.setLimit(2)
		f.sendLoad(20, 4*time.Second)
		before := f.sentCount()
		for range 8 {
			f.nodes[0].Spend(f.replica)
		}
		f.sendLoad(20, 4*time.Second)
		assert.Assert(t, f.sentCount()-before <= 5, "%d sent beside 8 orders where 8 are allowed in 4 s", f.sentCount()-before)
	})
}

// A client that disconnects while its node asks for a grant must not count as an owner that
// didn't answer, which would keep the node from asking again for unansweredBackoff.
func TestCanceledGrantRequestDoesNotBlockReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7, delayUpTo(10))
		f.setLimit(8)
		f.sendLoad(20, 4*time.Second)
		l := f.nodes[0]
		if l.owner(f.replica.StartKey()).Name == l.self.Name {
			l = f.nodes[1]
		}
		canceled, cancel := context.WithCancel(t.Context())
		cancel()
		assert.Assert(t, !l.MaySend(canceled, f.replica))
		time.Sleep(minBackoff)
		s := l.State(f.replica.StartKey(), time.Now())
		assert.Assert(t, s.Limited && s.Wait == 0, "not asked again for %v", s.Wait)
	})
}

// At a high rate one grant covers several requests. A node that had used up such a grant took
// it for a refusal and sent the replica nothing until the grant would have expired.
func TestUsedUpGrantDoesNotBlockReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7, delayUpTo(10))
		f.setLimit(400)
		f.sendLoad(20, 4*time.Second)
		l, start := f.nodes[0], f.replica.StartKey()
		for range 40 {
			assert.Assert(t, l.MaySend(t.Context(), f.replica))
			s := l.State(start, time.Now())
			assert.Equal(t, s.Wait, time.Duration(0))
		}
	})
}
