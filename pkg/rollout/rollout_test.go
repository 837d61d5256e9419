package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/site"
)

// memoryStore is an in-memory implementation of the platform's store.
type memoryStore struct {
	mu          sync.Mutex
	rows        map[string]site.Row
	version     int64
	createdAt   time.Time
	unreachable map[string]bool // By calling node.
	era         history.Era
}

func newMemoryStore() *memoryStore {
	return &memoryStore{rows: map[string]site.Row{}, version: 1, createdAt: time.Now(), unreachable: map[string]bool{}}
}

// position is that of the store's last write; the caller holds mu.
func (s *memoryStore) position() history.Position {
	return history.Position{Era: s.era, Version: s.version}
}

// copyRows returns a copy of the rows, with the version.
func (s *memoryStore) copyRows() (map[string]site.Row, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.rows), s.version
}

// returnFrom has the store come back from a copy, with another clock.
func (s *memoryStore) returnFrom(rows map[string]site.Row, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.version = maps.Clone(rows), version
	s.era++
	s.createdAt = time.Now()
}

// nodeStore is the store as seen by one node, which may be unable to reach it.
type nodeStore struct {
	*memoryStore
	node string
	eras *history.Eras
}

func newNodeStore(s *memoryStore, node string) nodeStore { return nodeStore{s, node, &history.Eras{}} }

func (v nodeStore) Eras() *history.Eras { return v.eras }

func (v nodeStore) List(context.Context, site.Table) (site.Listing, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.unreachable[v.node] {
		return site.Listing{}, fmt.Errorf("cut off")
	}
	v.eras.Observe(v.era, boottime.RefreshNow())
	l := site.Listing{Position: v.position(), Now: time.Since(v.createdAt)}
	for _, r := range v.rows {
		r.Position.Era = v.era
		l.Rows = append(l.Rows, r)
	}
	return l, nil
}

func (v nodeStore) Put(_ context.Context, _ site.Table, key string, value []byte, expected history.Position) (site.Listing, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.unreachable[v.node] {
		return site.Listing{}, fmt.Errorf("cut off")
	}
	v.eras.Observe(v.era, boottime.RefreshNow())
	if v.rows[key].Position.Version != expected.Version {
		return site.Listing{}, site.ErrConflict
	}
	v.version++
	v.rows[key] = site.Row{Key: key, Value: value, Position: v.position()}
	if v.era != expected.Era {
		return site.Listing{}, site.ErrEraEnded
	}
	return site.Listing{Position: v.position(), Now: time.Since(v.createdAt)}, nil
}

func (s *memoryStore) setUnreachable(node string, unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable[node] = unreachable
}

// receivedOrder is one order as a replica received it.
type receivedOrder struct {
	at      time.Time
	replica string
	order   site.Order
}

// fakeFleet simulates replicas that take loadTime to load weights, and records orders and
// the progress of swaps.
type fakeFleet struct {
	mu           sync.Mutex
	replicas     map[string]*fakeReplica
	version      int64
	orders       []receivedOrder
	avoided      []string
	avoidedUntil map[string]time.Time // By replica.
	ranks        map[string]int
	drained      []string // Recorded with RecordDraining.
	dropAnswers  bool     // Orders are executed but not answered.
	delayOrders  bool     // Orders are not answered, and executed 5 s later.
}

type fakeReplica struct {
	id       string
	addr     netip.AddrPort
	version  int64
	orders   int64
	busy     bool
	draining bool // In its report.
}

const loadTime = 760 * time.Millisecond

func newFakeFleet(n int) *fakeFleet {
	f := &fakeFleet{replicas: map[string]*fakeReplica{}, version: 1, ranks: map[string]int{}, avoidedUntil: map[string]time.Time{}}
	for i := range n {
		id := fmt.Sprintf("r%02d", i)
		f.replicas[id] = &fakeReplica{id: id, version: 1, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)}
	}
	return f
}

