package rollout

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/site"
)

// EngineClient reads the state of replicas and sends them orders.
type EngineClient interface {
	Report(ctx context.Context, addr netip.AddrPort) (site.EngineReport, error)
	Order(ctx context.Context, addr netip.AddrPort, o site.Order) (site.OrderOutcome, error)
}

// Fleet lists the replicas and records the progress of swaps.
type Fleet interface {
	// Targets lists the replicas of all models that have a configured weight version.
	Targets() []Target
	// Rank returns how many nodes precede this one for a duty.
	Rank(duty string) int
	// AvoidForSwap has all nodes send requests to other replicas for a while.
	AvoidForSwap(t Target, d time.Duration)
	// CountSwapping counts the replicas that any node has marked with AvoidForSwap.
	CountSwapping() int
	// RecordWeights records the version that a replica reports to serve.
	RecordWeights(t Target, version int64)
	// RecordDraining records that a replica reports to be draining.
	RecordDraining(t Target)
}

// Target is a replica and the weights that it should serve.
type Target struct {
	site.Upstream
	Model   string
	Version int64
}

// Outdated reports whether the replica still needs a swap.
func (t *Target) Outdated() bool { return t.Weights[t.Model] < t.Version }

const (
	// StepInterval is the period of Step.
	StepInterval = 100 * time.Millisecond
	// groupCount is the number of groups of replicas. Each group has its own lease, so that
	// a lost holder delays only its group, and swaps only a few replicas at once.
	groupCount = 6
	// maxSwapShare is the share of replicas that are swapped at once: with fewer the
	// rollout takes long, with more too few are left to serve.
	maxSwapShare = 0.3
	// groupStagger is the delay between the starts of consecutive groups, so that a holder
	// knows of the swaps that earlier groups have begun.
	groupStagger = 60 * time.Millisecond
	// rankDelay times its rank is how long a node waits before it tries to acquire a lease,
	// so that in a large fleet only a few nodes ask the store for it.
	rankDelay = time.Second
	// avoidLead is how long before an order requests are sent to other replicas, so that
	// most requests in flight finish.
	avoidLead = 250 * time.Millisecond
	// avoidTerm is how long one call of AvoidForSwap holds during a swap.
	avoidTerm = 600 * time.Millisecond
	// reportInterval is how often the state of a swapping replica is read.
	reportInterval = 150 * time.Millisecond
	// orderTimeout bounds a swap without progress. A later round sends the order again if
	// it had no visible effect, or tries again if the replica did not answer.
	orderTimeout = 1500 * time.Millisecond
	// swapBackoff is how long a replica is left alone after a failed swap.
	swapBackoff = time.Second
)

// Rollout swaps the weights of replicas.
type Rollout struct {
	engines EngineClient
	fleet   Fleet
	node    string
	log     *slog.Logger
	now     func() time.Time
	// unbounded lets all replicas be swapped at once.
	unbounded bool
	groups    [groupCount]*group
	// reserveMu guards reserveSwap. It is locked after a group's mu.
	reserveMu locks.Mutex

	wg sync.WaitGroup
}

// group is a part of the replicas whose orders are sent under one lease.
type group struct {
	name  string
	lease *Lease

	mu        locks.Mutex
	swaps     map[string]*swap
	workSince time.Time // When the group last got work; zero while idle.
	// meanLoadTime is a moving mean of the time from an order until the swap is seen done.
	meanLoadTime time.Duration
}

// recordOrder sets when the next swap may begin: shortly before this one is expected to
// end.
func (g *group) recordOrder(id string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.swaps[id].slotFreeAt = now.Add(max(0, g.meanLoadTime-avoidLead))
}

// recordLoadTime updates the mean load time.
func (g *group) recordLoadTime(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.meanLoadTime += (took - g.meanLoadTime) / loadTimeSmoothing
}

const (
	// initialLoadTime is the load time assumed before any was measured.
	initialLoadTime = 1500 * time.Millisecond
	// loadTimeSmoothing is the inverse of the weight of the newest measurement.
	loadTimeSmoothing = 2
)

// swap is the change of one replica to other weights.
type swap struct {
	backoffUntil time.Time // Once ended: no new swap before.
	ended        bool
	// slotFreeAt is when another swap may begin: by the time requests avoid the next
	// replica, this one is expected to have loaded its weights.
	slotFreeAt time.Time
}

