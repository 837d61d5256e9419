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

// Engines are the replicas, as far as orders go.
type Engines interface {
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

// behind says whether the replica is yet to be swapped.
func (t *Target) behind() bool { return t.Weights[t.Model] < t.Version }

const (
	// StepInterval is the period of Step.
	StepInterval = 100 * time.Millisecond
	// groups is into how many parts the replicas are divided. Each has a lease,
	// so that a holder that is lost holds up its part only, and each swaps its
	// replicas one after the other or a few at once.
	groups = 6
	// swapShare is the part of the replicas that is swapped at once: fewer take
	// long, more leave too few to serve. Measured, docs/POLICY.md.
	swapShare = 0.3
	// groupPause is by how much each group begins later than the one before it, so
	// that its holder has heard what the others have begun.
	groupPause = 60 * time.Millisecond
	// rankPause is for how long each node leaves a lease to those that come
	// before it: in a large fleet few nodes ask for it at all.
	rankPause = time.Second
	// steerTime is for how long requests are sent elsewhere before an order, so
	// that most runs have ended.
	steerTime = 250 * time.Millisecond
	// steerTerm is for how long nodes pass a replica over at each word of it.
	steerTerm = 600 * time.Millisecond
	// askEvery is how often a swapping replica is asked how far it is.
	askEvery = 150 * time.Millisecond
	// orderTerm is after how long an order of which nothing is seen is given
	// again, and a replica that does not answer is left to the next round.
	orderTerm = 1500 * time.Millisecond
	// backoffTerm is for how long a replica that would not be swapped is left
	// alone.
	backoffTerm = time.Second
)

// Rollout gives the orders.
type Rollout struct {
	engines Engines
	fleet   Fleet
	node    string
	log     *slog.Logger
	now     func() time.Time
	// unbounded lets all replicas be swapped at once.
	unbounded bool
	groups    [groups]*group
	// beginMu guards mayBegin; it is taken behind a group's mu.
	beginMu sync.Mutex

	wg sync.WaitGroup
}

// group is a part of the replicas whose orders are given under one lease.
type group struct {
	name  string
	lease *Lease

	mu    sync.Mutex
	swaps map[string]*swap
	since time.Time // When work was first seen, zero if there is none.
	// loading is the mean time from an order to its being seen done.
	loading time.Duration
}

// noteOrdered lets another swap begin shortly before this one is done.
func (g *group) noteOrdered(id string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.swaps[id].free = now.Add(max(0, g.loading-steerTime))
}

// noteDone learns how long a swap took since its order.
func (g *group) noteDone(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loading += (took - g.loading) / loadingParts
}

const (
	// startLoading is how long weights are assumed to take to load.
	startLoading = 1500 * time.Millisecond
	// loadingParts is one over the weight of the newest time.
	loadingParts = 2
)

// swap is one replica that is being brought to other weights.
type swap struct {
	until time.Time // Left alone until, once it has ended.
	ended bool
	// free is from when on another may begin: the replica is expected to have
	// its weights once the other's requests have been steered away.
	free time.Time
}

// New returns a rollout that gives orders in a node's name; pause is the least
// time between the orders of two nodes to a replica.
func New(node string, pause time.Duration, st Store, e Engines, f Fleet, log *slog.Logger) *Rollout {
	r := &Rollout{node: node, engines: e, fleet: f, log: log, now: boottime.RefreshNow}
	for i := range r.groups {
		name := fmt.Sprintf("weights/%d", i)
		r.groups[i] = &group{name: name, lease: NewLease(name, node, pause, st, log), swaps: map[string]*swap{}, loading: startLoading}
	}
	return r
}

// SetUnbounded lets all replicas be swapped at once; it is to be called before Step.
func (r *Rollout) SetUnbounded() { r.unbounded = true }

// groupOf says to which group a replica belongs.
func groupOf(id string) int { return int(xxhash.Sum64String(id) % groups) }

// Step begins swaps that are due; the timer service calls it. It returns at
// once when there is nothing to do.
func (r *Rollout) Step(ctx context.Context) {
	var parts [groups][]Target
	var sizes [groups]int
	all := 0
	for _, t := range r.fleet.Targets() {
		i := groupOf(t.ID)
		sizes[i]++
		all++
		if t.behind() {
			parts[i] = append(parts[i], t)
		}
	}
	var wg sync.WaitGroup
	for i, g := range r.groups {
		if r.work(g, parts[i]) {
			wg.Go(func() {
				r.step(ctx, g, parts[i], r.atOnce(i, sizes[i], all))
			})
		}
	}
	wg.Wait()
}

// atOnce bounds how many replicas are swapped at once: of a group, and of all. In a
// small fleet one of each group is too many: with five of nine engines loading, a load
// took 2.5 s instead of 1.1; bounded, worth of a day with two versions rose from 0.743 to
// 0.809 (four seeds). after is when the group begins.
type atOnce struct {
	group, all int
	after      time.Duration
}

func (r *Rollout) atOnce(i, size, all int) atOnce {
	if r.unbounded {
		return atOnce{group: size, all: all}
	}
	return atOnce{group: mostAtOnce(size), all: mostAtOnce(all), after: time.Duration(i) * groupPause}
}

// mostAtOnce is how many of some replicas are swapped at once.
func mostAtOnce(size int) int { return max(1, int(math.Round(swapShare*float64(size)))) }

// work says whether a group has anything to be done.
func (r *Rollout) work(g *group, behind []Target) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(behind) == 0 && g.running(r.now()) == 0 {
		g.since = time.Time{}
		return g.lease.Held()
	}
	if g.since.IsZero() {
		g.since = r.now()
	}
	return true
}

