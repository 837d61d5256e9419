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

	mu      sync.Mutex // Held over a round.
	version uint64     // Of the upstreams that engines was made from.
	engines []leasedEngine
	count   map[wave]int
	next    int // In rotation.

	readMu sync.Mutex
	read   map[string]string // Weights by engine, as last read.
}

// NewReconciler returns a reconciler.
func NewReconciler(c *control.Log, l *control.Leases, u *Upstreams, f *route.Fleet, log *slog.Logger) *Reconciler {
	return &Reconciler{log: log, config: c, leases: l, upstreams: u, fleet: f, read: map[string]string{}}
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
		if !turns[e.Name] {
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

// turns names the engines to look at now: those that are not known to serve what
// the configuration names, in waves by name, so that most go on serving, and one
// more in rotation.
//
// In a small fleet this node hears of every engine's load, and a wave is a share
// of all. In a large one it hears of few; then each lease's engines have waves of
// their own, which is the same share of all.
func (r *Reconciler) turns(state *config.State) map[string]bool {
	r.index(state)
	turns := map[string]bool{}
	differ := map[wave]int{}
	var held []string
	for _, u := range r.engines {
		mine := r.leases.Held(u.lease)
		if mine {
			held = append(held, u.Name)
		}
		if !mine && r.large() {
			continue
		}
		if r.weightsOf(u.Name) == state.Models[u.Model].Weights {
			continue
		}
		w := r.waveOf(u)
		if mine && differ[w] < max(1, r.count[w]/swapShare) {
			turns[u.Name] = true
		}
		differ[w]++
	}
	if len(held) > 0 {
		r.next++
		turns[held[r.next%len(held)]] = true
	}
	return turns
}

// wave is a set of engines of which only a share may be between two versions.
type wave struct{ model, group string }

func (r *Reconciler) waveOf(u leasedEngine) wave {
	if r.large() {
		return wave{model: u.Model, group: u.lease}
	}
	return wave{model: u.Model}
}

// leasedEngine is an engine and the lease under which orders go to it.
type leasedEngine struct {
	config.Upstream
	lease string
}

// large says whether this node does not hear of every engine's load.
func (r *Reconciler) large() bool { return len(r.engines) > loadSubset }

// weightsOf is what an engine serves, as far as is known: by its last load
// report, else as it was last read.
func (r *Reconciler) weightsOf(name string) string {
	if weights := r.fleet.ReportOf(name).Weights; weights != "" {
		return weights
	}
	r.readMu.Lock()
	defer r.readMu.Unlock()
	return r.read[name]
}

// note keeps what was read; an engine that is loading serves nothing yet.
func (r *Reconciler) note(name string, have upstream.EngineState) {
	r.readMu.Lock()
	defer r.readMu.Unlock()
	if have.Loading {
		have.Weights = ""
	}
	r.read[name] = have.Weights
}

// index sorts the engines again only after a change of upstreams.
func (r *Reconciler) index(state *config.State) {
	if r.count != nil && r.version == state.UpstreamsVersion {
		return
	}
	r.version = state.UpstreamsVersion
	r.engines = nil
	for _, u := range state.UpstreamsOf(config.UpstreamEngine) {
		r.engines = append(r.engines, leasedEngine{Upstream: u, lease: control.LeaseFor(u.Name)})
	}
	r.count = map[wave]int{}
	for _, u := range r.engines {
		r.count[r.waveOf(u)]++
	}
}

// reconcile reads what an engine serves and orders what differs.
func (r *Reconciler) reconcile(ctx context.Context, state *config.State, e engineClient) {
	have, err := e.State(ctx)
	if err != nil {
		r.log.Debug("engine state not read", "upstream", e.Name, "err", err)
		return
	}
	r.note(e.Name, have)
	want := state.Models[e.Model].Weights
	if have.Loading || (have.Model == e.Model && have.Weights == want) {
		return
	}
	group := control.LeaseFor(e.Name)
	if !e.Fenced && !r.leases.HeldForFullTerm(group) {
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
		r.log.Warn("order not accepted", "upstream", e.Name, "err", err)
		return
	}
	r.log.Info("order given", "upstream", e.Name, "weights", want, "epoch", fence.Epoch, "seq", fence.Seq)
}
