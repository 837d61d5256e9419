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

// fleet is nodes before one replica that names a limit, in virtual time. What nodes tell all
// others comes late or not at all; calls take some milliseconds.
type fleet struct {
	nodes  []*Limits
	byPeer map[netip.AddrPort]*Limits
	sides  [2]*control.Members // What the nodes of each of two sides know of all.
	late   func() time.Duration

	mu       sync.Mutex
	rnd      *rand.Rand
	replica  *site.Upstream
	named    float64 // Below 0 for none.
	cut      bool    // The sides don't hear each other.
	down     map[string]bool
	came     []time.Time
	asked    int
	told     int
	stranger map[string]bool // Nodes that have not met the others.
}

const (
	lostNews = 0.05
	callTime = 4 * time.Millisecond
	runTime  = 60 * time.Millisecond
)

func newFleet(n int, late func() time.Duration) *fleet {
	f := &fleet{
		byPeer:   map[netip.AddrPort]*Limits{},
		late:     late,
		rnd:      rand.New(rand.NewPCG(uint64(n), 11)),
		replica:  &site.Upstream{ID: "r1", Started: time.UnixMilli(1000)},
		named:    -1,
		down:     map[string]bool{},
		stranger: map[string]bool{},
	}
	var list []control.Member
	for i := range n {
		list = append(list, control.Member{
			Name: fmt.Sprint("n", i), DataHall: fmt.Sprint("h", i%3), Incarnation: 1,
			Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i / 250), byte(1 + i%250)}), 1),
		})
	}
	for i := range f.sides {
		f.sides[i] = control.NewMembers(list[0], time.Second, nil, f.rnd)
		f.sides[i].Merge(list[1:], time.Now())
	}
	for i, m := range list {
		f.start(m, i%len(f.sides))
	}
	return f
}

// start starts a node that knows nothing of the replica.
func (f *fleet) start(m control.Member, side int) *Limits {
	met := func() bool { return !f.is(f.stranger, m.Name) }
	l := New(m, f.sides[side], &lateCalls{f, m.Name}, met, slog.New(slog.DiscardHandler))
	l.SetAnnouncer(&lateNews{f, l})
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.byPeer[m.Peer]; old != nil {
		for i := range f.nodes {
			if f.nodes[i] == old {
				f.nodes[i] = l
			}
		}
	} else {
		f.nodes = append(f.nodes, l)
	}
	f.byPeer[m.Peer] = l
	return l
}

func (f *fleet) is(set map[string]bool, name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return set[name]
}

// hears says whether what one node sends reaches another.
func (f *fleet) hears(from, to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.down[from] && !f.down[to] && (!f.cut || sideOf(from) == sideOf(to))
}

func sideOf(name string) (side int) {
	_, _ = fmt.Sscanf(name, "n%d", &side) // All names are of that form.
	return side % 2
}

type lateNews struct {
	f    *fleet
	from *Limits
}

func (t *lateNews) AnnounceRate(news RateUpdate) {
	t.f.mu.Lock()
	t.f.told++
	nodes := append([]*Limits(nil), t.f.nodes...)
	t.f.mu.Unlock()
	for _, l := range nodes {
		if l == t.from || !t.f.hears(t.from.self.Name, l.self.Name) || t.f.chance() < lostNews {
			continue
		}
		time.AfterFunc(t.f.late(), func() { l.ApplyUpdate(news) })
	}
}

func (f *fleet) chance() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rnd.Float64()
}

type lateCalls struct {
	f    *fleet
	from string
}

var errSilent = errors.New("silent")

func (c *lateCalls) CallWithin(ctx context.Context, within time.Duration, addr netip.AddrPort, _ string, params, result any) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	to := c.f.nodeAt(addr)
	if !c.f.hears(c.from, to.self.Name) {
		time.Sleep(within)
		return errSilent
	}
	time.Sleep(callTime)
	a, err := to.ServeTake(ctx, params.(RateUpdate))
	*result.(*takeAnswer) = a
	c.f.mu.Lock()
	c.f.asked++
	c.f.mu.Unlock()
	return err
}