func (f *fakeFleet) replicaAt(addr netip.AddrPort) *fakeReplica {
	for _, r := range f.replicas {
		if r.addr == addr {
			return r
		}
	}
	return nil
}

func (f *fakeFleet) Report(_ context.Context, addr netip.AddrPort) (site.EngineReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.replicaAt(addr)
	return site.EngineReport{Draining: r.draining, Busy: r.busy, Orders: r.orders, Weights: map[string]int64{"m": r.version}}, nil
}

func (f *fakeFleet) Order(_ context.Context, addr netip.AddrPort, o site.Order) (site.OrderOutcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.replicaAt(addr)
	f.orders = append(f.orders, receivedOrder{at: time.Now(), replica: r.id, order: o})
	if f.delayOrders {
		go func() {
			time.Sleep(5 * time.Second)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.execute(r, o)
		}()
		return site.OrderUnknown, fmt.Errorf("no answer")
	}
	if !f.execute(r, o) {
		return site.OrderRefused, fmt.Errorf("refused")
	}
	if f.dropAnswers {
		return site.OrderUnknown, fmt.Errorf("no answer")
	}
	return site.OrderAccepted, nil
}

// execute begins to load, unless the replica is busy or has accepted other orders since.
// The caller holds mu.
func (f *fakeFleet) execute(r *fakeReplica, o site.Order) bool {
	if r.busy || r.orders != o.Orders {
		return false
	}
	r.orders++
	r.busy = true
	go func() {
		time.Sleep(loadTime)
		f.mu.Lock()
		defer f.mu.Unlock()
		r.busy, r.version = false, o.Version
	}()
	return true
}

// fleetView is the fleet as seen by one node.
type fleetView struct {
	*fakeFleet
	node string
}

func (e fleetView) Targets() (list []Target) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.replicas {
		if slices.Contains(e.drained, r.id) {
			continue
		}
		list = append(list, Target{
			Upstream: site.Upstream{ID: r.id, Addr: r.addr, Weights: map[string]int64{"m": r.version}},
			Model:    "m",
			Version:  e.version,
		})
	}
	return list
}

func (e fleetView) Rank(string) int { return e.ranks[e.node] }

func (e fleetView) AvoidForSwap(t Target, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.avoidedUntil[t.ID] = time.Now().Add(d)
	e.avoided = append(e.avoided, t.ID)
}

// CountSwapping counts the replicas that are avoided: all nodes learn at once of the swaps
// of others.
func (e fleetView) CountSwapping() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, until := range e.avoidedUntil {
		if time.Now().Before(until) {
			n++
		}
	}
	return n
}

func (e fleetView) RecordWeights(t Target, _ int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.avoidedUntil, t.ID)
}

func (e fleetView) RecordDraining(t Target) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drained = append(e.drained, t.ID)
}

func (f *fakeFleet) setVersion(version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version = version
}

func (f *fakeFleet) outdated() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.replicas {
		if r.version < f.version {
			n++
		}
	}
	return n
}

const testPause = 3 * time.Second

