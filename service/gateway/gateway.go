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
	timerWorkers = 6
	pruneEvery   = 500 * time.Millisecond
	expireEvery  = 200 * time.Millisecond
	watchEvery   = 200 * time.Millisecond
	// memoryShare is the part of the memory limit that the runtime is told: the
	// rest is for what it does not count, such as bytes in sockets.
	memoryShare = 0.75
	// spareDescriptors are kept for everything but clients' connections.
	spareDescriptors = 0.4
	defaultMost      = 10_000
	bytesPerMB       = 1 << 20
	// lostTime is the part of the grace period that is kept for the end itself.
	lostTime = 700 * time.Millisecond
	// steerAwayTime is for how long a stopping node takes new connections: other
	// nodes have heard of the stop by then and name it to callers no more. One that
	// keeps an older answer finds the connection refused and takes another node.
	steerAwayTime = 1200 * time.Millisecond
	// releaseTime bounds the giving back of leases, so that a slow store does not
	// hold the stop: they end by themselves.
	releaseTime = time.Second
	// upstreamsRest groups changes of the list of upstreams. It is well under
	// the second or more that a leaving upstream still serves.
	upstreamsRest = 400 * time.Millisecond
	// longestHold bounds a request that tells no limit.
	longestHold = 60 * time.Second
	// unknownNodes is how many nodes at least are assumed to share a budget while a node has
	// not met the others.
	unknownNodes = 64
)

// Gateway is one node.
type Gateway struct {
	settings   atomic.Pointer[config.GatewaySettings]
	platform   Platform
	codec      Codec
	log        *slog.Logger
	timer      *timer.Service
	beliefs    *SiteState
	kept       *route.CacheIndex
	nodes      *nodes
	peers      *peer.Server
	client     *peer.Client
	readers    *sharedReader
	watchers   *storeEventRelay
	stores     *kvStoreFollower
	holdings   *engineCacheFollower
	suspects   *suspects.Suspects
	rateLimits *ratelimit.Limits
	rollout    *rollout.Rollout
	conns      *upstreamConns
	clients    *clientConns
	metrics    *metrics
	clock      *replicaClock

	entry     net.Listener
	readySide *sideServer
	directory *sideServer
	figures   *sideServer // Nil without an address for them.

	queuesMu sync.Mutex
	queues   map[string]*route.PromptQueue
	queued   chan struct{} // Holds one when a prompt has begun to wait.

	budgetMu sync.Mutex
	budgets  map[string]*route.RetryShare

	followers  []*follower // Of the store's tables.
	suspension *suspension

	inFlight atomic.Int64
	told     atomic.Pointer[time.Time] // When the node was told to stop, nil before.
	stopped  chan struct{}             // Closed then.
	closing  atomic.Bool
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// New builds a node; it listens, but does not serve before Start.
func New(s config.GatewaySettings, p Platform, log *slog.Logger) (g *Gateway, err error) {
	defer func() { err = eris.Wrap(err, "new gateway") }()
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * s.Limits.MemoryMB * bytesPerMB))
	}
	in, err := build(s, p, log)
	if err != nil {
		return nil, err
	}
	g = &Gateway{
		platform:   p,
		codec:      p.Codec,
		log:        log,
		timer:      in.Timer,
		beliefs:    in.Beliefs,
		kept:       in.Kept,
		nodes:      in.Nodes,
		peers:      in.Peers,
		client:     in.Client,
		readers:    in.Readers,
		watchers:   in.Watchers,
		stores:     in.Stores,
		holdings:   in.Holdings,
		suspects:   in.Suspects,
		rateLimits: in.Limits,
		rollout:    in.Rollout,
		conns:      in.Conns,
		clients:    in.Clients,
		metrics:    in.Metrics,
		clock:      in.Clock,

		budgets: map[string]*route.RetryShare{},
		queues:  map[string]*route.PromptQueue{},
		queued:  make(chan struct{}, 1),

		suspension: newSuspension(),

		stopped: make(chan struct{}),
	}
	g.settings.Store(&s)
	g.ctx, g.cancel = context.WithCancel(context.Background())
	return g, g.listen()
}

