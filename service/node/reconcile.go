package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/upstream"
)

const (
	orderTimeout = 2 * time.Second
	// swapShare is one over the share of a model's engines that may be between
	// two weight versions at once.
	swapShare = 3
)

// Reconciler brings engines to the weight versions that the configuration
// names, under leases. It is level-triggered: each round reads what an engine
// serves and orders only what differs, so a lost order is simply made up.
type Reconciler struct {
	log       *slog.Logger
	config    *control.Log
	leases    *control.Leases
	upstreams *Upstreams
	fleet     *route.Fleet

	mu sync.Mutex // Held over a round.
}

// NewReconciler returns a reconciler.
func NewReconciler(c *control.Log, l *control.Leases, u *Upstreams, f *route.Fleet, log *slog.Logger) *Reconciler {
	return &Reconciler{log: log, config: c, leases: l, upstreams: u, fleet: f}
}

// Step goes over the engines of held leases once; the timer service calls it.
func (r *Reconciler) Step(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leases.Step(ctx)
	state := r.config.State()
	turns := r.turns(state)
	var g errgroup.Group
	g.SetLimit(watchAtOnce)
	for _, e := range r.upstreams.Engines() {
		if !turns[e.Name] || !r.leases.Held(control.GroupOf(e.Name)) {
			continue
		}
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			r.reconcile(ctx, state, e)
			return nil
		})
	}
	_ = g.Wait() // Each logs its own.
}

// turns names the engines whose last report differs from the configuration and
// whose turn it is. A model's engines swap in waves, by name, so that most go on
// serving.
func (r *Reconciler) turns(state *config.State) map[string]bool {
	turns := map[string]bool{}
	count := map[string]int{}
	engines := state.UpstreamsOf(config.UpstreamEngine)
	for _, u := range engines {
		count[u.Model]++
	}
	differ := map[string]int{}
	for _, u := range engines {
		if r.fleet.ReportOf(u.Name).Weights == state.Models[u.Model].Weights {
			continue
		}
		if differ[u.Model] < max(1, count[u.Model]/swapShare) {
			turns[u.Name] = true
		}
		differ[u.Model]++
	}
	return turns
}

// reconcile reads what an engine serves and orders what differs.
func (r *Reconciler) reconcile(ctx context.Context, state *config.State, e engineClient) {
	have, err := e.State(ctx)
	if err != nil {
		r.log.Debug("engine not read", "upstream", e.Name, "err", err)
		return
	}
	want := state.Models[e.Model].Weights
	if have.Loading || (have.Model == e.Model && have.Weights == want) {
		return
	}
	group := control.GroupOf(e.Name)
	if !e.Fenced && !r.leases.Settled(group) {
		return
	}
	// The last thing before the order: a lease that lapsed gives no fence.
	fence, ok := r.leases.Fence(group)
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
		r.log.Warn("order not taken", "upstream", e.Name, "err", err)
		return
	}
	r.log.Info("order given", "upstream", e.Name, "weights", want, "epoch", fence.Epoch, "seq", fence.Seq)
}