// startRollouts calls Step for some nodes until the returned function is called.
func startRollouts(t *testing.T, s *memoryStore, f *fakeFleet, nodes ...string) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i, node := range nodes {
		f.ranks[node] = i
		r := New(node, testPause, newNodeStore(s, node), f, fleetView{f, node}, slog.New(slog.DiscardHandler))
		wg.Go(func() {
			defer r.Close()
			for ctx.Err() == nil {
				r.Step(ctx)
				time.Sleep(StepInterval)
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// checkOrders fails if orders of two nodes to one replica are closer than testPause, or if
// the fence of a new holder does not rise.
func checkOrders(t *testing.T, list []receivedOrder) {
	t.Helper()
	last := map[string]receivedOrder{}
	for _, g := range list {
		l, known := last[g.replica]
		if known && l.order.Holder != g.order.Holder {
			assert.Assert(t, g.at.Sub(l.at) >= testPause, "orders of %s and %s to %s within %s", l.order.Holder, g.order.Holder, g.replica, g.at.Sub(l.at))
			assert.Assert(t, g.order.Fence > l.order.Fence)
		}
		assert.Assert(t, !known || g.order.Fence >= l.order.Fence)
		last[g.replica] = g
	}
}

func TestAllReplicasGetNewWeightsInAFewSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f := newMemoryStore(), newFakeFleet(18)
		stop := startRollouts(t, s, f, "n1", "n2", "n3")
		time.Sleep(time.Second)
		assert.Equal(t, len(f.orders), 0, "no orders before a new version is set")
		f.setVersion(2)
		time.Sleep(8 * time.Second)
		assert.Equal(t, f.outdated(), 0)
		assert.Equal(t, len(f.orders), 18, "each replica is ordered once")
		assert.Assert(t, len(f.avoided) >= 18)
		checkOrders(t, f.orders)
		stop()
	})
}

// New weights were loaded into a replica that had reported to be draining.
func TestDrainingReplicaGetsNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f := newMemoryStore(), newFakeFleet(6)
		f.replicas["r03"].draining = true
		stop := startRollouts(t, s, f, "n1", "n2")
		f.setVersion(2)
		time.Sleep(8 * time.Second)
		stop()
		assert.Equal(t, f.outdated(), 1)
		for _, g := range f.orders {
			assert.Assert(t, g.replica != "r03")
		}
		assert.DeepEqual(t, f.drained, []string{"r03"})
	})
}

// In a small fleet one replica of each group would be more than may be swapped at once.
func TestNoMoreThanAShareIsSwappedAtOnce(t *testing.T) {
	for _, n := range []int{4, 9, 18, 60} {
		synctest.Test(t, func(t *testing.T) {
			s, f := newMemoryStore(), newFakeFleet(n)
			stop := startRollouts(t, s, f, "n1", "n2", "n3")
			f.setVersion(2)
			for range 400 {
				time.Sleep(25 * time.Millisecond)
				f.mu.Lock()
				busy := 0
				for _, x := range f.replicas {
					if x.busy {
						busy++
					}
				}
				f.mu.Unlock()
				assert.Assert(t, busy <= maxSwaps(n), "%d of %d at once", busy, n)
			}
			assert.Equal(t, f.outdated(), 0, "all of %d replicas are swapped", n)
			stop()
		})
	}
}

// A holder that can't reach the store stops by itself. Another node takes over, and no
// replica gets orders of both within the pause.
func TestLeaseHolderWithoutStoreIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f := newMemoryStore(), newFakeFleet(18)
		stop := startRollouts(t, s, f, "n1", "n2")
		f.setVersion(2)
		time.Sleep(800 * time.Millisecond)
		s.setUnreachable("n1", true)
		f.setVersion(3)
		time.Sleep(12 * time.Second)
		assert.Equal(t, f.outdated(), 0)
		f.mu.Lock()
		checkOrders(t, f.orders)
		f.mu.Unlock()
		stop()
	})
}

// Unanswered orders that arrive late are refused, as the replica has accepted others since.
func TestLateOrderDoesNotRestoreOlderWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f := newMemoryStore(), newFakeFleet(6)
		f.delayOrders = true
		stop := startRollouts(t, s, f, "n1")
		f.setVersion(2)
		time.Sleep(3 * time.Second)
		f.mu.Lock()
		f.delayOrders = false
		f.mu.Unlock()
		f.setVersion(3)
		time.Sleep(12 * time.Second)
		assert.Equal(t, f.outdated(), 0)
		time.Sleep(10 * time.Second)
		assert.Equal(t, f.outdated(), 0, "no late order has restored an older version")
		stop()
	})
}

func TestUnansweredOrderIsNotSentTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f := newMemoryStore(), newFakeFleet(6)
		f.dropAnswers = true
		stop := startRollouts(t, s, f, "n1")
		f.setVersion(2)
		time.Sleep(10 * time.Second)
		assert.Equal(t, f.outdated(), 0)
		assert.Equal(t, len(f.orders), 6)
		stop()
	})
}

