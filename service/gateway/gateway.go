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
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/rollout"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/pkg/stall"
	"github.com/drumpath/drumpath/pkg/timer"
	"github.com/drumpath/drumpath/service/origins"
	"github.com/drumpath/drumpath/service/peer"
	"github.com/drumpath/drumpath/service/ratelimit"
	"github.com/drumpath/drumpath/service/suspects"
	"github.com/drumpath/drumpath/service/tables"
)

const (
	timerWorkers           = 6
	connPruneInterval      = 500 * time.Millisecond
	upstreamExpireInterval = 200 * time.Millisecond
	refreshInterval        = 200 * time.Millisecond
	// memoryLimitShare is the share of the configured memory limit passed to the Go
	// runtime. The rest is for memory that the runtime does not count, such as socket
	// buffers.
	memoryLimitShare = 0.75
	// reservedDescriptorShare of the file descriptors is kept for everything except client
	// connections.
	reservedDescriptorShare = 0.4
	defaultMaxClients       = 10_000
	bytesPerMB              = 1 << 20
	// shutdownReserve is the part of the grace period kept for closing down.
	shutdownReserve = 700 * time.Millisecond
	// acceptAfterStop is how long a stopping node still accepts connections. By then the
	// other nodes know of the stop and no longer return it to clients. A client with an
	// older answer gets its connection refused and tries another node.
	acceptAfterStop = 1200 * time.Millisecond
	// leaseReleaseTimeout bounds the release of leases, so that a slow answer of the
	// platform's store does not delay the stop. Leases that are not released expire.
	leaseReleaseTimeout = time.Second
	// upstreamsBatchDelay is how long changes of the upstream list are collected. It is
	// well under the second or more for which a leaving upstream still serves.
	upstreamsBatchDelay = 400 * time.Millisecond
	// defaultRequestTime limits requests that state no limit themselves.
	defaultRequestTime = 60 * time.Second
	// assumedNodes is the least number of nodes that a node assumes to share a budget with
	// until it has learned of the others.
	assumedNodes = 64
)

// Gateway is one node.
type Gateway struct {
	settings     atomic.Pointer[config.GatewaySettings]
	platform     Platform
	codec        Codec
	log          *slog.Logger
	timer        *timer.Service
	siteState    *SiteState
	cacheIndex   *route.CacheIndex
	nodes        *nodes
	peers        *peer.Server
	client       *peer.Client
	tableReader  *tables.Reader
	storeEvents  *storeEventRelay
	kvStores     *kvStoreFollower
	engineCaches *engineCacheFollower
	suspects     *suspects.Suspects
	rateLimits   *ratelimit.Limits
	origins      *origins.Origins
	rollout      *rollout.Rollout
	weights      *weightRegister
	sharing      *sharingRegister
	canaries     *canaries
	conns        *upstreamConns
	clients      *clientConns
	metrics      *metrics
	stalls       *stall.Monitor
	collecting   atomic.Bool // The metrics are being collected for the metrics address.
	clock        *replicaClock
	bodies       *bodyBudget
	responses    *responseBudget
	reach        *reachability
	forwarding   *forwarding

	entry           net.Listener
	readyServer     *auxServer
	directoryServer *auxServer
	metricsServer   *auxServer // Nil if no metrics address is configured.

	queuesMu     locks.Mutex
	queues       map[string]*route.PromptQueue
	promptQueued chan struct{} // Signals a newly queued prompt; capacity 1.

	startedAt      time.Time // By the clock of boottime.Now.
	retryBudgetsMu locks.Mutex
	retryBudgets   map[string]*retryBudget // By service.
	// retryWindowSince is when a reload changed the window of the retry budgets, zero before.
	retryWindowSince time.Time

	tableFollowers []*tables.Follower // One per table of the platform's store.
	suspension     *suspension

	inFlight        atomic.Int64
	stopRequestedAt atomic.Pointer[time.Time] // Nil before the stop is requested.
	stopRequested   chan struct{}             // Closed when the stop is requested.
	answerTimes     *answerTimes
	// requests is the context of all requests; endRequests ends it.
	requests    context.Context
	endRequests context.CancelCauseFunc
	closing     atomic.Bool
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
}

