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
	timerWorkers = 8
	// indirectProbesPerInterval is how often, within a probe interval, nodes that
	// have not answered yet are probed through others.
	indirectProbesPerInterval = 3
	watchInterval             = 200 * time.Millisecond
	capacityInterval          = 100 * time.Millisecond
	reconcileInterval         = time.Second
	startTimeout              = 5 * time.Second
	// overcommit is how many requests are admitted per engine slot, so that an
	// engine always has a queue to schedule from.
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
	ConfigSync   *ConfigSync
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

// New builds a node. It listens at once but serves only after Start.
func New(s config.Settings, log *slog.Logger, level *slog.LevelVar) (n *Node, err error) {
	defer func() { err = eris.Wrap(err, "new node") }()
	container := dig.New()
	for _, constructor := range constructors(s, log, level) {
		if err := container.Provide(constructor); err != nil {
			return nil, err
		}
	}
	err = container.Invoke(func(built Node) { n = &built })
	if err != nil {
		return nil, eris.Wrap(dig.RootCause(err), "build")
	}
	n.registerHandlers()
	n.registerSuspectHandlers()
	return n, nil
}

// Start joins the fleet and begins to serve. It does so even if the platform's
// table service is unreachable: the configuration then comes from peers.
func (n *Node) Start() {
	n.Peer.Start()
	n.Probes.Start()
	n.Config.Watch(n.applyConfig)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := n.Config.Load(ctx); err != nil {
		n.Log.Debug("configuration snapshot not loaded", "err", err)
	}
	n.join(ctx)
	n.ConfigSync.Refresh(ctx)
	n.Loads.Poll(ctx)
	n.setCapacity(ctx)
	probeInterval := n.Settings.Peer.ProbeEvery.Std()
	n.Timer.Subscribe(probeInterval, n.sendProbes)
	n.Timer.Subscribe(probeInterval/indirectProbesPerInterval, n.sendIndirectProbes)
	n.Timer.Subscribe(tableRefreshInterval, n.ConfigSync.Refresh)
	n.Timer.Subscribe(loadPollInterval, n.Loads.Poll)
	n.Timer.Subscribe(storePollInterval, n.Loads.PollStores)
	n.Timer.Subscribe(watchInterval, n.Watches.Poll)
	n.Timer.Subscribe(capacityInterval, n.setCapacity)
	n.Timer.Subscribe(reconcileInterval, n.Reconciler.Step)
	n.Timer.Subscribe(vmListInterval, n.Platform.poll)
	n.Timer.Subscribe(suspects.StepInterval, n.Suspects.Step)
	n.Entry.Start()
	n.Log.Info("node started", "node", n.Settings.Node.Name, "entry", n.Entry.Addr(), "peer", n.Peer.Addr(),
		"version", n.Config.State().Version)
}

// joinSeeds is how many seeds have to answer a starting node, which then asks no
// others: each answer lists the whole fleet.
const joinSeeds = 2

// join fetches the member list and the configuration from seeds. It asks them in
// random order, so that nodes that start together don't all ask the same ones.
func (n *Node) join(ctx context.Context) {
	seeds := slices.Clone(n.Settings.Peer.Seeds)
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	answered := 0
	for _, seed := range seeds {
		if seed == n.Peer.Addr() || answered == joinSeeds {
			continue
		}
		var answer peer.MembersAnswer
		if err := n.Client.Call(ctx, seed, peer.MethodMembers, struct{}{}, &answer); err != nil {
			n.Log.Debug("seed not reached", "seed", seed, "err", err)
			continue
		}
		answered++
		n.Members.Merge(answer.Members, time.Now())
		if err := n.ConfigSync.Pull(ctx, seed); err != nil {
			n.Log.Debug("configuration not pulled", "seed", seed, "err", err)
		}
		n.Platform.setLeaving(answer.Leaving)
	}
	n.sendProbes(ctx)
}

// applyConfig applies a new configuration to the upstreams and the fleet. It is
// called with versions in ascending order.
func (n *Node) applyConfig(s *config.State) {
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

func (n *Node) sendProbes(context.Context) {
	n.Probes.Send(n.Members.Tick(time.Now(), n.Config.State().Version))
}

func (n *Node) sendIndirectProbes(context.Context) {
	n.Probes.Send(n.Members.IndirectProbes(time.Now(), n.Config.State().Version))
}

// setCapacity adapts the admission limit to the engines' queueing delay. The upper
// bound is this node's share of the engines' slots, times overcommit.
func (n *Node) setCapacity(context.Context) {
	now := time.Now()
	nodes := max(1, len(n.Members.Working()))
	n.Admission.Adapt(n.Fleet.MedianWait(now), int(overcommit*float64(n.Fleet.Slots()))/nodes, now)
}

// Leave announces a planned stop, keeps serving until the answers to /v1/entries
// that list this node have expired, and then waits for requests in flight.
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

// Close stops serving and waits for all goroutines that the node started.
func (n *Node) Close() {
	n.Entry.Close()
	n.Timer.Close()
	n.Suspects.Close()
	n.ConfigSync.Close()
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
