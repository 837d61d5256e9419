package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/upstream"
)

const (
	// loadSubset is how many engines of a model a node asks for their load. A
	// larger fleet is shared out by rendezvous hashing, so that each engine is
	// asked by about as many nodes.
	loadSubset = 32
	// loadBytes is about how long a load report is on the wire.
	loadBytes = 400
	// loadBudget is how many bytes a second a node spends on load reports.
	loadBudget = 20_000
	loadFast   = 200 * time.Millisecond
)

// Loads asks engines for their load, as often as the budget allows.
type Loads struct {
	self      string
	members   *control.Members
	upstreams *Upstreams
	fleet     *route.Fleet
	links     *route.Links
	log       *slog.Logger

	mu   sync.Mutex
	last time.Time
}

// NewLoads returns a poller that has asked nobody yet.
func NewLoads(self string, m *control.Members, u *Upstreams, f *route.Fleet, l *route.Links, log *slog.Logger) *Loads {
	return &Loads{self: self, members: m, upstreams: u, fleet: f, links: l, log: log}
}

// Poll asks the subset once, unless it is too soon for the budget.
func (l *Loads) Poll(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	subset := l.subset()
	every := time.Duration(float64(len(subset)) * loadBytes / loadBudget * float64(time.Second))
	if time.Since(l.last) < every {
		return
	}
	l.last = time.Now()
	var g errgroup.Group
	g.SetLimit(watchAtOnce)
	for _, e := range subset {
		g.Go(func() error {
			l.ask(ctx, e)
			return nil
		})
	}
	_ = g.Wait() // Each asks for itself.
}

func (l *Loads) ask(ctx context.Context, e engineClient) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	r, err := e.Load(ctx)
	if err != nil {
		l.log.Debug("no load report", "upstream", e.Name, "err", err)
		return
	}
	now := time.Now()
	l.fleet.Report(e.Name, loadReport(r, now))
	l.links.Report(e.Name, r.LinkRate, r.LinkQueue, now)
}

func loadReport(r upstream.LoadReport, now time.Time) route.Report {
	return route.Report{
		Taken:        now.Add(-time.Duration(r.AgeMillis) * time.Millisecond),
		Slots:        r.Slots,
		Running:      r.Running,
		Queued:       r.Queued,
		PrefillQueue: r.PrefillQueue,
		PrefillRate:  r.PrefillRate,
		Decode:       time.Duration(r.DecodeMillis * float64(time.Millisecond)),
		TokenBytes:   r.TokenBytes,
		Weights:      r.Weights,
		Leaving:      r.Leaving,
	}
}

// subset picks the engines that this node asks.
func (l *Loads) subset() []engineClient {
	all := l.upstreams.Engines()
	if len(all) <= loadSubset {
		return all
	}
	members := l.members.Working()
	copies := max(1, loadSubset*len(members)/len(all))
	var list []engineClient
	for _, e := range all {
		for _, m := range control.Owners(members, "load/"+e.Name, copies) {
			if m.Name == l.self {
				list = append(list, e)
			}
		}
	}
	return list
}
