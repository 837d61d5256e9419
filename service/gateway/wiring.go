package gateway

import (
	"context"
	"encoding/json"
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
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/pkg/timer"
	"github.com/drumpath/drumpath/service/origins"
	"github.com/drumpath/drumpath/service/peer"
	"github.com/drumpath/drumpath/service/ratelimit"
	"github.com/drumpath/drumpath/service/suspects"
	"github.com/drumpath/drumpath/service/tables"
)

// components are the parts of a node that the dependency container builds.
type components struct {
	dig.In

	Timer        *timer.Service
	SiteState    *SiteState
	CacheIndex   *route.CacheIndex
	Nodes        *nodes
	Peers        *peer.Server
	Client       *peer.Client
	TableReader  *tables.Reader
	StoreEvents  *storeEventRelay
	KVStores     *kvStoreFollower
	EngineCaches *engineCacheFollower
	Suspects     *suspects.Suspects
	RateLimits   *ratelimit.Limits
	Origins      *origins.Origins
	Rollout      *rollout.Rollout
	Weights      *weightRegister
	Sharing      *sharingRegister
	Canaries     *canaries
	Conns        *upstreamConns
	Clients      *clientConns
	Metrics      *metrics
	Clock        *replicaClock
}

// build has the container construct the components.
func build(s config.GatewaySettings, p Platform, log *slog.Logger) (built components, err error) {
	defer func() { err = eris.Wrap(dig.RootCause(err), "build") }()
	c := dig.New()
	for _, constructor := range constructors(s, p, log) {
		if err := c.Provide(constructor); err != nil {
			return built, err
		}
	}
	err = c.Invoke(func(in components) { built = in })
	return built, err
}

// constructors lists the constructors that the container uses.
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
		func() *clientConns { return newClientConns(maxClients(s.Limits.Descriptors)) },
		func() *replicaClock { return new(replicaClock) },
		func() *control.Members {
			return control.NewMembers(self, s.Peer.ProbeEvery.Std(), nil, newRand())
		},
		func(m *control.Members, c *peer.Client) *canaries {
			canaries := newCanaries(self, m, p.Store, p.Codec, c, s.Canary.Share, log)
			canaries.rewriteTime = s.Platform.RewriteTime.Std()
			return canaries
		},
		func(cacheIndex *route.CacheIndex, shares *coldShares, conns *upstreamConns, sus *suspects.Suspects, limits *ratelimit.Limits, c *canaries, o *origins.Origins) *SiteState {
			st := NewSiteState(p.Codec, s.Node.DataHall, s.Platform.ReturnTime.Std(), cacheIndex, log)
			st.eras, st.rewriteTime = p.Store.Eras(), s.Platform.RewriteTime.Std()
			st.disabled = s.Disabled
			st.disabled.RunHandoff = st.disabled.RunHandoff || !s.Runs.Handoff
			st.disabled.RunBackups = st.disabled.RunBackups || !s.Runs.Backups
			st.disabled.OwnHallFirst = st.disabled.OwnHallFirst || !s.Placement.OwnHall
			st.regions, st.cold, st.coldShares = s.Regions, s.Cold, shares
			st.rateLimits = limits
			if s.Limits.ReplicaRequests > 0 {
				st.requestBytes = newRequestShares(int64(s.Limits.ReplicaRequests), shares, func() int64 { return int64(st.limits().BodyBytes) })
			}
			st.evacuationTime = time.Duration(evacuationTimeShare * float64(s.Evacuation.MaxTime))
			st.weightsTerm = s.Orders.MaxRolloutTime.Std()
			st.onRestart = func(id string, planned bool, now time.Time) {
				conns.closeIdle(id)
				if !planned {
					sus.RecordRestart(id, now)
				}
			}
			st.onDelisted = sus.RecordDelisted
			st.onOtherSoftware = o.HandleOtherSoftware
			st.onRolloutOrder = c.applyOrder
			return st
		},
		newColdShares,
		func(m *control.Members, c *peer.Client) *suspects.Suspects {
			return suspects.New(self, m, p.Store, c, log)
		},
		func(m *control.Members, c *peer.Client, shares *coldShares) *ratelimit.Limits {
			return ratelimit.New(self, m, c, shares.membersKnown, log)
		},
		func(m *control.Members, c *peer.Client) *origins.Origins {
			return origins.New(self, m, p.Store, c, log)
		},
		func(st *SiteState, n *nodes, limits *ratelimit.Limits) *rollout.Rollout {
			f := &rolloutFleet{siteState: st, nodes: n, within: s.Orders.MaxRolloutTime.Std()}
			r := rollout.New(s.Node.Name, s.Orders.MinInterval.Std(), p.Store, orderCountingEngines{p.Engines, st, limits}, f, log)
			if s.Disabled.ConcurrentSwapLimit {
				r.SetUnbounded()
			}
			return r
		},
		func() *route.CacheIndex {
			index := route.NewCacheIndex()
			index.Disable(s.Disabled)
			return index
		},
		func() *upstreamConns {
			u := newUpstreamConns()
			u.closed = s.Disabled.ConnectionReuse
			if p.DialReplica != nil {
				u.dialTCP = p.DialReplica
			}
			return u
		},
		func(m *control.Members, c *peer.Client) *tables.Reader {
			r := tables.NewReader(p.Store, self, m, c, log)
			r.Direct = s.Disabled.SharedStoreReads
			r.RowNumber = p.Codec.RowNumber
			return r
		},
		newMetrics,
		newStoreEventRelay,
		newKVStoreFollower,
		newEngineCacheFollower,
		newWeightRegister,
		newSharingRegister,
		newNodes,
		newPeerServer,
	}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func maxClients(descriptors int) int {
	if descriptors <= 0 {
		return defaultMaxClients
	}
	return int((1 - reservedDescriptorShare) * float64(descriptors))
}

