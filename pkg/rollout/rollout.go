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
	"github.com/drumpath/drumpath/pkg/site"
)

// EngineClient are the replicas, as far as orders go.
type EngineClient interface {
	Report(ctx context.Context, addr netip.AddrPort) (site.EngineReport, error)
	Order(ctx context.Context, addr netip.AddrPort, o site.Order) (site.OrderOutcome, error)
}

// Fleet is what is known of the replicas, and who hears of swaps.
type Fleet interface {
	// Targets lists the replicas of all models of which weights were named.
	Targets() []Target
	// Rank is how many nodes come before this one for a duty.
	Rank(duty string) int
	// AvoidForSwap has all nodes send requests elsewhere for a while.
	AvoidForSwap(t Target, d time.Duration)
	// CountSwapping is how many replicas requests are sent elsewhere from, at the word of
	// any node.
	CountSwapping() int
	// RecordWeights notes what a replica has said that it serves.
	RecordWeights(t Target, version int64)
	// RecordDraining notes that a replica has said that it drains.
	RecordDraining(t Target)
}

// Target is a replica and the weights that it is to serve.
type Target struct {
	site.Upstream
	Model   string
	Version int64
}

// outdated says whether the replica is yet to be swapped.
func (t *Target) outdated() bool { return t.Weights[t.Model] < t.Version }

const (
	// StepInterval is the period of Step.
	StepInterval = 100 * time.Millisecond
	// groupCount is into how many parts the replicas are divided. Each has a lease,
	// so that a holder that is lost holds up its part only, and each swaps its
	// replicas one after the other or a few at once.
	groupCount = 6
	// maxSwapShare is the part of the replicas that is swapped at once: fewer take
	// long, more leave too few to serve. Measured, docs/POLICY.md.
	maxSwapShare = 0.3
	// groupStagger is by how much each group begins later than the one before it, so
	// that its holder has heard what the others have begun.
	groupStagger = 60 * time.Millisecond
	// rankDelay is for how long each node leaves a lease to those that come
	// before it: in a large fleet few nodes ask for it at all.
	rankDelay = time.Second
	// avoidLead is for how long requests are sent elsewhere before an order, so
	// that most runs have ended.
	avoidLead = 250 * time.Millisecond
	// avoidTerm is for how long nodes pass a replica over at each word of it.
	avoidTerm = 600 * time.Millisecond
	// reportInterval is how often a swapping replica is asked how far it is.
	reportInterval = 150 * time.Millisecond
	// orderTimeout is after how long an order of which nothing is seen is given
	// again, and a replica that does not answer is left to the next round.
	orderTimeout = 1500 * time.Millisecond
	// swapBackoff is for how long a replica that would not be swapped is left
	// alone.
	swapBackoff = time.Second
)

// Rollout gives the orders.
type Rollout struct {
	engines EngineClient
	fleet   Fleet
	node    string
	log     *slog.Logger
	now     func() time.Time
	// unbounded lets all replicas be swapped at once.
	unbounded bool
	groups    [groupCount]*group
	// reserveMu guards mayBegin; it is taken behind a group's mu.
	reserveMu sync.Mutex

	wg sync.WaitGroup
}

// group is a part of the replicas whose orders are given under one lease.
type group struct {
	name  string
	lease *Lease

	mu        sync.Mutex
	swaps     map[string]*swap
	workSince time.Time // When work was first seen, zero if there is none.
	// meanLoadTime is the mean time from an order to its being seen done.
	meanLoadTime time.Duration
}

// recordOrder lets another swap begin shortly before this one is done.
func (g *group) recordOrder(id string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.swaps[id].slotFreeAt = now.Add(max(0, g.meanLoadTime-avoidLead))
}

// recordLoadTime learns how long a swap took since its order.
func (g *group) recordLoadTime(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.meanLoadTime += (took - g.meanLoadTime) / loadTimeSmoothing
}