// New returns a rollout that sends orders as the given node. pause is the minimum time
// between the orders of two nodes to one replica.
func New(node string, pause time.Duration, store Store, engines EngineClient, fleet Fleet, log *slog.Logger) *Rollout {
	r := &Rollout{node: node, engines: engines, fleet: fleet, log: log, now: boottime.RefreshNow}
	for i := range r.groups {
		name := fmt.Sprintf("weights/%d", i)
		r.groups[i] = &group{name: name, lease: NewLease(name, node, pause, store, log), swaps: map[string]*swap{}, meanLoadTime: initialLoadTime}
	}
	return r
}

// SetUnbounded lets all replicas be swapped at once. It must be called before Step.
func (r *Rollout) SetUnbounded() { r.unbounded = true }

// groupOf returns the index of a replica's group.
func groupOf(id string) int { return int(xxhash.Sum64String(id) % groupCount) }

// Step begins the swaps that are due. The timer service calls it. It returns at once when
// there is nothing to do.
func (r *Rollout) Step(ctx context.Context) {
	var outdated [groupCount][]Target
	var sizes [groupCount]int
	total := 0
	for _, t := range r.fleet.Targets() {
		i := groupOf(t.ID)
		sizes[i]++
		total++
		if t.Outdated() {
			outdated[i] = append(outdated[i], t)
		}
	}
	var wg sync.WaitGroup
	for i, g := range r.groups {
		if r.hasWork(g, outdated[i]) {
			wg.Go(func() {
				r.stepGroup(ctx, g, outdated[i], r.limitsFor(i, sizes[i], total))
			})
		}
	}
	wg.Wait()
}

// swapLimits bounds how many replicas are swapped at once, in a group and in total, and
// delays the start of a group. In a small fleet one swap per group is too many: with five
// of nine engines loading, a load took 2.5 s instead of 1.1 s. With the bound on the total,
// worth of a day with two versions rose from 0.743 to 0.809 (four seeds).
type swapLimits struct {
	group, total int
	startDelay   time.Duration
}

// limitsFor returns the limits of group i, which has size replicas of the total.
func (r *Rollout) limitsFor(i, size, total int) swapLimits {
	if r.unbounded {
		return swapLimits{group: size, total: total}
	}
	return swapLimits{group: maxSwaps(size), total: maxSwaps(total), startDelay: time.Duration(i) * groupStagger}
}

// maxSwaps returns how many of size replicas may be swapped at once.
func maxSwaps(size int) int { return max(1, int(math.Round(maxSwapShare*float64(size)))) }

// hasWork reports whether a group has replicas to swap, swaps in progress or a lease to
// release.
func (r *Rollout) hasWork(g *group, outdated []Target) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(outdated) == 0 && g.runningSwaps(r.now()) == 0 {
		g.workSince = time.Time{}
		return g.lease.Held()
	}
	if g.workSince.IsZero() {
		g.workSince = r.now()
	}
	return true
}

// stepGroup acquires or renews the lease of a group and begins its swaps, or releases the
// lease if there is nothing left to do.
func (r *Rollout) stepGroup(ctx context.Context, g *group, outdated []Target, limits swapLimits) {
	g.mu.Lock()
	since, idle := g.workSince, g.workSince.IsZero()
	g.mu.Unlock()
	if idle {
		g.lease.Release(ctx)
		return
	}
	if !g.lease.Held() && r.now().Sub(since) < time.Duration(r.fleet.Rank(g.name))*rankDelay {
		return
	}
	if !g.lease.AcquireOrRenew(ctx) {
		return
	}
	// Replicas with the oldest weights come first: they have the least time left.
	slices.SortStableFunc(outdated, func(a, b Target) int {
		return cmp.Compare(a.Weights[a.Model], b.Weights[b.Model])
	})
	if r.now().Sub(since) < limits.startDelay {
		return
	}
	for _, t := range outdated {
		r.beginSwap(ctx, g, t, limits)
	}
}

// Release gives up all leases for a planned stop. The node calls Step until it ends; a
// lease that it acquired again then would keep the other nodes waiting for its term.
func (r *Rollout) Release(ctx context.Context) {
	for _, g := range r.groups {
		g.lease.Close(ctx)
	}
}

// Close waits for the swaps in progress.
func (r *Rollout) Close() { r.wg.Wait() }