// A node that was stopped delayed new weights for the rest of a lease's term: it released
// its leases when its stop began, found them free 100 ms later, and acquired them again.
func TestStoppingNodeDoesNotReacquireLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f := newMemoryStore(), newFakeFleet(18)
		f.setVersion(2)
		r := New("n1", testPause, newNodeStore(s, "n1"), f, fleetView{f, "n1"}, slog.New(slog.DiscardHandler))
		defer r.Close()
		r.Step(t.Context())
		assert.Assert(t, len(s.rows) > 0)
		r.Release(t.Context())
		time.Sleep(StepInterval)
		r.Step(t.Context())
		for key, row := range s.rows {
			var l leaseRow
			assert.NilError(t, json.Unmarshal(row.Value, &l))
			assert.Assert(t, l.Until <= time.Since(s.createdAt), key)
		}
	})
}

// slowStore is a store whose List answers take a while.
type slowStore struct {
	nodeStore
	delay time.Duration
}

func (v slowStore) List(ctx context.Context, t site.Table) (site.Listing, error) {
	l, err := v.nodeStore.List(ctx, t)
	time.Sleep(v.delay)
	return l, err
}

// A node that was stopped delayed new weights for the rest of a lease's term, though it had
// released its leases. It was waiting for the row of a free lease when its stop began, and
// acquired the lease when the answer came: it checked for the stop before the read, but not
// before the write.
func TestLeaseReadDuringStopDoesNotAcquire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const listDelay = 20 * time.Millisecond
		s := newMemoryStore()
		l := NewLease("l", "n1", testPause, slowStore{newNodeStore(s, "n1"), listDelay}, slog.New(slog.DiscardHandler))
		held := make(chan bool, 1)
		go func() { held <- l.AcquireOrRenew(t.Context()) }()
		time.Sleep(listDelay / 2)
		l.Close(t.Context())
		assert.Assert(t, !<-held)
		for key, row := range s.rows {
			var r leaseRow
			assert.NilError(t, json.Unmarshal(row.Value, &r))
			assert.Assert(t, r.Until <= time.Since(s.createdAt), "%s is held until %v", key, r.Until)
		}
	})
}

// Two nodes never hold the lease at once, even if one can't reach the store.
func TestLeaseHasOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newMemoryStore()
		log := slog.New(slog.DiscardHandler)
		a := NewLease("l", "a", testPause, newNodeStore(s, "a"), log)
		b := NewLease("l", "b", testPause, newNodeStore(s, "b"), log)
		assert.Assert(t, a.AcquireOrRenew(t.Context()))
		fence := a.Fence()
		s.setUnreachable("a", true)
		last := time.Now()
		for !b.AcquireOrRenew(t.Context()) {
			if a.AcquireOrRenew(t.Context()) {
				last = time.Now()
			}
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, !a.Held())
		assert.Assert(t, time.Since(last) >= testPause, "%s", time.Since(last))
		assert.Assert(t, b.Fence() > fence)
		s.setUnreachable("a", false)
		assert.Assert(t, !a.AcquireOrRenew(t.Context()))
		b.Release(t.Context())
		var row leaseRow
		assert.NilError(t, json.Unmarshal(s.rows["l"].Value, &row))
		assert.Assert(t, row.Until <= time.Since(s.createdAt))
	})
}

// A holder's machine is suspended and another node acquires the lease meanwhile. The
// monotonic clock of the first does not advance during the suspension.
func TestLeaseExpiresDuringASuspension(t *testing.T) {
	s := newMemoryStore()
	l := NewLease("l", "a", testPause, newNodeStore(s, "a"), slog.New(slog.DiscardHandler))
	assert.Assert(t, l.AcquireOrRenew(t.Context()))
	assert.Assert(t, l.Held())
	boottime.SimulateSuspend(leaseTerm)
	assert.Assert(t, !l.Held())
}

