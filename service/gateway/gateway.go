package gateway

import (
	"context"
	"log/slog"
	"net"
	"reflect"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/rollout"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/pkg/timer"
	"github.com/drumpath/drumpath/service/peer"
	"github.com/drumpath/drumpath/service/ratelimit"
	"github.com/drumpath/drumpath/service/suspects"
)

const (
	timerWorkers           = 6
	connPruneInterval      = 500 * time.Millisecond
	upstreamExpireInterval = 200 * time.Millisecond
	refreshInterval        = 200 * time.Millisecond
	// memoryLimitShare is the part of the memory limit that the runtime is told: the
	// rest is for what it does not count, such as bytes in sockets.
	memoryLimitShare = 0.75
	// reservedDescriptorShare are kept for everything but clients' connections.
	reservedDescriptorShare = 0.4
	defaultMaxClients       = 10_000
	bytesPerMB              = 1 << 20
	// shutdownReserve is the part of the grace period that is kept for the end itself.
	shutdownReserve = 700 * time.Millisecond
	// acceptAfterStop is for how long a stopping node takes new connections: other
	// nodes have heard of the stop by then and name it to callers no more. One that
	// keeps an older answer finds the connection refused and takes another node.
	acceptAfterStop = 1200 * time.Millisecond
	// leaseReleaseTimeout bounds the giving back of leases, so that a slow store does not
	// hold the stop: they end by themselves.
	leaseReleaseTimeout = time.Second
	// upstreamsBatchDelay groups changes of the list of upstreams. It is well under
	// the second or more that a leaving upstream still serves.
	upstreamsBatchDelay = 400 * time.Millisecond
	// defaultRequestTime bounds a request that tells no limit.
	defaultRequestTime = 60 * time.Second
	// assumedNodes is how many nodes at least are assumed to share a budget while a node has
	// not met the others.
	assumedNodes = 64
)

// Gateway is one node.
type Gateway struct {
	settings   atomic.Pointer[config.GatewaySettings]
	platform   Platform
	codec      Codec
	log        *slog.Logger
	timer      *timer.Service
	siteState  *SiteState
	cacheIndex *route.CacheIndex
	nodes      *nodes
	peers      *peer.Server
	client     *peer.Client
	readers    *readers
	watchers   *watchers
	stores     *stores
	holdings   *holdings
	suspects   *suspects.Suspects
	rateLimits *ratelimit.Limits
	rollout    *rollout.Rollout
	conns      *upstreamConns
	clients    *clientConns
	metrics    *metrics
	clock      *replicaClock

	entry           net.Listener
	readyServer     *auxServer
	directoryServer *auxServer
	metricsServer   *auxServer // Nil without an address for them.

	queuesMu     sync.Mutex
	queues       map[string]*route.PromptQueue
	promptQueued chan struct{} // Holds one when a prompt has begun to wait.

	retryBudgetsMu sync.Mutex
	retryBudgets   map[string]*route.RetryShare

	followers  []*follower // Of the store's tables.
	suspension *suspension

	inFlight        atomic.Int64
	stopRequestedAt atomic.Pointer[time.Time] // When the node was told to stop, nil before.
	stopRequested   chan struct{}             // Closed then.
	closing         atomic.Bool
	ctx             context.Context
	cancel          context.CancelFunc
	wg              sync.WaitGroup
}

// New builds a node; it listens, but does not serve before Start.
func New(s config.GatewaySettings, p Platform, log *slog.Logger) (g *Gateway, err error) {
	defer func() { err = eris.Wrap(err, "new gateway") }()
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * s.Limits.MemoryMB * bytesPerMB))
	}
	built, err := build(s, p, log)
	if err != nil {
		return nil, err
	}
	g = &Gateway{
		platform:   p,
		codec:      p.Codec,
		log:        log,
		timer:      built.Timer,
		siteState:  built.SiteState,
		cacheIndex: built.CacheIndex,
		nodes:      built.Nodes,
		peers:      built.Peers,
		client:     built.Client,
		readers:    built.Readers,
		watchers:   built.Watchers,
		stores:     built.Stores,
		holdings:   built.Holdings,
		suspects:   built.Suspects,
		rateLimits: built.Limits,
		rollout:    built.Rollout,
		conns:      built.Conns,
		clients:    built.Clients,
		metrics:    built.Metrics,
		clock:      built.Clock,

		retryBudgets: map[string]*route.RetryShare{},
		queues:       map[string]*route.PromptQueue{},
		promptQueued: make(chan struct{}, 1),

		suspension: newSuspension(),

		stopRequested: make(chan struct{}),
	}
	g.settings.Store(&s)
	g.ctx, g.cancel = context.WithCancel(context.Background())
	return g, g.listen()
}