// newNodes creates the part of this node that exchanges state with the others, and
// registers the handlers of its datagrams.
func newNodes(s config.GatewaySettings, self control.Member, members *control.Members, shares *coldShares, sus *suspects.Suspects, limits *ratelimit.Limits, store Store, siteState *SiteState, cacheIndex *route.CacheIndex, tableReader *tables.Reader, c *canaries, o *origins.Origins, log *slog.Logger) (*nodes, error) {
	n := &nodes{
		self:        self,
		regions:     s.Regions,
		coldShares:  shares,
		suspects:    sus,
		rateLimits:  limits,
		members:     members,
		store:       store,
		eras:        store.Eras(),
		siteState:   siteState,
		canaries:    c,
		cacheIndex:  cacheIndex,
		log:         log,
		loads:       newLoadState(),
		loadsDue:    make(chan struct{}, 1),
		incarnation: members.Self().Incarnation,
	}
	n.nodeTable = &tables.Follower{Store: tableReader, Table: site.TableNodes, Name: "nodes", Apply: n.applyNodeRows, Log: log}
	handle := func(from netip.AddrPort, p control.Probe) []control.Packet {
		return members.Handle(from, p, time.Now(), 0)
	}
	var err error
	if n.probes, err = peer.NewProbes(s.Peer.Listen, s.Peer.Key, handle, log); err != nil {
		return nil, err
	}
	n.probes.OnNote(noteLoads, n.handleLoads)
	n.probes.OnNote(noteHallLoads, n.handleHallLoads)
	n.probes.OnNote(noteReplicaUpdates, n.handleReplicaUpdates)
	n.probes.OnNote(suspects.NoteCases, sus.HandleCases)
	n.probes.OnNote(suspects.NoteLostRun, sus.HandleLostRun)
	n.probes.OnNote(suspects.NoteAsk, sus.HandleAsk)
	n.probes.OnNote(suspects.NoteDigest, sus.HandleDigest)
	n.probes.OnNote(noteCanary, func(params json.RawMessage) {
		if d, ok := c.handleNote(params); ok && d.Relay {
			d.Relay = false
			n.sendNote(n.hallPeers(), noteCanary, d)
		}
	})
	c.notify = func(d canaryDecision) {
		n.sendToAll(0, noteCanary, func(relay bool) any {
			d.Relay = relay
			return d
		})
	}
	n.probes.OnNote(origins.NoteVersions, decodeNote(n, o.HandleVersions))
	n.probes.OnNote(origins.NoteRecords, decodeNote(n, o.HandleRecords))
	n.probes.OnNote(origins.NoteLookup, decodeNote(n, o.HandleLookup))
	o.SetNotifier(noteSender{n: n, maxDirect: maxDirectLookups})
	o.SetFleet(originFleet{siteState, n})
	sus.SetNotifier(noteSender{n: n, maxDirect: control.MaxDirectNodes})
	limits.SetAnnouncer(n)
	return n, nil
}

// newPeerServer creates the server for calls from other nodes.
func newPeerServer(s config.GatewaySettings, tableReader *tables.Reader, storeEvents *storeEventRelay, engineCaches *engineCacheFollower, sus *suspects.Suspects, limits *ratelimit.Limits, c *canaries, o *origins.Origins, log *slog.Logger) (*peer.Server, error) {
	server, err := peer.NewServer(s.Peer.Listen, map[peer.Role]string{peer.RolePeer: s.Peer.Key}, log)
	if err != nil {
		return nil, err
	}
	server.Handle(peer.RolePeer, tables.MethodChanges, tableReader.Serve)
	server.Handle(peer.RolePeer, methodStoreEvents, storeEvents.serve)
	server.Handle(peer.RolePeer, methodEventsOfStores, storeEvents.serveSeveral)
	server.Handle(peer.RolePeer, methodCacheUpdates, engineCaches.serve)
	server.Handle(peer.RolePeer, methodCanaryReport, peer.Handle(c.serveReport))
	server.Handle(peer.RolePeer, suspects.MethodRun, sus.ServeRun)
	server.Handle(peer.RolePeer, suspects.MethodRunEnded, sus.ServeRunEnded)
	server.Handle(peer.RolePeer, ratelimit.MethodTake, peer.Handle(limits.ServeTake))
	server.Handle(peer.RolePeer, ratelimit.MethodRate, peer.Handle(limits.ServeRate))
	server.Handle(peer.RolePeer, ratelimit.MethodSpend, peer.Handle(limits.ServeSpend))
	server.Handle(peer.RolePeer, origins.MethodVersions, peer.Handle(o.ServeVersions))
	return server, nil
}

// decodeNote returns a handler of notes that decodes them.
func decodeNote[T any](n *nodes, handle func(T)) peer.NoteHandler {
	return func(params json.RawMessage) {
		var note T
		if err := json.Unmarshal(params, &note); err != nil {
			n.notesDropped.Add(1)
			n.log.Debug("note can't be decoded", "err", err)
			return
		}
		handle(note)
	}
}

func newKVStoreFollower(
	self control.Member,
	e Engines,
	storeEvents *storeEventRelay,
	siteState *SiteState,
	cacheIndex *route.CacheIndex,
	members *control.Members,
	clock *replicaClock,
	log *slog.Logger,
) *kvStoreFollower {
	return &kvStoreFollower{
		engines:     e,
		storeEvents: storeEvents,
		siteState:   siteState,
		cacheIndex:  cacheIndex,
		members:     members,
		self:        self.Name,
		clock:       clock,
		log:         log,
		followed:    map[string]*followedStore{},
		relays:      map[netip.AddrPort]context.CancelFunc{},
	}
}