// The store came back from copies that had an earlier holder, an earlier end or no row at all: two nodes held the
// lease, and fences were given out twice.
func TestLeaseHasOneHolderWhenTheStoreReturnsFromCopies(t *testing.T) {
	const seeds = 50
	holders := 0
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { holders += playReturns(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
	assert.Assert(t, holders > 2*seeds, "%d holders", holders)
}

// playReturns has nodes hold a lease in turn while the store comes back from copies, and nodes are paused or cut
// off from it.
func playReturns(t *testing.T, rng *rand.Rand) (holders int) {
	s := newMemoryStore()
	s.era = 1
	names := []string{"a", "b", "c", "d"}
	leases := map[string]*Lease{}
	for _, name := range names {
		leases[name] = NewLease("l", name, testPause, newNodeStore(s, name), slog.New(slog.DiscardHandler))
	}
	copied, version := s.copyRows()
	fences := map[int64]string{}
	var last string
	var lastHeld time.Time
	lastFence := int64(0)
	paused := map[string]bool{}
	for range 2400 {
		switch rng.IntN(150) {
		case 0, 1:
			copied, version = s.copyRows()
		case 2:
			s.returnFrom(copied, version)
		case 3, 4, 5:
			s.setUnreachable(names[rng.IntN(len(names))], rng.IntN(3) == 0)
		case 6:
			paused[names[rng.IntN(len(names))]] = rng.IntN(2) == 0
		case 7:
			leases[names[rng.IntN(len(names))]].Release(t.Context())
		}
		held := ""
		for _, i := range rng.Perm(len(names)) {
			if !paused[names[i]] {
				leases[names[i]].AcquireOrRenew(t.Context())
			}
		}
		for name, l := range leases {
			if !l.Held() {
				continue
			}
			assert.Equal(t, held, "", "%s holds the lease besides", name)
			held = name
			owner, used := fences[l.Fence()]
			assert.Assert(t, !used || owner == name, "fence %d of %s and %s", l.Fence(), owner, name)
			assert.Assert(t, l.Fence() >= lastFence, "fence %d after %d", l.Fence(), lastFence)
			fences[l.Fence()], lastFence = name, l.Fence()
			if last != name {
				holders++
				assert.Assert(t, last == "" || time.Since(lastHeld) >= testPause, "%s after %s within %s", name, last, time.Since(lastHeld))
			}
			last, lastHeld = name, time.Now()
		}
		time.Sleep(100 * time.Millisecond)
	}
	return holders
}

// A node of an earlier release, whose rows name no era, lost its lease while it renewed it.
func TestLeaseOfNodeOfAnEarlierReleaseIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newMemoryStore()
		s.era = 3
		log := slog.New(slog.DiscardHandler)
		b := NewLease("l", "b", testPause, newNodeStore(s, "b"), log)
		older := newNodeStore(s, "a")
		renew := func() {
			l, err := older.List(t.Context(), site.TableLeases)
			assert.NilError(t, err)
			row, _ := l.Find("l")
			body := fmt.Appendf(nil, `{"holder":"a","fence":7,"until_ns":%d}`, l.Now+leaseTerm)
			_, err = older.Put(t.Context(), site.TableLeases, "l", body, row.Position)
			assert.NilError(t, err)
		}
		var last time.Time
		for range 20 {
			renew()
			last = time.Now()
			time.Sleep(renewAfter)
			assert.Assert(t, !b.AcquireOrRenew(t.Context()), "it is renewed each second")
		}
		for !b.AcquireOrRenew(t.Context()) {
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, time.Since(last) >= leaseTerm+testPause, "%s", time.Since(last))
		assert.Assert(t, time.Since(last) < 3*(leaseTerm+testPause), "%s", time.Since(last))
		assert.Assert(t, b.Fence() > 7)
	})
}