// New builds a node and opens its listeners. It serves nothing before Start.
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
		platform:     p,
		codec:        p.Codec,
		log:          log,
		timer:        built.Timer,
		siteState:    built.SiteState,
		cacheIndex:   built.CacheIndex,
		nodes:        built.Nodes,
		peers:        built.Peers,
		client:       built.Client,
		tableReader:  built.TableReader,
		storeEvents:  built.StoreEvents,
		kvStores:     built.KVStores,
		engineCaches: built.EngineCaches,
		suspects:     built.Suspects,
		rateLimits:   built.RateLimits,
		origins:      built.Origins,
		rollout:      built.Rollout,
		weights:      built.Weights,
		sharing:      built.Sharing,
		canaries:     built.Canaries,
		conns:        built.Conns,
		clients:      built.Clients,
		metrics:      built.Metrics,
		clock:        built.Clock,
		bodies:       newBodyBudget(int64(s.Limits.MemoryMB * bytesPerMB)),
		responses:    newResponseBudget(int64(s.Limits.MemoryMB * bytesPerMB)),

		startedAt:    boottime.Now(),
		retryBudgets: map[string]*retryBudget{},
		queues:       map[string]*route.PromptQueue{},
		promptQueued: make(chan struct{}, 1),

		suspension: newSuspension(),

		stopRequested: make(chan struct{}),
		answerTimes:   newAnswerTimes(),
	}
	g.requests, g.endRequests = context.WithCancelCause(context.Background())
	if s.Disabled.ResponseMemoryBound {
		g.responses = nil
	}
	g.settings.Store(&s)
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.reach = newReachability(g)
	g.forwarding = newForwarding(g)
	g.stalls = newStallMonitor(g)
	g.peers.HandleStreams(g.forwarding.serveStream)
	g.peers.Handle(peer.RolePeer, methodOpinion, peer.Handle(g.forwarding.serveOpinion))
	g.peers.Handle(peer.RolePeer, methodStartState, peer.Handle(g.nodes.serveStartState))
	g.peers.Handle(peer.RolePeer, methodListContact, peer.Handle(g.nodes.serveListContact))
	g.nodes.onUnreachable = g.reach.report
	p.Store.Eras().Subscribe(g.handleEra)
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

