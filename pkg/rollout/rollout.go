package rollout

import (
	"context"
	"log/slog"
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/site"
)

// Engines are the replicas, as far as orders go.
type Engines interface {
	Report(ctx context.Context, addr netip.AddrPort) (site.EngineReport, error)
	Order(ctx context.Context, addr netip.AddrPort, o site.Order) (site.OrderOutcome, error)
}

// Fleet is what is known of the replicas, and who hears of swaps.
type Fleet interface {
	// Behind lists the replicas that don't serve a model's newest weights, with
	// how many replicas serve it in all.
	Behind() (list []Target, all int)
	// Steer has all nodes send requests elsewhere for a while.
	Steer(id string, d time.Duration)
	// Serves notes what a replica has said that it serves.
	Serves(t Target, version int64)
}

// Target is a replica and the weights that it is to serve.
type Target struct {
	site.Upstream
	Model   string
	Version int64
}

const (
	// Every is the period of Step.
	Every = 50 * time.Millisecond
	// swapShare is the part of the replicas that is swapped at once: fewer take
	// long, more leave too few to serve. Measured, docs/POLICY.md.
	swapShare = 0.25
	// steerTime is for how long requests are sent elsewhere before an order, so
	// that most runs have ended.
	steerTime = 250 * time.Millisecond
	// steerTerm is for how long nodes pass a replica over at each word of it.
	steerTerm = 600 * time.Millisecond
	// askEvery is how often a swapping replica is asked how far it is.
	askEvery = 200 * time.Millisecond
	// orderTerm is after how long an order of which nothing is seen is given
	// again, and a replica that does not answer is left to the next round.
	orderTerm = 1500 * time.Millisecond
	// backoffTerm is for how long a replica that would not be swapped is left
	// alone.
	backoffTerm = time.Second
)

// Rollout gives the orders.
type Rollout struct {
	lease   *Lease
	engines Engines
	fleet   Fleet
	node    string
	log     *slog.Logger
	now     func() time.Time

	mu    sync.Mutex
	swaps map[string]*swap
	wg    sync.WaitGroup
}

// swap is one replica that is being brought to other weights.
type swap struct {
	begun time.Time
	until time.Time // Left alone until, once it has ended.
	ended bool
}

// New returns a rollout that gives orders in a node's name.
func New(node string, l *Lease, e Engines, f Fleet, log *slog.Logger) *Rollout {
	return &Rollout{node: node, lease: l, engines: e, fleet: f, log: log, now: time.Now, swaps: map[string]*swap{}}
}

// Step begins swaps that are due; the timer service calls it. It returns at
// once when there is nothing to do.
func (r *Rollout) Step(ctx context.Context) {
	behind, all := r.fleet.Behind()
	if len(behind) == 0 && r.running() == 0 {
		r.lease.Release(ctx)
		return
	}
	if !r.lease.Keep(ctx) {
		return
	}
	most := max(1, int(math.Ceil(swapShare*float64(all))))
	for _, t := range behind {
		if r.running() >= most {
			return
		}
		r.begin(ctx, t)
	}
}

// Close waits for swaps under way.
func (r *Rollout) Close() { r.wg.Wait() }

func (r *Rollout) running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for id, s := range r.swaps {
		switch {
		case !s.ended:
			n++
		case r.now().After(s.until):
			delete(r.swaps, id)
		}
	}
	return n
}

func (r *Rollout) begin(ctx context.Context, t Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.swaps[t.ID]; known {
		return
	}
	s := &swap{begun: r.now()}
	r.swaps[t.ID] = s
	r.wg.Go(func() {
		pause := r.swap(context.WithoutCancel(ctx), t)
		r.mu.Lock()
		defer r.mu.Unlock()
		s.ended = true
		s.until = r.now().Add(pause)
	})
}

// swap brings one replica to its weights and returns for how long it is to be
// left alone.
func (r *Rollout) swap(ctx context.Context, t Target) time.Duration {
	r.fleet.Steer(t.ID, steerTime+steerTerm)
	r.sleep(steerTime)
	end := r.now().Add(orderTerm)
	ordered := false
	for r.now().Before(end) {
		report, err := r.engines.Report(ctx, t.Addr)
		switch {
		case err != nil:
			r.log.Warn("replica not asked", "replica", t.ID, "err", err)
		case report.Weights[t.Model] >= t.Version:
			r.fleet.Serves(t, report.Weights[t.Model])
			r.log.Info("replica serves new weights", "replica", t.ID, "model", t.Model, "version", report.Weights[t.Model])
			return 0
		case report.Busy:
			r.fleet.Steer(t.ID, steerTerm)
			end = r.now().Add(orderTerm)
		case !ordered:
			ordered = r.order(ctx, t, report.Orders)
			if !ordered {
				return backoffTerm
			}
			r.fleet.Steer(t.ID, steerTerm)
			end = r.now().Add(orderTerm)
		}
		r.sleep(askEvery)
	}
	r.log.Warn("replica not swapped in time", "replica", t.ID, "model", t.Model, "version", t.Version)
	return backoffTerm
}

// order gives the order and says whether it may have been taken.
func (r *Rollout) order(ctx context.Context, t Target, orders int64) bool {
	if !r.lease.Held() {
		return false
	}
	outcome, err := r.engines.Order(ctx, t.Addr, site.Order{
		Model:    t.Model,
		Version:  t.Version,
		Holder:   r.node,
		Fence:    r.lease.Fence(),
		Orders:   orders,
		Instance: t.ID,
	})
	r.log.Info("order given", "replica", t.ID, "model", t.Model, "version", t.Version,
		"fence", r.lease.Fence(), "orders", orders, "outcome", int(outcome), "err", err)
	return outcome == site.OrderTaken || outcome == site.OrderUnknown
}

func (r *Rollout) sleep(d time.Duration) { time.Sleep(d) }