const (
	// initialLoadTime is how long weights are assumed to take to load.
	initialLoadTime = 1500 * time.Millisecond
	// loadTimeSmoothing is one over the weight of the newest time.
	loadTimeSmoothing = 2
)

// swap is one replica that is being brought to other weights.
type swap struct {
	backoffUntil time.Time // Left alone until, once it has ended.
	ended        bool
	// slotFreeAt is from when on another may begin: the replica is expected to have
	// its weights once the other's requests have been steered away.
	slotFreeAt time.Time
}

// New returns a rollout that gives orders in a node's name; pause is the least
// time between the orders of two nodes to a replica.
func New(node string, pause time.Duration, store Store, engines EngineClient, fleet Fleet, log *slog.Logger) *Rollout {
	r := &Rollout{node: node, engines: engines, fleet: fleet, log: log, now: boottime.RefreshNow}
	for i := range r.groups {
		name := fmt.Sprintf("weights/%d", i)
		r.groups[i] = &group{name: name, lease: NewLease(name, node, pause, store, log), swaps: map[string]*swap{}, meanLoadTime: initialLoadTime}
	}
	return r
}

// SetUnbounded lets all replicas be swapped at once; it is to be called before Step.
func (r *Rollout) SetUnbounded() { r.unbounded = true }

// groupOf says to which group a replica belongs.
func groupOf(id string) int { return int(xxhash.Sum64String(id) % groupCount) }

// Step begins swaps that are due; the timer service calls it. It returns at
// once when there is nothing to do.
func (r *Rollout) Step(ctx context.Context) {
	var outdated [groupCount][]Target
	var sizes [groupCount]int
	total := 0
	for _, t := range r.fleet.Targets() {
		i := groupOf(t.ID)
		sizes[i]++
		total++
		if t.outdated() {
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

// swapLimits bounds how many replicas are swapped at once: of a group, and of all. In a
// small fleet one of each group is too many: with five of nine engines loading, a load
// took 2.5 s instead of 1.1; bounded, worth of a day with two versions rose from 0.743 to
// 0.809 (four seeds). after is when the group begins.
type swapLimits struct {
	group, total int
	startDelay   time.Duration
}

func (r *Rollout) limitsFor(i, size, total int) swapLimits {
	if r.unbounded {
		return swapLimits{group: size, total: total}
	}
	return swapLimits{group: maxSwaps(size), total: maxSwaps(total), startDelay: time.Duration(i) * groupStagger}
}

// maxSwaps is how many of some replicas are swapped at once.
func maxSwaps(size int) int { return max(1, int(math.Round(maxSwapShare*float64(size)))) }

// hasWork says whether a group has anything to be done.
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
	// Those with the oldest weights come first: they have least time left.
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

// Release gives up what is held, for a planned stop. The node steps on until it
// ends: a lease that it took again would be missing to the others for its term.
func (r *Rollout) Release(ctx context.Context) {
	for _, g := range r.groups {
		g.lease.Close(ctx)
	}
}

// Close waits for swaps under way.
func (r *Rollout) Close() { r.wg.Wait() }

// runningSwaps counts the swaps under way; the caller holds mu.
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

func (r *Rollout) beginSwap(ctx context.Context, g *group, t Target, limits swapLimits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// Counting forgets those that were left alone for long enough.
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

// mayBegin says whether another replica of all may be swapped, and has it steered away
// from if so. Groups step side by side, so that both are done as one.
func (r *Rollout) reserveSwap(t Target, limit int) bool {
	r.reserveMu.Lock()
	defer r.reserveMu.Unlock()
	if r.fleet.CountSwapping() >= limit {
		return false
	}
	r.fleet.AvoidForSwap(t, avoidLead+avoidTerm)
	return true
}

// swapReplica brings one replica to its weights and returns for how long it is to be
// left alone.
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
			// It has started anew: what it has and has taken is listed anew, too.
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

// sendOrder gives the order and says whether it may have been taken.
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