// Start begins to serve. The platform's store and the upstreams need not be
// reachable yet.
func (g *Gateway) Start() {
	g.nodes.probes.Start()
	g.peers.Start()
	g.readyServer.start(g)
	g.directoryServer.start(g)
	if g.metricsServer != nil {
		g.metricsServer.start(g)
	}
	longPoll := g.conf().Platform.LongPollTimeout.Std()
	g.tableFollowers = []*tables.Follower{
		{
			Store: g.tableReader, Table: site.TableOperator, Name: "operator", LongPoll: longPoll, Log: g.log,
			Apply:     g.siteState.ApplyOperator,
			OnFailure: func(startedAt, now time.Time) { g.siteState.MarkOperatorUnreachable(startedAt, now) },
			OnAnswer: func(startedAt, _ time.Time) {
				g.siteState.MarkOperatorRead(g.tableReader.KnownAt(site.TableOperator))
				g.suspension.recordAnswer(site.TableOperator, startedAt)
			},
		},
		{
			Store: g.tableReader, Table: site.TableUpstreams, Name: "upstreams", LongPoll: longPoll, Log: g.log,
			Apply: g.siteState.ApplyUpstreams, BatchDelay: upstreamsBatchDelay,
			OnFailure: func(_, now time.Time) { g.siteState.MarkStoreUnreachable(now) },
			OnAnswer: func(startedAt, now time.Time) {
				if g.siteState.MarkStoreSynced(now) {
					g.wg.Go(func() { g.nodes.learnListContact(g.ctx, g.client) })
				}
				g.suspension.recordAnswer(site.TableUpstreams, startedAt)
			},
		},
	}
	g.wg.Go(func() { g.joinAndFollow() })
	every := g.conf().Peer.ProbeEvery.Std()
	g.runEvery(every, g.nodes.probe)
	g.runEvery(every/indirectProbeDivisor, g.nodes.probeIndirectly)
	g.runEvery(discoverInterval, g.nodes.announce)
	g.runEvery(seedProbeInterval, g.nodes.probeSeeds)
	g.runEvery(connPruneInterval, func(context.Context) { g.conns.prune(boottime.Now()) })
	g.runEvery(streamScanInterval, func(context.Context) { g.reach.scan() })
	g.runEvery(pathRetryInterval, g.forwarding.retryPaths)
	g.runEvery(withdrawInterval, func(context.Context) { g.withdrawWaitingPrompts(boottime.Now()) })
	g.runEvery(upstreamExpireInterval, func(context.Context) { g.siteState.Expire(boottime.Now()) })
	g.runEvery(refreshInterval, g.kvStores.refresh)
	g.runEvery(refreshInterval, g.engineCaches.refresh)
	g.runEvery(freeInterval, g.kvStores.freeUnused)
	g.runEvery(rollout.StepInterval, g.rollout.Step)
	g.runEvery(weightRegisterInterval, g.weights.step)
	g.runEvery(sharingRegisterInterval, g.sharing.step)
	g.runEvery(canaryInterval, g.canaries.step)
	g.runEvery(refreshInterval, g.updateRetrySlack)
	if r := g.siteState.requestBytes; r != nil {
		g.runEvery(refreshInterval, r.refresh)
	}
	g.runEvery(suspects.StepInterval, g.suspects.Step)
	g.runEvery(suspects.StepInterval, g.suspects.SaveRow)
	g.runEvery(suspects.LearnInterval, g.suspects.Learn)
	g.runEvery(ratelimit.ForgetInterval, g.rateLimits.Forget)
	g.runEvery(origins.StepInterval, g.origins.Step)
	g.wg.Go(func() { g.stalls.Run(g.ctx) })
	g.wg.Go(func() { g.runQueues(g.ctx) })
	g.wg.Go(func() { g.nodes.runLoadRelay(g.ctx) })
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

// joinAndFollow finds other nodes and then follows the tables of the platform's store.
func (g *Gateway) joinAndFollow() {
	g.nodes.join(g.ctx)
	g.nodes.learnStartState(g.ctx, g.client, g.conf().Retry.Window.Std())
	if g.ctx.Err() != nil {
		return
	}
	g.runEvery(discoverInterval, g.nodes.discover)
	for _, f := range g.tableFollowers {
		g.wg.Go(func() { f.Run(g.ctx) })
	}
	g.origins.Step(g.ctx) // Streams can't begin before the versions are known.
}

// indirectProbeDivisor is how many times per probe period missing answers are probed
// indirectly, through other nodes.
const indirectProbeDivisor = 3

// handleEra has the tables read again at the beginning of an era of the platform's store.
func (g *Gateway) handleEra(c history.Change) {
	config, listAge, _ := g.siteState.Ages(boottime.Now())
	g.log.Info("era of store began", "from", c.From, "to", c.To, "first", c.First, "config", config, "list_age", listAge)
	if c.First {
		return
	}
	for _, f := range g.tableFollowers {
		f.PollNow()
	}
	g.nodes.handleEra()
	g.suspects.HandleEra()
}

// conf returns the settings in force.
func (g *Gateway) conf() *config.GatewaySettings { return g.settings.Load() }

// Reload applies changed settings as far as a running node can: addresses, the node's name
// and the other settings restored below need a restart.
func (g *Gateway) Reload(s config.GatewaySettings) {
	old := g.conf()
	if reflect.DeepEqual(s, *old) {
		return
	}
	kept := s
	kept.Node, kept.Peer, kept.Platform.Store = old.Node, old.Peer, old.Platform.Store
	kept.Entry, kept.Disabled = old.Entry, old.Disabled
	kept.Limits.ReplicaRequests = old.Limits.ReplicaRequests
	kept.Regions, kept.Cold, kept.Evacuation = old.Regions, old.Cold, old.Evacuation
	kept.Entry.MaxAge = s.Entry.MaxAge
	if !reflect.DeepEqual(kept, s) {
		g.log.Warn("changed addresses hold only after a restart", "node", old.Node.Name)
	}
	boottime.SimulateSuspend(max(0, kept.Test.SuspendedTime.Std()-old.Test.SuspendedTime.Std()))
	g.settings.Store(&kept)
	g.reloadRetryBudgets(old.Retry, kept.Retry)
	g.log.Info("settings in force", "node", old.Node.Name, "retry_share", s.Retry.Share, "grace", s.Stop.Grace.Std())
}

// ready reports whether clients may be sent to this node.
func (g *Gateway) ready() bool {
	g.checkSuspension()
	return g.synced() && !g.stopping() && g.siteState.Snapshot() != nil && g.siteState.UpstreamCount() > 0 && !g.isolated(boottime.Now())
}

// isolated reports whether the node may miss operators' changes: it reaches no other node
// although it knows some, and has had no answer from the platform's store for longer than
// an evacuation may take. If the store is down for every node, it accepts no changes
// either, and nodes that reach each other know all there is.
func (g *Gateway) isolated(now time.Time) bool {
	if counts := g.nodes.members.View().Counts(); counts.All <= 1 || counts.Working > 1 {
		return false
	}
	return now.Sub(g.suspension.lastAnswered(site.TableOperator)) > g.conf().Evacuation.MaxTime.Std()
}

// stopping reports whether a stop was requested.
func (g *Gateway) stopping() bool { return g.stopRequestedAt.Load() != nil }

// keepsIdleConns reports whether idle client connections are kept open.
func (g *Gateway) keepsIdleConns() bool { return !g.closing.Load() }

func (g *Gateway) limits() site.Limits { return g.siteState.limits() }

// organisationOf returns the name of the organisation that holds a key, "" for none.
func (g *Gateway) organisationOf(key string) string {
	s := g.siteState.Snapshot()
	if s == nil {
		return ""
	}
	if o := s.Organisation(key); o != nil {
		return o.Name
	}
	return ""
}

// maxRequestTime returns how long a request may take in all.
func (g *Gateway) maxRequestTime(info *site.RequestInfo) time.Duration {
	if info.ClientTimeout > 0 {
		return info.ClientTimeout
	}
	return defaultRequestTime
}

// Drain stops the node gracefully. It still accepts connections for acceptAfterStop, then
// closes the listener and idle connections, and waits until the remaining requests are
// answered or the grace period is nearly over. What is left then gets a final answer.
func (g *Gateway) Drain() {
	start := time.Now()
	g.stopRequestedAt.Store(&start)
	end, _ := g.graceEnd()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	g.log.Info("stopping", "node", g.conf().Node.Name, "in_flight", g.inFlight.Load())
	close(g.stopRequested)
	g.nodes.announceStop()
	g.releaseLeases(ctx)
	time.Sleep(min(time.Until(start.Add(acceptAfterStop)), time.Until(end)))
	g.closing.Store(true)
	_ = g.entry.Close() // Clients whose connection was not accepted try another node.
	g.origins.HandOver()
	g.clients.drain(ctx)
	g.endRequests(errGraceOver)
	finalCtx, cancelFinal := context.WithTimeout(context.Background(), finalAnswerTime)
	defer cancelFinal()
	g.clients.drain(finalCtx)
	g.forwarding.drain(ctx)
	g.origins.HandOver() // With the streams that began meanwhile.
}

func (g *Gateway) releaseLeases(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaseReleaseTimeout)
	defer cancel()
	g.rollout.Release(ctx)
}