func (c *lateCalls) Notify(ctx context.Context, addr netip.AddrPort, method string, params any) (err error) {
	to := c.f.nodeAt(addr)
	if !c.f.hears(c.from, to.self.Name) {
		return errSilent
	}
	time.Sleep(callTime)
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

// name has the replica name a rate from now on, none below 0.
func (f *fleet) name(rate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.named = rate
}

// play has requests come, so many a second to all nodes, that are best sent to the replica.
func (f *fleet) play(rate float64, d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(f.chance() * 2 / rate * float64(time.Second)))
		f.mu.Lock()
		l := f.nodes[f.rnd.IntN(len(f.nodes))]
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
	f.came = append(f.came, sent)
	named := f.named
	f.mu.Unlock()
	time.Sleep(runTime)
	a := site.ResponseInfo{}
	if named >= 0 {
		a.Limit = site.NewRateLimit(named)
	}
	l.ObserveAnswer(u, &a, sent, time.Now())
}

// worst is what came in the worst 4 s from a time on, and in all.
func (f *fleet) worst(from time.Time) (worst, all int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, at := range f.came {
		if at.Before(from) {
			continue
		}
		all++
		n := 0
		for _, later := range f.came[i:] {
			if later.Sub(at) < 4*time.Second {
				n++
			}
		}
		worst = max(worst, n)
	}
	return worst, all
}

func (f *fleet) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.came)
}

// allowed is what all nodes together may send in 4 s.
func allowed(rate float64) float64 { return 6*rate + 5 }

func newsBy(ms int) func() time.Duration {
	return func() time.Duration { return time.Duration(1+rand.IntN(ms)) * time.Millisecond }
}

// The load is a replica's usual part of its service's, or some times that. Many of the nodes
// know of the replica only what the news of others tell, which come up to 1.3 s late, or not.
func TestLimitHoldsInFleetsOfAnySize(t *testing.T) {
	for _, nodes := range []int{7, 71, 295, 900} {
		for _, c := range []struct {
			limit, load float64
		}{{0.3, 5}, {1, 5}, {1.7, 20}, {6.5, 20}, {30, 40}} {
			t.Run(fmt.Sprint(nodes, "/", c.limit), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(nodes, newsBy(1300))
					f.play(c.load, 2*time.Second)
					f.name(c.limit)
					// Contact takes 3 s at the least.
					told, play := time.Now().Add(3*time.Second), 30*time.Second
					f.play(c.load, 3*time.Second+play)
					worst, all := f.worst(told)
					t.Logf("%d in the worst 4 s, %.1f allowed, %.2f of the limit used, %d calls, told %d times",
						worst, allowed(c.limit), float64(all)/(c.limit*play.Seconds()), f.asked, f.told)
					assert.Assert(t, float64(worst) <= allowed(c.limit))
					assert.Assert(t, float64(all) >= 0.3*c.limit*play.Seconds())
					assert.Assert(t, f.told <= 4*int(c.load), "told %d times", f.told)
					f.name(-1)
					f.play(c.load, 15*time.Second)
					for _, l := range f.nodes {
						// One that has missed the news and sent nothing since is told as it asks.
						assert.Assert(t, l.MaySend(t.Context(), f.replica))
					}
				})
			})
		}
	}
}

// Two halves of the fleet are cut apart, and each takes the other's nodes for dead after 2 s;
// later they find each other again.
func TestLimitHoldsWhereNodesAreCutApart(t *testing.T) {
	for _, nodes := range []int{7, 71, 295} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const limit = 6.0
				f := newFleet(nodes, newsBy(200))
				f.name(limit)
				f.play(40, 5*time.Second)
				begun := time.Now()
				f.mu.Lock()
				f.cut = true
				f.mu.Unlock()
				f.play(40, 2*time.Second)
				f.believe(control.MemberDead, 1)
				f.play(40, 20*time.Second)
				f.mu.Lock()
				f.cut = false
				f.mu.Unlock()
				f.believe(control.MemberAlive, 2)
				f.play(40, 10*time.Second)
				worst, all := f.worst(begun)
				t.Logf("%d in the worst 4 s, %.0f allowed, %d in all", worst, allowed(limit), all)
				assert.Assert(t, float64(worst) <= allowed(limit))
				assert.Assert(t, float64(all) >= 0.3*limit*32)
			})
		})
	}
}