func (g *Gateway) listen() (err error) {
	if g.entry, err = net.Listen("tcp", g.conf().Entry.Listen.String()); err != nil {
		return err
	}
	if g.readyServer, err = newAuxServer(g.conf().Entry.Ready.String(), g.readyRoutes()); err != nil {
		return err
	}
	if g.directoryServer, err = newAuxServer(g.conf().Entry.Directory.String(), g.directoryRoutes()); err != nil {
		return err
	}
	if addr := g.conf().Entry.Metrics; addr.IsValid() {
		g.metricsServer, err = newAuxServer(addr.String(), g.metricsRoutes())
	}
	return err
}

// Start serves. Nothing that it needs has to be there yet.
func (g *Gateway) Start() {
	g.nodes.probes.Start()
	g.peers.Start()
	g.readyServer.start(g)
	g.directoryServer.start(g)
	if g.metricsServer != nil {
		g.metricsServer.start(g)
	}
	hold := g.conf().Platform.LongPollTimeout.Std()
	g.followers = []*follower{
		{
			store: g.readers, table: site.TableOperator, name: "operator", hold: hold, log: g.log,
			apply: g.siteState.ApplyOperator,
			away:  func(time.Time) {},
			heard: func(begun, _ time.Time) { g.suspension.hear(site.TableOperator, begun) },
		},
		{
			store: g.readers, table: site.TableUpstreams, name: "upstreams", hold: hold, log: g.log,
			apply: g.siteState.ApplyUpstreams, rest: upstreamsBatchDelay,
			away: g.siteState.MarkStoreUnreachable,
			heard: func(begun, now time.Time) {
				g.siteState.MarkStoreSynced(now)
				g.suspension.hear(site.TableUpstreams, begun)
			},
		},
	}
	for _, f := range g.followers {
		g.wg.Go(func() { f.run(g.ctx) })
	}
	every := g.conf().Peer.ProbeEvery.Std()
	g.every(every, g.nodes.probe)
	g.every(every/indirectProbeDivisor, g.nodes.probeIndirectly)
	g.every(discoverInterval, g.nodes.discover)
	g.every(seedProbeInterval, g.nodes.probeSeeds)
	g.every(connPruneInterval, func(context.Context) { g.conns.prune(boottime.Now()) })
	g.every(upstreamExpireInterval, func(context.Context) { g.siteState.Expire(boottime.Now()) })
	g.every(refreshInterval, g.stores.refresh)
	g.every(refreshInterval, g.holdings.refresh)
	g.every(freeEvery, g.stores.free)
	g.every(rollout.StepInterval, g.rollout.Step)
	g.every(refreshInterval, g.updateRetrySlack)
	g.every(suspects.StepInterval, g.suspects.Step)
	g.every(suspects.StepInterval, g.suspects.SaveRow)
	g.every(suspects.LearnInterval, g.suspects.Learn)
	g.every(ratelimit.ForgetInterval, g.rateLimits.Forget)
	g.wg.Go(func() { g.runQueues(g.ctx) })
	g.wg.Go(func() { g.nodes.discover(g.ctx) })
	g.wg.Go(func() { g.nodes.runSpeaker(g.ctx) })
	g.wg.Go(func() { g.nodes.runLoadSender(g.ctx, g.conf().Peer.LoadEvery.Std()) })
	g.wg.Go(func() {
		if err := g.clients.accept(g, &listener{Listener: g.entry, log: g.log}); err != nil && !g.closing.Load() {
			g.log.Error("request listener failed", "err", err)
		}
	})
	g.log.Info("node started", "node", g.conf().Node.Name, "entry", g.conf().Entry.Listen,
		"directory", g.conf().Entry.Directory, "peer", g.conf().Peer.Listen, "store", g.conf().Platform.Store)
	if err := boottime.Err(); err != nil {
		g.log.Warn("machine suspension can't be detected", "node", g.conf().Node.Name, "err", err)
	}
	if off := g.conf().Disabled.Names(); len(off) > 0 {
		g.log.Warn("mechanisms disabled", "node", g.conf().Node.Name, "without", off)
	}
}

// indirectProbeDivisor is the part of a probe period after which others are asked.
const indirectProbeDivisor = 3

// conf is the settings in force.
func (g *Gateway) conf() *config.GatewaySettings { return g.settings.Load() }

// Reload puts changed settings in force, as far as they can be while the node
// runs: addresses and the node's own name stay.
func (g *Gateway) Reload(s config.GatewaySettings) {
	old := g.conf()
	if reflect.DeepEqual(s, *old) {
		return
	}
	kept := s
	kept.Node, kept.Peer, kept.Platform.Store = old.Node, old.Peer, old.Platform.Store
	kept.Entry, kept.Disabled = old.Entry, old.Disabled
	kept.Regions, kept.Cold, kept.Evacuation = old.Regions, old.Cold, old.Evacuation
	kept.Entry.MaxAge = s.Entry.MaxAge
	if !reflect.DeepEqual(kept, s) {
		g.log.Warn("changed addresses hold only after a restart", "node", old.Node.Name)
	}
	boottime.SimulateSuspend(max(0, kept.Test.Suspended.Std()-old.Test.Suspended.Std()))
	g.settings.Store(&kept)
	g.retryBudgetsMu.Lock()
	clear(g.retryBudgets)
	g.retryBudgetsMu.Unlock()
	g.log.Info("settings in force", "node", old.Node.Name, "retry_share", s.Retry.Share, "grace", s.Stop.Grace.Std())
}