func (g *Gateway) listen() (err error) {
	if g.entry, err = net.Listen("tcp", g.conf().Entry.Listen.String()); err != nil {
		return err
	}
	if g.readySide, err = newSideServer(g.conf().Entry.Ready.String(), g.readyRoutes()); err != nil {
		return err
	}
	if g.directory, err = newSideServer(g.conf().Entry.Directory.String(), g.directoryRoutes()); err != nil {
		return err
	}
	if addr := g.conf().Entry.Metrics; addr.IsValid() {
		g.figures, err = newSideServer(addr.String(), g.metricsRoutes())
	}
	return err
}

// Start serves. Nothing that it needs has to be there yet.
func (g *Gateway) Start() {
	g.nodes.probes.Start()
	g.peers.Start()
	g.readySide.start(g)
	g.directory.start(g)
	if g.figures != nil {
		g.figures.start(g)
	}
	hold := g.conf().Platform.LongPollTimeout.Std()
	g.followers = []*follower{
		{
			store: g.readers, table: site.TableOperator, name: "operator", longPoll: hold, log: g.log,
			apply:     g.beliefs.ApplyOperator,
			onFailure: func(time.Time) {},
			onAnswer:  func(begun, _ time.Time) { g.suspension.recordAnswer(site.TableOperator, begun) },
		},
		{
			store: g.readers, table: site.TableUpstreams, name: "upstreams", longPoll: hold, log: g.log,
			apply: g.beliefs.ApplyUpstreams, batchDelay: upstreamsRest,
			onFailure: g.beliefs.MarkStoreUnreachable,
			onAnswer: func(begun, now time.Time) {
				g.beliefs.MarkStoreSynced(now)
				g.suspension.recordAnswer(site.TableUpstreams, begun)
			},
		},
	}
	for _, f := range g.followers {
		g.wg.Go(func() { f.run(g.ctx) })
	}
	every := g.conf().Peer.ProbeEvery.Std()
	g.runEvery(every, g.nodes.probe)
	g.runEvery(every/lateShare, g.nodes.probeLate)
	g.runEvery(meetEvery, g.nodes.meet)
	g.runEvery(greetEvery, g.nodes.greetSome)
	g.runEvery(pruneEvery, func(context.Context) { g.conns.prune(boottime.Now()) })
	g.runEvery(expireEvery, func(context.Context) { g.beliefs.Expire(boottime.Now()) })
	g.runEvery(watchEvery, g.stores.refresh)
	g.runEvery(watchEvery, g.holdings.refresh)
	g.runEvery(freeInterval, g.stores.freeUnused)
	g.runEvery(rollout.StepInterval, g.rollout.Step)
	g.runEvery(watchEvery, g.shareBudgets)
	g.runEvery(suspects.StepInterval, g.suspects.Step)
	g.runEvery(suspects.StepInterval, g.suspects.SaveRow)
	g.runEvery(suspects.LearnInterval, g.suspects.Learn)
	g.runEvery(ratelimit.ForgetInterval, g.rateLimits.Forget)
	g.wg.Go(func() { g.runQueues(g.ctx) })
	g.wg.Go(func() { g.nodes.meet(g.ctx) })
	g.wg.Go(func() { g.nodes.runSpeaker(g.ctx) })
	g.wg.Go(func() { g.nodes.run(g.ctx, g.conf().Peer.LoadEvery.Std()) })
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

// lateShare is the part of a probe period after which others are asked.
const lateShare = 3

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
	g.budgetMu.Lock()
	clear(g.budgets)
	g.budgetMu.Unlock()
	g.log.Info("settings in force", "node", old.Node.Name, "retry_share", s.Retry.Share, "grace", s.Stop.Grace.Std())
}

// ready says whether callers are to be sent here.
func (g *Gateway) ready() bool {
	g.checkSuspension()
	return g.synced() && !g.stopping() && g.beliefs.Snapshot() != nil && g.beliefs.UpstreamCount() > 0 && !g.apart(boottime.Now())
}