// runningSwaps counts the swaps that occupy a slot, and deletes those whose backoff is
// over. The caller holds mu.
func (g *group) runningSwaps(now time.Time) int {
	n := 0
	for id, s := range g.swaps {
		switch {
		case !s.ended && (s.slotFreeAt.IsZero() || now.Before(s.slotFreeAt)):
			n++
		case !s.ended:
		case now.After(s.backoffUntil):
			delete(g.swaps, id)
		}
	}
	return n
}

// beginSwap starts the swap of a replica if the limits allow it and the replica is not in
// backoff.
func (r *Rollout) beginSwap(ctx context.Context, g *group, t Target, limits swapLimits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// runningSwaps also deletes swaps whose backoff is over.
	running := g.runningSwaps(r.now())
	if _, known := g.swaps[t.ID]; known || running >= limits.group || !r.reserveSwap(t, limits.total) {
		return
	}
	s := &swap{}
	g.swaps[t.ID] = s
	r.wg.Go(func() {
		backoff := r.swapReplica(context.WithoutCancel(ctx), g, t)
		g.mu.Lock()
		defer g.mu.Unlock()
		s.ended = true
		s.backoffUntil = r.now().Add(backoff)
	})
}

// reserveSwap reports whether another replica may be swapped under the limit for all groups,
// and if so marks it with AvoidForSwap. Groups run concurrently, so both happen under one
// lock.
func (r *Rollout) reserveSwap(t Target, limit int) bool {
	r.reserveMu.Lock()
	defer r.reserveMu.Unlock()
	if r.fleet.CountSwapping() >= limit {
		return false
	}
	r.fleet.AvoidForSwap(t, avoidLead+avoidTerm)
	return true
}

// swapReplica updates one replica to its target weights and returns its backoff.
func (r *Rollout) swapReplica(ctx context.Context, g *group, t Target) time.Duration {
	r.sleep(avoidLead)
	end := r.now().Add(orderTimeout)
	var ordered time.Time
	for r.now().Before(end) {
		report, err := r.engines.Report(ctx, t.Addr)
		switch {
		case err != nil:
			r.log.Warn("replica state not read", "replica", t.ID, "err", err)
		case !report.Started.IsZero() && !t.Started.IsZero() && !report.Started.Equal(t.Started):
			// It has restarted: Targets will list it with its new weights and order count.
			return swapBackoff
		case report.Draining:
			r.fleet.RecordDraining(t)
			return swapBackoff
		case report.Weights[t.Model] >= t.Version:
			r.fleet.RecordWeights(t, report.Weights[t.Model])
			if !ordered.IsZero() {
				g.recordLoadTime(r.now().Sub(ordered))
			}
			r.log.Info("replica serves new weights", "replica", t.ID, "model", t.Model, "version", report.Weights[t.Model])
			return 0
		case report.Busy:
			r.fleet.AvoidForSwap(t, avoidTerm)
			end = r.now().Add(orderTimeout)
		case ordered.IsZero():
			if !r.sendOrder(ctx, g, t, report.Orders) {
				return swapBackoff
			}
			ordered = r.now()
			g.recordOrder(t.ID, ordered)
			r.fleet.AvoidForSwap(t, avoidTerm)
			end = r.now().Add(orderTimeout)
		}
		r.sleep(reportInterval)
	}
	r.log.Warn("replica not swapped in time", "replica", t.ID, "model", t.Model, "version", t.Version)
	return swapBackoff
}

// sendOrder sends the order and reports whether the replica may have accepted it.
func (r *Rollout) sendOrder(ctx context.Context, g *group, t Target, ordersBefore int64) bool {
	if !g.lease.Held() {
		return false
	}
	outcome, err := r.engines.Order(ctx, t.Addr, site.Order{
		Model:    t.Model,
		Version:  t.Version,
		Holder:   r.node,
		Fence:    g.lease.Fence(),
		Orders:   ordersBefore,
		Instance: t.ID,
	})
	r.log.Info("order given", "replica", t.ID, "model", t.Model, "version", t.Version,
		"fence", g.lease.Fence(), "orders", ordersBefore, "outcome", int(outcome), "err", err)
	return outcome == site.OrderAccepted || outcome == site.OrderUnknown
}

func (r *Rollout) sleep(d time.Duration) { time.Sleep(d) }
