package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/dig"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/rollout"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/timer"
	"github.com/drumpath/drumpath/service/peer"
	"github.com/drumpath/drumpath/service/ratelimit"
	"github.com/drumpath/drumpath/service/suspects"
)

// parts are what a node is made of, as the container builds them.
type parts struct {
	dig.In

	Timer    *timer.Service
	Beliefs  *SiteState
	Kept     *route.CacheIndex
	Nodes    *nodes
	Peers    *peer.Server
	Client   *peer.Client
	Readers  *sharedReader
	Watchers *storeEventRelay
	Stores   *kvStoreFollower
	Holdings *engineCacheFollower
	Suspects *suspects.Suspects
	Limits   *ratelimit.Limits
	Rollout  *rollout.Rollout
	Conns    *upstreamConns
	Clients  *clientConns
	Metrics  *metrics
	Clock    *replicaClock
}

// build has the container make the parts.
func build(s config.GatewaySettings, p Platform, log *slog.Logger) (built parts, err error) {
	defer func() { err = eris.Wrap(dig.RootCause(err), "build") }()
	c := dig.New()
	for _, constructor := range constructors(s, p, log) {
		if err := c.Provide(constructor); err != nil {
			return built, err
		}
	}
	err = c.Invoke(func(in parts) { built = in })
	return built, err
}

