package node

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/upstream"
)

const (
	orderTimeout = 2 * time.Second
	// swapDivisor limits how many engines swap weights at once: at most one in
	// swapDivisor of a swapGroup.
	swapDivisor = 3
)

// Reconciler brings engines to the weight versions that the configuration names.
// It gives orders only to engines whose leases this node holds. It is
// level-triggered: each round reads what an engine serves and orders a load only
// if that differs, so a lost order is given again.
type Reconciler struct {
	log       *slog.Logger
	config    *control.Log
	leases    *control.Leases
	upstreams *Upstreams
	fleet     *route.Fleet

	mu         locks.Mutex // Held during a round.
	version    uint64      // UpstreamsVersion that engines was built from.
	engines    []leasedEngine
	groupSizes map[swapGroup]int
	rotation   int // Counts rounds, to pick one held engine after another.

	readWeightsMu locks.Mutex
	readWeights   map[string]string // By engine: the weights last read from it.
}

// NewReconciler returns a Reconciler; Step runs its rounds.
func NewReconciler(c *control.Log, l *control.Leases, u *Upstreams, f *route.Fleet, log *slog.Logger) *Reconciler {
	return &Reconciler{log: log, config: c, leases: l, upstreams: u, fleet: f, readWeights: map[string]string{}}
}

// Step runs one round over the engines of held leases; the timer service calls it.
func (r *Reconciler) Step(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leases.Step(ctx)
	state := r.config.State()
	check := r.enginesToCheck(state)
	var g errgroup.Group
	g.SetLimit(maxConcurrentPolls)
	for _, e := range r.upstreams.Engines() {
		if !check[e.Name] {
			continue
		}
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			r.reconcile(ctx, state, e)
			return nil
		})
	}
	_ = g.Wait() // reconcile logs its own errors.
}

// enginesToCheck returns the engines to reconcile in this round: engines of held
// leases that are not known to serve the configured weights, limited to a share of
// each swapGroup so that most engines go on serving, and one more in rotation.
//
// In a small fleet this node has every engine's load report, and the share is taken
// of all engines of a model. In a large one it has only some, so the share is taken
// of each lease's engines, which comes to the same share of all.
func (r *Reconciler) enginesToCheck(state *config.State) map[string]bool {
	r.indexEngines(state)
	check := map[string]bool{}
	differing := map[swapGroup]int{}
	var held []string
	for _, u := range r.engines {
		leaseHeld := r.leases.Held(u.lease)
		if leaseHeld {
			held = append(held, u.Name)
		}
		if !leaseHeld && r.pollsSubset() {
			continue
		}
		if r.knownWeights(u.Name) == state.Models[u.Model].Weights {
			continue
		}
		group := r.swapGroupOf(u)
		if leaseHeld && differing[group] < max(1, r.groupSizes[group]/swapDivisor) {
			check[u.Name] = true
		}
		differing[group]++
	}
	if len(held) > 0 {
		r.rotation++
		check[held[r.rotation%len(held)]] = true
	}
	return check
}

// swapGroup identifies the engines of a model, or of a model and a lease, of which
// only a share may swap weights at once.
type swapGroup struct{ model, lease string }

func (r *Reconciler) swapGroupOf(u leasedEngine) swapGroup {
	if r.pollsSubset() {
		return swapGroup{model: u.Model, lease: u.lease}
	}
	return swapGroup{model: u.Model}
}

// leasedEngine is an engine and the lease needed to give it orders.
type leasedEngine struct {
	config.Upstream
	lease string
}

// pollsSubset reports whether the LoadPoller polls only some of the engines.
func (r *Reconciler) pollsSubset() bool { return len(r.engines) > maxPolledEngines }

// knownWeights returns the weights that an engine serves: by its last load report,
// else as last read from the engine.
func (r *Reconciler) knownWeights(name string) string {
	if weights := r.fleet.ReportOf(name).Weights; weights != "" {
		return weights
	}
	r.readWeightsMu.Lock()
	defer r.readWeightsMu.Unlock()
	return r.readWeights[name]
}

// recordWeights records the weights read from an engine; one that is still loading
// serves none.
func (r *Reconciler) recordWeights(name string, have upstream.EngineState) {
	r.readWeightsMu.Lock()
	defer r.readWeightsMu.Unlock()
	if have.Loading {
		have.Weights = ""
	}
	r.readWeights[name] = have.Weights
}

// indexEngines rebuilds the engine list and group sizes after a change of upstreams.
func (r *Reconciler) indexEngines(state *config.State) {
	if r.groupSizes != nil && r.version == state.UpstreamsVersion {
		return
	}
	r.version = state.UpstreamsVersion
	r.engines = nil
	for _, u := range state.UpstreamsOf(config.UpstreamEngine) {
		r.engines = append(r.engines, leasedEngine{Upstream: u, lease: control.LeaseFor(u.Name)})
	}
	r.groupSizes = map[swapGroup]int{}
	for _, u := range r.engines {
		r.groupSizes[r.swapGroupOf(u)]++
	}
}

// reconcile reads what an engine serves and orders a load if that differs from the
// configuration.
func (r *Reconciler) reconcile(ctx context.Context, state *config.State, e engineClient) {
	have, err := e.State(ctx)
	if err != nil {
		r.log.Debug("engine state not read", "upstream", e.Name, "err", err)
		return
	}
	r.recordWeights(e.Name, have)
	want := state.Models[e.Model].Weights
	if have.Loading || (have.Model == e.Model && have.Weights == want) {
		return
	}
	lease := control.LeaseFor(e.Name)
	if !e.Fenced && !r.leases.HeldForFullTerm(lease) {
		return
	}
	// Must come right before the order: a lease that has expired gives no fence.
	fence, ok := r.leases.Fence(lease)
	if !ok {
		return
	}
	order := upstream.Order{
		Epoch:   fence.Epoch,
		Seq:     fence.Seq,
		Action:  upstream.OrderLoad,
		Model:   e.Model,
		Weights: want,
	}
	if err := e.Order(ctx, order); err != nil {
		r.log.Warn("order not accepted", "upstream", e.Name, "err", err)
		return
	}
	r.log.Info("order given", "upstream", e.Name, "weights", want, "epoch", fence.Epoch, "seq", fence.Seq)
}