// Close stops serving and waits for all goroutines.
func (g *Gateway) Close() {
	start := time.Now()
	if requestedAt := g.stopRequestedAt.Load(); requestedAt != nil {
		start = *requestedAt
	}
	g.closing.Store(true)
	_ = g.entry.Close() // Accepting ends even if this fails.
	g.cancel()
	cut := g.clients.closeAll()
	g.metrics.cutByStop.Add(int64(cut.sum()))
	if cut.sum() > 0 {
		g.log.Warn("requests cut by a stop", "node", g.conf().Node.Name, "after", time.Since(start),
			"heading", cut.readingHead, "bodying", cut.readingBody, "serving", cut.serving)
	}
	g.timer.Close()
	g.rollout.Close()
	g.kvStores.close()
	g.engineCaches.close()
	g.readyServer.close()
	g.directoryServer.close()
	if g.metricsServer != nil {
		g.metricsServer.close()
	}
	g.nodes.probes.Close()
	g.peers.Close()
	g.client.Close()
	g.conns.close()
	g.forwarding.conns.close()
	g.platform.Store.Close()
	g.platform.Engines.Close()
	g.wg.Wait()
	g.tableReader.Close()
	g.suspects.Close()
	g.origins.Close()
	g.rateLimits.Close()
	g.log.Info("node stopped", "node", g.conf().Node.Name, "after", time.Since(start), "cut", cut.sum())
}