// apart says whether the node can't know any more what operators have changed: it hears no
// other node, where there were some, and has not heard the store for longer than an
// evacuation may take. Where the store is away for all, no change is accepted by it either,
// and nodes that hear each other know what there is to know.
func (g *Gateway) apart(now time.Time) bool {
	if len(g.nodes.members.All()) <= 1 || len(g.nodes.members.Working()) > 1 {
		return false
	}
	return now.Sub(g.suspension.lastAnswered(site.TableOperator)) > g.conf().Evacuation.Within.Std()
}

// stopping says whether the node has been told to stop.
func (g *Gateway) stopping() bool { return g.told.Load() != nil }

// serving says whether resting connections are still kept.
func (g *Gateway) serving() bool { return !g.closing.Load() }

func (g *Gateway) limits() site.Limits {
	if s := g.beliefs.Snapshot(); s != nil {
		return s.Limits
	}
	return site.DefaultLimits()
}

// holdMost is the longest that a request may be held.
func (g *Gateway) holdMost(t *site.RequestInfo) time.Duration {
	if t.ClientTimeout > 0 {
		return t.ClientTimeout
	}
	return longestHold
}

// budget is the retry budget for a service.
func (g *Gateway) budget(service string) *route.RetryShare {
	g.budgetMu.Lock()
	defer g.budgetMu.Unlock()
	b, ok := g.budgets[service]
	if !ok {
		b = route.NewRetryShare(g.conf().Retry.Share, g.conf().Retry.Window.Std())
		b.SetSlack(g.slackShare())
		g.budgets[service] = b
	}
	return b
}

// slackShare is this node's part of the slack. All nodes ever heard of count, the dead
// included: nodes that are cut apart, or that think each other dead, would else each give
// themselves the whole.
func (g *Gateway) slackShare() float64 {
	n := len(g.nodes.members.All())
	if !g.nodes.shares.hasMet() {
		n = max(n, unknownNodes)
	}
	return g.conf().Retry.Slack / float64(n)
}

func (g *Gateway) shareBudgets(context.Context) {
	share := g.slackShare()
	g.budgetMu.Lock()
	defer g.budgetMu.Unlock()
	for _, b := range g.budgets {
		b.SetSlack(share)
	}
}

// Drain serves on for a while those that still come. Then it takes no connection
// any more, ends those that rest, and waits until the others have had their
// answers or the grace period is nearly over.
func (g *Gateway) Drain() {
	begun := time.Now()
	within := g.conf().Stop.Grace.Std() - lostTime
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(within))
	defer cancel()
	g.log.Info("stopping", "node", g.conf().Node.Name, "in_flight", g.inFlight.Load())
	g.told.Store(&begun)
	close(g.stopped)
	g.nodes.announceStop()
	g.releaseLeases(ctx)
	time.Sleep(time.Until(begun.Add(min(steerAwayTime, within))))
	g.closing.Store(true)
	_ = g.entry.Close() // What has not been accepted is sent again elsewhere.
	g.clients.drain(ctx)
}

func (g *Gateway) releaseLeases(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTime)
	defer cancel()
	g.rollout.Release(ctx)
}

// Close stops serving and waits for everything that was started.
func (g *Gateway) Close() {
	begun := time.Now()
	if told := g.told.Load(); told != nil {
		begun = *told
	}
	g.closing.Store(true)
	_ = g.entry.Close() // Accepting ends all the same.
	g.cancel()
	cut := g.clients.closeAll()
	g.metrics.cut.Add(int64(cut.sum()))
	if cut.sum() > 0 {
		g.log.Warn("requests cut by a stop", "node", g.conf().Node.Name, "after", time.Since(begun),
			"heading", cut.readingHead, "bodying", cut.readingBody, "serving", cut.serving)
	}
	g.timer.Close()
	g.rollout.Close()
	g.stores.close()
	g.holdings.close()
	g.readySide.close()
	g.directory.close()
	if g.figures != nil {
		g.figures.close()
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