// constructors are what the container builds a node from.
func constructors(s config.GatewaySettings, p Platform, log *slog.Logger) []any {
	self := control.Member{
		Name:     s.Node.Name,
		Peer:     s.Peer.Listen,
		Entry:    s.Entry.Listen,
		DataHall: s.Node.DataHall,
		Link:     s.Limits.LinkMbps,
	}
	return []any{
		func() config.GatewaySettings { return s },
		func() *slog.Logger { return log },
		func() Store { return p.Store },
		func() Engines { return p.Engines },
		func() control.Member { return self },
		func() *timer.Service { return timer.NewService(timerWorkers) },
		func() *peer.Client { return peer.NewClient(s.Peer.Key) },
		func() *clientConns { return newClientConns(mostClients(s.Limits.Descriptors)) },
		func() *replicaClock { return new(replicaClock) },
		func() *control.Members {
			return control.NewMembers(self, s.Peer.ProbeEvery.Std(), nil, newRand())
		},
		func(k *route.CacheIndex, o *coldShares, u *upstreamConns, x *suspects.Suspects, l *ratelimit.Limits) *SiteState {
			b := NewSiteState(p.Codec, s.Node.DataHall, s.Platform.ReturnTime.Std(), k, log)
			b.without, b.regions, b.cold, b.shares = s.Disabled, s.Regions, s.Cold, o
			b.rates = l
			b.leaveTime = time.Duration(leaveShare * float64(s.Evacuation.Within))
			b.restarted = func(id string, planned bool, now time.Time) {
				u.closeIdle(id)
				if !planned {
					x.RecordRestart(id, now)
				}
			}
			b.ended = x.RecordDelisted
			return b
		},
		newColdShares,
		func(m *control.Members, c *peer.Client) *suspects.Suspects {
			return suspects.New(self, m, p.Store, c, log)
		},
		func(m *control.Members, c *peer.Client, o *coldShares) *ratelimit.Limits {
			return ratelimit.New(self, m, c, o.hasMet, log)
		},
		func(b *SiteState, n *nodes, l *ratelimit.Limits) *rollout.Rollout {
			f := &swaps{beliefs: b, nodes: n, within: s.Orders.Within.Std()}
			r := rollout.New(s.Node.Name, s.Orders.Pause.Std(), p.Store, orderCountingEngines{p.Engines, b, l}, f, log)
			if s.Disabled.SwapBound {
				r.SetUnbounded()
			}
			return r
		},
		func() *route.CacheIndex {
			k := route.NewCacheIndex()
			k.Disable(s.Disabled)
			return k
		},
		func() *upstreamConns {
			u := newUpstreamConns()
			u.closed = s.Disabled.Resting
			return u
		},
		func(m *control.Members, c *peer.Client) *sharedReader {
			r := newSharedReader(p.Store, self, m, c, log)
			r.direct = s.Disabled.SharedReading
			return r
		},
		newMetrics,
		newStoreEventRelay,
		newStores,
		newEngineCacheFollower,
		newNodes,
		newPeers,
	}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func mostClients(descriptors int) int {
	if descriptors <= 0 {
		return defaultMost
	}
	return int((1 - spareDescriptors) * float64(descriptors))
}

// newNodes listens for what other nodes tell.
func newNodes(s config.GatewaySettings, self control.Member, m *control.Members, o *coldShares, x *suspects.Suspects, l *ratelimit.Limits, st Store, b *SiteState, k *route.CacheIndex, log *slog.Logger) (*nodes, error) {
	n := &nodes{
		self:       self,
		regions:    s.Regions,
		shares:     o,
		suspects:   x,
		rateLimits: l,
		members:    m,
		store:      st,
		beliefs:    b,
		kept:       k,
		log:        log,
		loads:      newLoads(),
		due:        make(chan struct{}, 1),
		boot:       m.Self().Incarnation,
	}
	handle := func(from netip.AddrPort, p control.Probe) []control.Packet { return m.Handle(from, p, time.Now(), 0) }
	var err error
	if n.probes, err = peer.NewProbes(s.Peer.Listen, s.Peer.Key, handle, log); err != nil {
		return nil, err
	}
	n.probes.OnNote(noteState, n.hearState)
	n.probes.OnNote(noteHall, n.hearHall)
	n.probes.OnNote(noteNews, n.hearNews)
	n.probes.OnNote(suspects.NoteCases, x.HandleCases)
	n.probes.OnNote(suspects.NoteDigest, x.HandleDigest)
	x.SetNotifier(suspectTeller{n})
	l.SetAnnouncer(n)
	return n, nil
}

// newPeers listens for nodes that ask this one.
func newPeers(s config.GatewaySettings, r *sharedReader, w *storeEventRelay, h *engineCacheFollower, x *suspects.Suspects, l *ratelimit.Limits, log *slog.Logger) (*peer.Server, error) {
	server, err := peer.NewServer(s.Peer.Listen, map[peer.Role]string{peer.RolePeer: s.Peer.Key}, log)
	if err != nil {
		return nil, err
	}
	server.Handle(peer.RolePeer, methodTableChanges, r.serve)
	server.Handle(peer.RolePeer, methodStoreEvents, w.serve)
	server.Handle(peer.RolePeer, methodEventsOfStores, w.serveSeveral)
	server.Handle(peer.RolePeer, methodCacheUpdates, h.serve)
	server.Handle(peer.RolePeer, suspects.MethodRun, x.ServeRun)
	server.Handle(peer.RolePeer, suspects.MethodRunEnded, x.ServeRunEnded)
	server.Handle(peer.RolePeer, ratelimit.MethodTake, peer.Handle(l.ServeTake))
	server.Handle(peer.RolePeer, ratelimit.MethodRate, peer.Handle(l.ServeRate))
	server.Handle(peer.RolePeer, ratelimit.MethodSpend, peer.Handle(l.ServeSpend))
	return server, nil
}

func newStores(
	self control.Member,
	e Engines,
	w *storeEventRelay,
	b *SiteState,
	k *route.CacheIndex,
	m *control.Members,
	c *replicaClock,
	log *slog.Logger,
) *kvStoreFollower {
	return &kvStoreFollower{
		engines:  e,
		relay:    w,
		state:    b,
		cache:    k,
		members:  m,
		self:     self.Name,
		clock:    c,
		log:      log,
		followed: map[string]*followedStore{},
		relays:   map[netip.AddrPort]context.CancelFunc{},
	}
}
