package node

import (
	"context"
	"encoding/json"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/dig"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/platform"
	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/timer"
	"github.com/drumpath/drumpath/service/entry"
	"github.com/drumpath/drumpath/service/operator"
	"github.com/drumpath/drumpath/service/peer"
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

	Settings   config.Settings
	Log        *slog.Logger
	Level      *slog.LevelVar
	Timer      *timer.Service
	Members    *control.Members
	Config     *control.Log
	Claims     *control.Claims
	Collector  *control.Collector
	Leases     *control.Leases
	Table      *platform.Table
	Objects    *platform.Objects
	Shard      *prompt.Directory
	Directory  *Directory
	Upstreams  *Upstreams
	Fleet      *route.Fleet
	Links      *route.Links
	Admission  *route.Admission
	Keep       *route.Keep
	Watches    *Watches
	Loads      *Loads
	Spread     *Spread
	Reconciler *Reconciler
	Client     *peer.Client
	Peer       *peer.Server
	Probes     *peer.Probes
	Entry      *entry.Server
	Operator   *operator.Service
	Metrics    *entry.Metrics
	Platform   *PlatformList
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
	return n, nil
}

// constructors are what the container builds a node from.
func constructors(s config.Settings, log *slog.Logger, level *slog.LevelVar) []any {
	weights := route.Weights{
		Latency:   s.Policy.LatencyWeight,
		Recompute: s.Policy.RecomputeWeight,
		Link:      s.Policy.LinkWeight,
		Patience:  s.Policy.Patience.Std(),
	}
	return []any{
		func() config.Settings { return s },
		func() *slog.Logger { return log },
		func() *slog.LevelVar { return level },
		func() *timer.Service { return timer.NewService(timerWorkers) },
		func() *platform.Table { return platform.NewTable(s.Platform.Table, s.Platform.Timeout.Std()) },
		func() *platform.Objects { return platform.NewObjects(s.Platform.Object, s.Platform.Timeout.Std()) },
		func() *peer.Client { return peer.NewClient(s.Peer.Key) },
		func() *prompt.Directory { return prompt.NewDirectory(s.Limits.DirectoryKeys, time.Now()) },
		func() *route.Fleet { return route.NewFleet(newRand()) },
		func() *entry.Metrics { return new(entry.Metrics) },
		func() *route.Keep { return route.NewKeep(weights) },
		func() *route.RetryBudget { return route.NewRetryBudget(s.Limits.RetryShare) },
		func(f *route.Fleet, l *route.Links) route.Policy {
			return route.NewPolicy(s.Policy.Name, f, l, weights)
		},
		func(t *platform.Table, o *platform.Objects) *control.Log {
			return control.NewLog(s.Node.Name, t, o, log)
		},
		control.NewCollector,
		func(t *platform.Table, c *control.Collector, m *control.Members, p *peer.Client) *control.Claims {
			return control.NewClaims(s.Node.Name, &claimTable{
				self:    s.Node.Name,
				members: m,
				client:  p,
				local:   c,
				table:   t,
				log:     log,
				avoid:   map[string]time.Time{},
			}, log)
		},
		func(t *platform.Table, m *control.Members) *control.Leases {
			return control.NewLeases(s.Node.Name, s.Limits.LeaseTerm.Std(), t, m, log)
		},
		func(d *prompt.Directory, m *control.Members, c *peer.Client) *Directory {
			return NewDirectory(s.Node.Name, d, m, c, log)
		},
		func(m *control.Members, u *Upstreams, d *Directory) *Watches {
			return NewWatches(s.Node.Name, m, u, d, log)
		},
		func(m *control.Members, u *Upstreams, f *route.Fleet, l *route.Links) *Loads {
			return NewLoads(s.Node.Name, m, u, f, l, log)
		},
		route.NewLinks,
		route.NewAdmission,
		NewUpstreams,
		NewSpread,
		NewReconciler,
		newPlatformList,
		newPeerServer,
		newMembers,
		newProbes,
		newParts,
		entry.NewServer,
		newOperator,
	}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func newPeerServer(s config.Settings, log *slog.Logger) (*peer.Server, error) {
	secrets := map[peer.Role]string{peer.RolePeer: s.Peer.Key, peer.RoleOperator: s.Operator.Token}
	return peer.NewServer(s.Peer.Listen, secrets, log)
}

// newMembers needs the listening server, whose port may have been chosen late.
func newMembers(s config.Settings, server *peer.Server) *control.Members {
	self := control.Member{
		Name:     s.Node.Name,
		Peer:     server.Addr(),
		Entry:    s.Entry.Listen,
		DataHall: s.Node.DataHall,
	}
	return control.NewMembers(self, s.Peer.ProbeEvery.Std(), s.Peer.Seeds, newRand())
}

func newProbes(
	s config.Settings,
	server *peer.Server,
	m *control.Members,
	c *control.Log,
	spread *Spread,
	log *slog.Logger,
) (*peer.Probes, error) {
	handle := func(from netip.AddrPort, p control.Probe) []control.Packet {
		spread.Heard(from, p.Version)
		return m.Handle(from, p, time.Now(), c.State().Version)
	}
	return peer.NewProbes(server.Addr(), s.Peer.Key, handle, log)
}

// partsIn are what requests are run with, as the container gives them.
type partsIn struct {
	dig.In

	Settings  config.Settings
	Log       *slog.Logger
	Config    *control.Log
	Members   *control.Members
	Claims    *control.Claims
	Directory *Directory
	Upstreams *Upstreams
	Fleet     *route.Fleet
	Links     *route.Links
	Policy    route.Policy
	Admission *route.Admission
	Retries   *route.RetryBudget
	Keep      *route.Keep
	Loads     *Loads
	Metrics   *entry.Metrics
}

func newParts(in partsIn) *entry.Parts {
	return &entry.Parts{
		Settings:  in.Settings,
		Log:       in.Log,
		State:     in.Config,
		Members:   in.Members,
		Claims:    in.Claims,
		Directory: in.Directory,
		Upstreams: in.Upstreams,
		Fleet:     in.Fleet,
		Links:     in.Links,
		Policy:    in.Policy,
		Admission: in.Admission,
		Retries:   in.Retries,
		Keep:      in.Keep,
		Loads:     in.Loads,
		Metrics:   in.Metrics,
	}
}

// operatorIn are what operators' scripts are run with.
type operatorIn struct {
	dig.In

	Settings  config.Settings
	Config    *control.Log
	Members   *control.Members
	Directory *Directory
	Policy    route.Policy
	Fleet     *route.Fleet
	Client    *peer.Client
	Admission *route.Admission
	Links     *route.Links
	Watches   *Watches
	Leases    *control.Leases
}

func newOperator(in operatorIn) *operator.Service {
	return &operator.Service{
		Settings:  in.Settings,
		Log:       in.Config,
		Members:   in.Members,
		Directory: in.Directory,
		Policy:    in.Policy,
		Fleet:     in.Fleet,
		Peers:     peers{client: in.Client},
		Local: &local{
			log:       in.Config,
			admission: in.Admission,
			links:     in.Links,
			watches:   in.Watches,
			leases:    in.Leases,
		},
	}
}

// handle sets what is served to peers and operators.
func (n *Node) handle() {
	p := n.Peer
	p.Handle(peer.RolePeer, peer.MethodObserve, peer.Handle(n.observe))
	p.Handle(peer.RolePeer, peer.MethodLook, peer.Handle(n.look))
	p.Handle(peer.RolePeer, peer.MethodUpdate, peer.Handle(n.update))
	p.Handle(peer.RolePeer, peer.MethodCommit, peer.Handle(n.commit))
	p.Handle(peer.RolePeer, peer.MethodSince, peer.Handle(n.since))
	p.Handle(peer.RolePeer, peer.MethodMembers, peer.Handle(n.listMembers))
	p.Handle(peer.RolePeer, peer.MethodLeaving, peer.Handle(n.leaving))
	p.Handle(peer.RolePeer, methodRows, peer.Handle(n.rows))
	p.Handle(peer.RolePeer, methodVersion, peer.Handle(n.version))
	p.Handle(peer.RoleOperator, peer.MethodRun, peer.Handle(n.Operator.Run))
	p.Handle(peer.RoleOperator, peer.MethodDump, peer.Handle(n.dump))
	p.Handle(peer.RoleOperator, peer.MethodLogLevel, peer.Handle(n.setLevel))
}

func (n *Node) observe(_ context.Context, req peer.ObserveRequest) (prompt.Match, error) {
	marks, err := req.Marks.Unpack()
	if err != nil {
		return prompt.Match{}, err
	}
	return n.Shard.Observe(marks, time.Now()), nil
}

func (n *Node) look(_ context.Context, req peer.ObserveRequest) (prompt.Match, error) {
	marks, err := req.Marks.Unpack()
	if err != nil {
		return prompt.Match{}, err
	}
	return n.Shard.Look(marks, time.Now()), nil
}

func (n *Node) update(_ context.Context, req peer.UpdateRequest) (struct{}, error) {
	return struct{}{}, n.Directory.Apply(req)
}

func (n *Node) since(_ context.Context, req peer.SinceRequest) (control.Delta, error) {
	return n.Config.Since(req.Version), nil
}

func (n *Node) listMembers(context.Context, struct{}) (peer.MembersAnswer, error) {
	return peer.MembersAnswer{
		Members:     n.Members.All(),
		LeavingNews: peer.LeavingNews{Leaving: n.Platform.list()},
	}, nil
}

func (n *Node) leaving(_ context.Context, news peer.LeavingNews) (struct{}, error) {
	n.Platform.take(news.Leaving)
	return struct{}{}, nil
}

func (n *Node) rows(_ context.Context, req operator.RowsRequest) (any, error) {
	t, ok := n.Operator.Local.Rows(req.Table)
	if !ok {
		return nil, eris.Errorf("no table %q", req.Table)
	}
	return t, nil
}

func (n *Node) version(context.Context, struct{}) (versionAnswer, error) {
	return versionAnswer{Version: n.Config.State().Version}, nil
}

// setLevel changes the log level of the running process.
func (n *Node) setLevel(_ context.Context, req peer.LogLevelRequest) (struct{}, error) {
	return struct{}{}, n.Level.UnmarshalText([]byte(req.Level))
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
		n.Log.Debug("no snapshot", "err", err)
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
	n.Probes.Send(n.Members.Late(time.Now(), n.Config.State().Version))
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

// dumpAnswer is the state of a process.
type dumpAnswer struct {
	Node      string                `json:"node"`
	Time      time.Time             `json:"time"`
	Version   uint64                `json:"configuration_version"`
	Members   []control.Member      `json:"members"`
	Shard     prompt.Stats          `json:"directory_shard"`
	Dropped   int64                 `json:"directory_updates_dropped"`
	Watches   []WatchStatus         `json:"watches"`
	Links     []route.LinkStatus    `json:"links"`
	Queues    route.AdmissionStatus `json:"queues"`
	Replicas  []route.ReplicaStatus `json:"replicas"`
	Leases    []control.LeaseStatus `json:"leases"`
	Claims    int                   `json:"claims_pending"`
	InFlight  int                   `json:"in_flight"`
	TableUp   bool                  `json:"table_service_up"`
	ProbeSent int64                 `json:"probe_bytes_sent"`
	Metrics   json.RawMessage       `json:"metrics"`
}

func (n *Node) dump(context.Context, struct{}) (dumpAnswer, error) {
	now := time.Now()
	return dumpAnswer{
		Node:      n.Settings.Node.Name,
		Time:      now,
		Version:   n.Config.State().Version,
		Members:   n.Members.All(),
		Shard:     n.Shard.Stats(),
		Dropped:   n.Directory.dropped.Load(),
		Watches:   n.Watches.Status(),
		Links:     n.Links.Status(now),
		Queues:    n.Admission.Status(),
		Replicas:  n.Fleet.Status(now),
		Leases:    n.Leases.Status(now),
		Claims:    n.Claims.Pending(),
		InFlight:  n.Entry.InFlight(),
		TableUp:   n.Table.Available(),
		ProbeSent: n.Probes.SentBytes(),
		Metrics:   json.RawMessage(n.metrics().String()),
	}, nil
}

// metrics are the node's counters and the process's memory figures.
func (n *Node) metrics() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("entry", n.Metrics.Map())
	if v := expvar.Get("memstats"); v != nil {
		m.Set("memstats", v)
	}
	return m
}

// MetricsVar is the node's metrics for publishing under expvar.
func (n *Node) MetricsVar() expvar.Var { return n.metrics() }