func (r *Rollout) step(ctx context.Context, g *group, behind []Target, most atOnce) {
	g.mu.Lock()
	since, idle := g.since, g.since.IsZero()
	g.mu.Unlock()
	if idle {
		g.lease.Release(ctx)
		return
	}
	if !g.lease.Held() && r.now().Sub(since) < time.Duration(r.fleet.Rank(g.name))*rankPause {
		return
	}
	if !g.lease.Keep(ctx) {
		return
	}
	// Those with the oldest weights come first: they have least time left.
	slices.SortStableFunc(behind, func(a, b Target) int {
		return cmp.Compare(a.Weights[a.Model], b.Weights[b.Model])
	})
	if r.now().Sub(since) < most.after {
		return
	}
	for _, t := range behind {
		r.begin(ctx, g, t, most)
	}
}

// Release gives up what is held, for a planned stop. The node steps on until it
// ends: a lease that it took again would be missing to the others for its term.
func (r *Rollout) Release(ctx context.Context) {
	for _, g := range r.groups {
		g.lease.Leave(ctx)
	}
}

// Close waits for swaps under way.
func (r *Rollout) Close() { r.wg.Wait() }

// running counts the swaps under way; the caller holds mu.
func (g *group) running(now time.Time) int {
	n := 0
	for id, s := range g.swaps {
		switch {
		case !s.ended && (s.free.IsZero() || now.Before(s.free)):
			n++
		case !s.ended:
		case now.After(s.until):
			delete(g.swaps, id)
		}
	}
	return n
}

func (r *Rollout) begin(ctx context.Context, g *group, t Target, most atOnce) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// Counting forgets those that were left alone for long enough.
	running := g.running(r.now())
	if _, known := g.swaps[t.ID]; known || running >= most.group || !r.mayBegin(t, most.all) {
		return
	}
	s := &swap{}
	g.swaps[t.ID] = s
	r.wg.Go(func() {
		pause := r.swap(context.WithoutCancel(ctx), g, t)
		g.mu.Lock()
		defer g.mu.Unlock()
		s.ended = true
		s.until = r.now().Add(pause)
	})
}

// mayBegin says whether another replica of all may be swapped, and has it steered away
// from if so. Groups step side by side, so that both are done as one.
func (r *Rollout) mayBegin(t Target, most int) bool {
	r.beginMu.Lock()
	defer r.beginMu.Unlock()
	if r.fleet.CountSwapping() >= most {
		return false
	}
	r.fleet.AvoidForSwap(t, steerTime+steerTerm)
	return true
}

// swap brings one replica to its weights and returns for how long it is to be
// left alone.
func (r *Rollout) swap(ctx context.Context, g *group, t Target) time.Duration {
	r.sleep(steerTime)
	end := r.now().Add(orderTerm)
	var ordered time.Time
	for r.now().Before(end) {
		report, err := r.engines.Report(ctx, t.Addr)
		switch {
		case err != nil:
			r.log.Warn("replica state not read", "replica", t.ID, "err", err)
		case !report.Started.IsZero() && !t.Started.IsZero() && !report.Started.Equal(t.Started):
			// It has started anew: what it has and has taken is listed anew, too.
			return backoffTerm
		case report.Draining:
			r.fleet.RecordDraining(t)
			return backoffTerm
		case report.Weights[t.Model] >= t.Version:
			r.fleet.RecordWeights(t, report.Weights[t.Model])
			if !ordered.IsZero() {
				g.noteDone(r.now().Sub(ordered))
			}
			r.log.Info("replica serves new weights", "replica", t.ID, "model", t.Model, "version", report.Weights[t.Model])
			return 0
		case report.Busy:
			r.fleet.AvoidForSwap(t, steerTerm)
			end = r.now().Add(orderTerm)
		case ordered.IsZero():
			if !r.order(ctx, g, t, report.Orders) {
				return backoffTerm
			}
			ordered = r.now()
			g.noteOrdered(t.ID, ordered)
			r.fleet.AvoidForSwap(t, steerTerm)
			end = r.now().Add(orderTerm)
		}
		r.sleep(askEvery)
	}
	r.log.Warn("replica not swapped in time", "replica", t.ID, "model", t.Model, "version", t.Version)
	return backoffTerm
}

// order gives the order and says whether it may have been taken.
func (r *Rollout) order(ctx context.Context, g *group, t Target, orders int64) bool {
	if !g.lease.Held() {
		return false
	}
	outcome, err := r.engines.Order(ctx, t.Addr, site.Order{
		Model:    t.Model,
		Version:  t.Version,
		Holder:   r.node,
		Fence:    g.lease.Fence(),
		Orders:   orders,
		Instance: t.ID,
	})
	r.log.Info("order given", "replica", t.ID, "model", t.Model, "version", t.Version,
		"fence", g.lease.Fence(), "orders", orders, "outcome", int(outcome), "err", err)
	return outcome == site.OrderAccepted || outcome == site.OrderUnknown
}

func (r *Rollout) sleep(d time.Duration) { time.Sleep(d) }