// ready says whether callers are to be sent here.
func (g *Gateway) ready() bool {
	g.look()
	return g.awake() && !g.stopping() && g.siteState.Snapshot() != nil && g.siteState.UpstreamCount() > 0 && !g.isolated(boottime.Now())
}

// isolated says whether the node can't know any more what operators have changed: it hears no
// other node, where there were some, and has not heard the store for longer than an
// evacuation may take. Where the store is away for all, no change is accepted by it either,
// and nodes that hear each other know what there is to know.
func (g *Gateway) isolated(now time.Time) bool {
	if len(g.nodes.members.All()) <= 1 || len(g.nodes.members.Working()) > 1 {
		return false
	}
	return now.Sub(g.suspension.heardOf(site.TableOperator)) > g.conf().Evacuation.Within.Std()
}

// stopping says whether the node has been told to stop.
func (g *Gateway) stopping() bool { return g.stopRequestedAt.Load() != nil }

// keepsIdleConns says whether resting connections are still kept.
func (g *Gateway) keepsIdleConns() bool { return !g.closing.Load() }

func (g *Gateway) limits() site.Limits {
	if s := g.siteState.Snapshot(); s != nil {
		return s.Limits
	}
	return site.DefaultLimits()
}

// maxRequestTime is the longest that a request may be held.
func (g *Gateway) maxRequestTime(info *site.RequestInfo) time.Duration {
	if info.ClientTimeout > 0 {
		return info.ClientTimeout
	}
	return defaultRequestTime
}

// retryBudget is the retry budget for a service.
func (g *Gateway) retryBudget(service string) *route.RetryShare {
	g.retryBudgetsMu.Lock()
	defer g.retryBudgetsMu.Unlock()
	b, ok := g.retryBudgets[service]
	if !ok {
		b = route.NewRetryShare(g.conf().Retry.Share, g.conf().Retry.Window.Std())
		b.SetSlack(g.retrySlack())
		g.retryBudgets[service] = b
	}
	return b
}

// retrySlack is this node's part of the slack. All nodes ever heard of count, the dead
// included: nodes that are cut apart, or that think each other dead, would else each give
// themselves the whole.
func (g *Gateway) retrySlack() float64 {
	n := len(g.nodes.members.All())
	if !g.nodes.coldShares.membersKnown() {
		n = max(n, assumedNodes)
	}
	return g.conf().Retry.Slack / float64(n)
}

func (g *Gateway) updateRetrySlack(context.Context) {
	share := g.retrySlack()
	g.retryBudgetsMu.Lock()
	defer g.retryBudgetsMu.Unlock()
	for _, b := range g.retryBudgets {
		b.SetSlack(share)
	}
}

// Drain serves on for a while those that still come. Then it takes no connection
// any more, ends those that rest, and waits until the others have had their
// answers or the grace period is nearly over.
func (g *Gateway) Drain() {
	begun := time.Now()
	within := g.conf().Stop.Grace.Std() - shutdownReserve
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(within))
	defer cancel()
	g.log.Info("stopping", "node", g.conf().Node.Name, "in_flight", g.inFlight.Load())
	g.stopRequestedAt.Store(&begun)
	close(g.stopRequested)
	g.nodes.announceStop()
	g.releaseLeases(ctx)
	time.Sleep(time.Until(begun.Add(min(acceptAfterStop, within))))
	g.closing.Store(true)
	_ = g.entry.Close() // What has not been accepted is sent again elsewhere.
	g.clients.drain(ctx)
}

func (g *Gateway) releaseLeases(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaseReleaseTimeout)
	defer cancel()
	g.rollout.Release(ctx)
}

// Close stops serving and waits for everything that was started.
func (g *Gateway) Close() {
	begun := time.Now()
	if told := g.stopRequestedAt.Load(); told != nil {
		begun = *told
	}
	g.closing.Store(true)
	_ = g.entry.Close() // Accepting ends all the same.
	g.cancel()
	cut := g.clients.closeAll()
	g.metrics.cutByStop.Add(int64(cut.sum()))
	if cut.sum() > 0 {
		g.log.Warn("requests cut by a stop", "node", g.conf().Node.Name, "after", time.Since(begun),
			"heading", cut.heading, "bodying", cut.bodying, "serving", cut.serving)
	}
	g.timer.Close()
	g.rollout.Close()
	g.stores.close()
	g.holdings.close()
	g.readyServer.close()
	g.directoryServer.close()
	if g.metricsServer != nil {
		g.metricsServer.close()
	}
	g.nodes.probes.Close()
	g.peers.Close()
	g.client.Close()
	g.conns.close()
	g.platform.Store.Close()
	g.platform.Engines.Close()
	g.wg.Wait()
	g.suspects.Close()
	g.rateLimits.Close()
	g.log.Info("node stopped", "node", g.conf().Node.Name, "after", time.Since(begun), "cut", cut.sum())
}
