package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/dig"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/tablestore"
	"github.com/drumpath/drumpath/pkg/timer"
	"github.com/drumpath/drumpath/service/entry"
	"github.com/drumpath/drumpath/service/operator"
	"github.com/drumpath/drumpath/service/peer"
	"github.com/drumpath/drumpath/service/suspects"
)

const (
	timerWorkers   = 8
	lateShare      = 3
	watchEvery     = 200 * time.Millisecond
	capacityEvery  = 100 * time.Millisecond
	reconcileEvery = time.Second
	startTimeout   = 5 * time.Second
	// overcommit is how many requests are let in for each slot of the engines,
	// so that engines always have some to choose from.
	overcommit = 1.5
)

// Node is one drumpath process.
type Node struct {
	dig.In

	Settings     config.Settings
	Log          *slog.Logger
	Level        *slog.LevelVar
	Timer        *timer.Service
	Members      *control.Members
	Config       *control.Log
	Claims       *control.Claims
	Collector    *control.Collector
	Leases       *control.Leases
	Table        *tablestore.Table
	Objects      *tablestore.Objects
	Shard        *prompt.Directory
	Directory    *Directory
	Upstreams    *Upstreams
	Fleet        *route.Fleet
	Links        *route.Links
	Admission    *route.Admission
	ExportPolicy *route.ExportPolicy
	Watches      *Watches
	Loads        *LoadPoller
	Spread       *Spread
	Reconciler   *Reconciler
	Suspects     *suspects.Suspects
	Client       *peer.Client
	Peer         *peer.Server
	Probes       *peer.Probes
	Entry        *entry.Server
	Operator     *operator.Service
	Metrics      *entry.Metrics
	Platform     *PlatformList
}

// New builds a node; it listens but does not serve before Start.
func New(s config.Settings, log *slog.Logger, level *slog.LevelVar) (n *Node, err error) {
	defer func() { err = eris.Wrap(err, "new node") }()
	c := dig.New()
	for _, constructor := range constructors(s, log, level) {
		if err := c.Provide(constructor); err != nil {
			return nil, err
		}
	}
	err = c.Invoke(func(built Node) { n = &built })
	if err != nil {
		return nil, eris.Wrap(dig.RootCause(err), "build")
	}
	n.handle()
	n.handleSuspects()
	return n, nil
}

// Start joins the fleet and serves. A platform that does not answer does not
// keep it from starting: the configuration then comes from peers.
func (n *Node) Start() {
	n.Peer.Start()
	n.Probes.Start()
	n.Config.Watch(n.configure)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := n.Config.Load(ctx); err != nil {
		n.Log.Debug("configuration snapshot not loaded", "err", err)
	}
	n.join(ctx)
	n.Spread.Refresh(ctx)
	n.Loads.Poll(ctx)
	n.setCapacity(ctx)
	every := n.Settings.Peer.ProbeEvery.Std()
	n.Timer.Subscribe(every, n.probe)
	n.Timer.Subscribe(every/lateShare, n.probeLate)
	n.Timer.Subscribe(tableEvery, n.Spread.Refresh)
	n.Timer.Subscribe(loadFast, n.Loads.Poll)
	n.Timer.Subscribe(storesEvery, n.Loads.PollStores)
	n.Timer.Subscribe(watchEvery, n.Watches.Poll)
	n.Timer.Subscribe(capacityEvery, n.setCapacity)
	n.Timer.Subscribe(reconcileEvery, n.Reconciler.Step)
	n.Timer.Subscribe(vmsEvery, n.Platform.poll)
	n.Timer.Subscribe(suspects.StepInterval, n.Suspects.Step)
	n.Entry.Start()
	n.Log.Info("node started", "node", n.Settings.Node.Name, "entry", n.Entry.Addr(), "peer", n.Peer.Addr(),
		"version", n.Config.State().Version)
}

// joinSeeds is how many seeds a starting node asks; each answer has the whole
// fleet.
const joinSeeds = 2

// join learns the fleet and the configuration from seeds in random order, so
// that many nodes that start together don't all ask the same.
func (n *Node) join(ctx context.Context) {
	seeds := slices.Clone(n.Settings.Peer.Seeds)
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	answered := 0
	for _, seed := range seeds {
		if seed == n.Peer.Addr() || answered == joinSeeds {
			continue
		}
		var a peer.MembersAnswer
		if err := n.Client.Call(ctx, seed, peer.MethodMembers, struct{}{}, &a); err != nil {
			n.Log.Debug("seed not reached", "seed", seed, "err", err)
			continue
		}
		answered++
		n.Members.Merge(a.Members, time.Now())
		if err := n.Spread.Pull(ctx, seed); err != nil {
			n.Log.Debug("configuration not pulled", "seed", seed, "err", err)
		}
		n.Platform.take(a.Leaving)
	}
	n.probe(ctx)
}

// configure takes a new configuration into use; it is called in order.
func (n *Node) configure(s *config.State) {
	if s.UpstreamsVersion == n.Upstreams.Version() && s.UpstreamsVersion > 0 {
		return
	}
	n.Upstreams.Configure(s)
	var replicas []route.Replica
	for _, u := range s.UpstreamsOf(config.UpstreamEngine) {
		replicas = append(replicas, route.Replica{Name: u.Name, DataHall: u.DataHall, Model: u.Model})
	}
	n.Fleet.Configure(replicas, time.Now())
}

func (n *Node) probe(context.Context) {
	n.Probes.Send(n.Members.Tick(time.Now(), n.Config.State().Version))
}

func (n *Node) probeLate(context.Context) {
	n.Probes.Send(n.Members.IndirectProbes(time.Now(), n.Config.State().Version))
}

// setCapacity adapts how many requests are let in; at most this node's share of
// the engines' slots.
func (n *Node) setCapacity(context.Context) {
	now := time.Now()
	nodes := max(1, len(n.Members.Working()))
	n.Admission.Adapt(n.Fleet.MedianWait(now), int(overcommit*float64(n.Fleet.Slots()))/nodes, now)
}

// Leave announces a planned stop, waits until no caller can still come by an
// answer to /v1/entries, and until all requests are answered.
func (n *Node) Leave(ctx context.Context) {
	n.Log.Info("leaving", "node", n.Settings.Node.Name, "in_flight", n.Entry.InFlight())
	n.Probes.Send(n.Members.Leave(time.Now()))
	n.Leases.Release(ctx)
	select {
	case <-time.After(n.Settings.Entry.MaxAge.Std()):
	case <-ctx.Done():
	}
	if err := n.Entry.Drain(ctx); err != nil {
		n.Log.Warn("stopping with requests in flight", "in_flight", n.Entry.InFlight())
	}
}

// Close stops serving and waits for everything that was started.
func (n *Node) Close() {
	n.Entry.Close()
	n.Timer.Close()
	n.Suspects.Close()
	n.Spread.Close()
	n.Claims.Close()
	n.Collector.Close()
	n.Probes.Close()
	n.Peer.Close()
	n.Client.Close()
	n.Directory.Close()
	n.Upstreams.Close()
	n.Table.Close()
	n.Objects.Close()
	n.Platform.close()
}