// believe has each side take the other's nodes for something.
func (f *fleet) believe(state control.MemberState, incarnation uint64) {
	for side, m := range f.sides {
		var list []control.Member
		for _, l := range f.nodes {
			if sideOf(l.self.Name) != side {
				o := l.self
				o.State, o.Incarnation = state, incarnation
				list = append(list, o)
			}
		}
		m.Merge(list, time.Now())
	}
}

// The replica's owner dies, and 2 s later all know of it; then it is back, knows nothing, and
// has not met the others for a second.
func TestLimitHoldsOverTheEndOfItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 3.0
		f := newFleet(9, newsBy(200))
		f.name(limit)
		f.play(40, 4*time.Second)
		begun := time.Now()
		owner := f.nodes[0].owner(f.replica.StartKey())
		f.mu.Lock()
		f.down[owner.Name] = true
		f.mu.Unlock()
		f.play(40, 2*time.Second)
		dead := owner
		dead.State = control.MemberDead
		for _, m := range f.sides {
			m.Merge([]control.Member{dead}, time.Now())
		}
		assert.Assert(t, f.nodes[0].owner(f.replica.StartKey()).Name != owner.Name)
		before := f.count()
		f.play(40, 8*time.Second)
		assert.Assert(t, f.count()-before >= 8, "another one gives a grant, %d sent", f.count()-before)
		f.mu.Lock()
		delete(f.down, owner.Name)
		f.stranger[owner.Name] = true
		f.mu.Unlock()
		back := owner
		back.Incarnation++
		f.start(back, sideOf(back.Name))
		for _, m := range f.sides {
			m.Merge([]control.Member{back}, time.Now())
		}
		f.play(40, time.Second)
		f.mu.Lock()
		delete(f.stranger, owner.Name)
		f.mu.Unlock()
		f.play(40, 10*time.Second)
		worst, all := f.worst(begun)
		t.Logf("%d in the worst 4 s, %.0f allowed, %d in all", worst, allowed(limit), all)
		assert.Assert(t, float64(worst) <= allowed(limit))
	})
}

// A replica that has started again under its ID names what it names now: the limit of its
// earlier start, of which late news still come, is not its.
func TestLimitIsOfOneStartOfAReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7, newsBy(1300))
		f.name(0.5)
		f.play(20, 5*time.Second)
		f.name(-1)
		f.mu.Lock()
		f.replica = &site.Upstream{ID: "r1", Started: time.UnixMilli(2000)}
		f.mu.Unlock()
		before := f.count()
		f.play(20, 5*time.Second)
		n := f.count() - before
		assert.Assert(t, n >= 80, "%d of 100 sent", n)
	})
}

// Orders don't wait for a grant, but what is sent without it is not given out.
func TestWhatCannotWaitCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7, newsBy(10))
		f.name(2)
		f.play(20, 4*time.Second)
		before := f.count()
		for range 8 {
			f.nodes[0].Spend(f.replica)
		}
		f.play(20, 4*time.Second)
		assert.Assert(t, f.count()-before <= 5, "%d sent beside 8 orders where 8 are named in 4 s", f.count()-before)
	})
}

// A request whose client leaves while its node asks for a grant says nothing of the owner.
func TestClientThatLeavesHoldsNoReplicaUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7, newsBy(10))
		f.name(8)
		f.play(20, 4*time.Second)
		l := f.nodes[0]
		if l.owner(f.replica.StartKey()).Name == l.self.Name {
			l = f.nodes[1]
		}
		left, cancel := context.WithCancel(t.Context())
		cancel()
		assert.Assert(t, !l.MaySend(left, f.replica))
		time.Sleep(leastWait)
		s := l.State(f.replica.StartKey(), time.Now())
		assert.Assert(t, s.Limited && s.Wait == 0, "left alone for %v", s.Wait)
	})
}

// Of a large rate an owner gives a grant for several requests at once. A node that had used
// these up left the replica alone until they would have lapsed, though nobody had refused it.
func TestNodeThatHasUsedUpItsGrantAsksAgainAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7, newsBy(10))
		f.name(400)
		f.play(20, 4*time.Second)
		l, start := f.nodes[0], f.replica.StartKey()
		for range 40 {
			assert.Assert(t, l.MaySend(t.Context(), f.replica))
			s := l.State(start, time.Now())
			assert.Equal(t, s.Wait, time.Duration(0))
		}
	})
}
