package gateway

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/service/peer"
)

// Nodes learn what engines have in their caches from the engines' event streams. In each data
// hall one node, the relay for a hall of engines, follows them for all other nodes of its own
// hall: directly if the engines are in its hall, else through the relay of the engines' hall.
// So each event crosses to another hall once, in compact form, however many nodes there are.
const (
	// methodCacheUpdates asks a relay for updates of engines' cache contents.
	methodCacheUpdates = "gateway.held"
	// hallRelayDuty is the prefix of the duty of relaying updates of one hall's engines.
	hallRelayDuty = "held/"
	// cachePollWait is how long a long poll for updates is held.
	cachePollWait = time.Second
	// cachePollPause is the pause between two polls, so that updates arrive in batches;
	// remoteCachePollPause is the same for a peer in another hall.
	cachePollPause       = 100 * time.Millisecond
	remoteCachePollPause = 200 * time.Millisecond
	// cachePollRetry is the pause after a failed poll.
	cachePollRetry = 400 * time.Millisecond
	// maxTrackedEngines is how many engines' caches a node tracks, the nearest first. A busy
	// engine reports some 40 changes a second, 600 bytes, which took each of 295 nodes 0.012 %
	// of a core per engine: tracking all 256 took 3.1 %, where the whole control plane may
	// take 2.8 %.
	maxTrackedEngines = 64
	// peerInterestTerm is how long a node keeps logging updates for peers after a peer last
	// asked.
	peerInterestTerm = 3 * cachePollWait
	// remoteRelayDuty is the duty of relaying the updates of all other halls' engines to this
	// hall.
	remoteRelayDuty = "held-far"
)

// engineCacheFollower keeps this node's index of engine cache contents up to date.
type engineCacheFollower struct {
	engines Engines
	state   *SiteState
	cache   *route.CacheIndex
	members *control.Members
	client  *peer.Client
	self    control.Member
	clock   *replicaClock
	updates *cacheUpdateLog
	log     *slog.Logger

	mu           sync.Mutex
	inputs       followInputs
	ranked       map[string]rankedEngine       // Tracked engines, by ID.
	awaitingFull map[string]bool               // Tracked engines of which no full update has arrived yet.
	followed     map[string]context.CancelFunc // Engines that this node follows itself, by ID.
	sources      map[netip.AddrPort]*updateSource
	lastAsked    time.Time // When a peer last asked this node for updates.
	wg           sync.WaitGroup
}

// followInputs determine which engines a node follows itself and which peers it polls.
type followInputs struct {
	view     *control.View
	snapshot *site.Snapshot
	revision int
}

// rankedEngine is the position of a tracked engine.
type rankedEngine struct {
	hall string
	rank int // Within its hall, 0 first.
}

// updateSource is a peer that this node polls for updates.
type updateSource struct {
	maxEngines map[string]int // Number of engines wanted, by hall.
	cancel     context.CancelFunc
}

func newEngineCacheFollower(engines Engines, state *SiteState, cache *route.CacheIndex, members *control.Members, client *peer.Client, self control.Member, clock *replicaClock, log *slog.Logger) *engineCacheFollower {
	return &engineCacheFollower{
		engines:      engines,
		state:        state,
		cache:        cache,
		members:      members,
		client:       client,
		self:         self,
		clock:        clock,
		updates:      newCacheUpdateLog(),
		log:          log,
		followed:     map[string]context.CancelFunc{},
		sources:      map[netip.AddrPort]*updateSource{},
		awaitingFull: map[string]bool{},
	}
}

// stop cancels all following and polling; the caller holds mu.
func (h *engineCacheFollower) stop() {
	h.setFollowed(nil)
	h.setSources(nil)
}

// restart drops all connections and follows the engines again: connections may have died
// unnoticed while the machine was suspended.
func (h *engineCacheFollower) restart() {
	h.mu.Lock()
	h.stop()
	h.inputs = followInputs{}
	h.mu.Unlock()
	h.refresh(context.Background())
}

// close stops all following and polling and waits for it to end.
func (h *engineCacheFollower) close() {
	h.mu.Lock()
	h.stop()
	h.mu.Unlock()
	h.wg.Wait()
}

// refresh recomputes which engines this node follows itself and which peers it polls; the
// timer service calls it.
func (h *engineCacheFollower) refresh(context.Context) {
	inputs := followInputs{view: h.members.View(), snapshot: h.state.Snapshot(), revision: h.state.Revision()}
	h.mu.Lock()
	defer h.mu.Unlock()
	if inputs == h.inputs {
		return
	}
	h.inputs = inputs
	engines := h.chooseEngines(inputs.snapshot)
	h.rankEngines(engines)
	follow := map[string]site.Upstream{}
	ask := map[netip.AddrPort]map[string]int{}
	for hall, list := range engines {
		addr, ok := h.source(hall)
		if !ok {
			for _, u := range list {
				follow[u.ID] = u
			}
			continue
		}
		if ask[addr] == nil {
			ask[addr] = map[string]int{}
		}
		ask[addr][hall] = len(list)
	}
	h.setFollowed(follow)
	h.setSources(ask)
}

// chooseEngines lists the engines that this node tracks, by hall and in the order of
// route.SelectTracked.
func (h *engineCacheFollower) chooseEngines(s *site.Snapshot) map[string][]site.Upstream {
	byHall := map[string][]site.Upstream{}
	if s == nil || h.state.disabled.EngineCacheEvents {
		return byHall
	}
	pools := map[string]*route.Pool{}
	for name, p := range h.state.Pools() {
		if v := s.Services[name]; v != nil && v.Engine != nil && v.Engine.PlannedFetch && v.Engine.MaxWatches > 0 {
			pools[name] = p
		}
	}
	for name, p := range pools {
		var tracked []site.Upstream
		// Nothing may be sent to evacuated engines, these calls included.
		usable := slices.DeleteFunc(p.Upstreams(), func(u site.Upstream) bool { return u.Evacuated })
		for hall, engines := range route.SelectTracked(h.self.DataHall, usable, maxTrackedEngines/len(pools)) {
			byHall[hall] = append(byHall[hall], engines...)
			tracked = append(tracked, engines...)
		}
		h.cache.SetEngines(name, tracked, s.Services[name].Engine)
	}
	return byHall
}

// rankEngines records the rank of each engine in its hall; the caller holds mu.
func (h *engineCacheFollower) rankEngines(engines map[string][]site.Upstream) {
	old := h.ranked
	h.ranked = map[string]rankedEngine{}
	for hall, list := range engines {
		for rank, u := range list {
			h.ranked[u.ID] = rankedEngine{hall: hall, rank: rank}
			if _, known := old[u.ID]; !known {
				h.awaitingFull[u.ID] = true
			}
		}
	}
	for id := range h.awaitingFull {
		if _, wanted := h.ranked[id]; !wanted {
			delete(h.awaitingFull, id)
		}
	}
}

// source is the peer that this node polls about the engines of a hall; ok is false if it
// follows them itself.
func (h *engineCacheFollower) source(hall string) (addr netip.AddrPort, ok bool) {
	duty := remoteRelayDuty
	if hall == h.self.DataHall {
		duty = hallRelayDuty + hall
	}
	if local, found := h.relayFor(h.self.DataHall, duty); found && local.Name != h.self.Name {
		return local.Peer, true
	}
	if hall == h.self.DataHall {
		return addr, false
	}
	remote, found := h.relayFor(hall, hallRelayDuty+hall)
	return remote.Peer, found
}

// relayFor is the node of a hall that has a relay duty.
func (h *engineCacheFollower) relayFor(hall, duty string) (control.Member, bool) {
	return control.Owner(control.WithWidestLinks(hallMembers(h.members, hall)), duty)
}

// setFollowed starts following the engines that are new in wanted and stops following those
// that are not in it; the caller holds mu.
func (h *engineCacheFollower) setFollowed(wanted map[string]site.Upstream) {
	for id, u := range wanted {
		if h.followed[id] == nil {
			ctx, cancel := context.WithCancel(context.Background())
			h.followed[id] = cancel
			h.wg.Go(func() { h.followEngine(ctx, u) })
		}
	}
	for id, cancel := range h.followed {
		if _, ok := wanted[id]; !ok {
			cancel()
			delete(h.followed, id)
		}
	}
}

// setSources does the same for the peers to poll; the caller holds mu.
func (h *engineCacheFollower) setSources(wanted map[netip.AddrPort]map[string]int) {
	for addr, src := range h.sources {
		if wanted[addr] == nil {
			src.cancel()
			delete(h.sources, addr)
		}
	}
	for addr, maxEngines := range wanted {
		if src := h.sources[addr]; src != nil {
			src.maxEngines = maxEngines
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		src := &updateSource{maxEngines: maxEngines, cancel: cancel}
		h.sources[addr] = src
		h.wg.Go(func() { h.pollSource(ctx, addr, src) })
	}
}

// followEngine applies one engine's events until ctx ends.
func (h *engineCacheFollower) followEngine(ctx context.Context, u site.Upstream) {
	boot, since, lost := int64(0), int64(0), false
	for ctx.Err() == nil {
		if p := h.state.Pool(u.Service); p != nil && p.InBackoff(u.ID, boottime.Now()) {
			sleep(ctx, cachePollRetry)
			continue
		}
		c, err := h.engines.Changes(ctx, u.Addr, since, cachePollWait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !lost {
				h.log.Warn("engine event stream lost", "replica", u.ID, "err", err)
				h.apply(route.EngineCacheUpdate{Engine: u.ID, Stale: true})
			}
			lost = true
			sleep(ctx, cachePollRetry)
			continue
		}
		if lost {
			h.log.Info("engine event stream restored", "replica", u.ID, "boot", c.Boot)
		}
		h.clock.update(c.Clock, boottime.Now())
		full := since == 0 || c.Lost || c.Boot != boot
		if full || lost || len(c.Changes) > 0 {
			h.apply(newCacheUpdate(u.ID, full, c))
		}
		boot, since, lost = c.Boot, c.Next, false
		sleep(ctx, cachePollPause)
	}
}

func newCacheUpdate(id string, full bool, c site.CacheChanges) route.EngineCacheUpdate {
	update := route.EngineCacheUpdate{Engine: id, Full: full, Changes: make([]route.EngineCacheChange, len(c.Changes))}
	for i, v := range c.Changes {
		update.Changes[i] = route.EngineCacheChange{Part: route.HashPart(v.Realm, v.Part), Tokens: v.Tokens}
	}
	return update
}

// apply applies an update to the index, and logs it if peers poll this node.
func (h *engineCacheFollower) apply(c route.EngineCacheUpdate) {
	h.cache.ApplyEngineUpdate(c)
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.Full {
		delete(h.awaitingFull, c.Engine)
	}
	e, kept := h.ranked[c.Engine]
	if !kept {
		return
	}
	if boottime.Since(h.lastAsked) > peerInterestTerm {
		h.updates.skip() // Packing and logging is most of the cost of an update.
		return
	}
	h.updates.add(e, packCacheUpdate(c))
}

// nextRequest is the next poll of a source.
func (h *engineCacheFollower) nextRequest(src *updateSource, epoch, from uint64) cacheUpdatesRequest {
	q := cacheUpdatesRequest{Epoch: epoch, From: from, WaitMS: cachePollWait.Milliseconds()}
	h.mu.Lock()
	defer h.mu.Unlock()
	q.MaxEngines = src.maxEngines
	for hall := range src.maxEngines {
		q.Halls = append(q.Halls, hall)
	}
	for id := range h.awaitingFull {
		if src.maxEngines[h.ranked[id].hall] > 0 {
			q.NeedFull = append(q.NeedFull, id)
		}
	}
	return q
}

// pollSource applies a peer's updates until ctx ends.
func (h *engineCacheFollower) pollSource(ctx context.Context, addr netip.AddrPort, src *updateSource) {
	pause := cachePollPause
	if !slices.Contains(h.hallAddrs(), addr) {
		pause = remoteCachePollPause
	}
	var epoch, from uint64
	lost := false
	for ctx.Err() == nil {
		answer, err := h.call(ctx, addr, h.nextRequest(src, epoch, from))
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			if !lost {
				h.log.Warn("engine cache updates from peer lost", "peer", addr, "err", err)
				h.markSourceStale(src)
			}
			lost, epoch = true, 0
			sleep(ctx, cachePollRetry)
			continue
		case lost:
			h.log.Info("engine cache updates from peer restored", "peer", addr)
			lost = false
		}
		epoch, from = answer.Epoch, answer.Next
		h.applyPacked(answer.Updates)
		sleep(ctx, pause)
	}
}

func (h *engineCacheFollower) call(ctx context.Context, addr netip.AddrPort, req cacheUpdatesRequest) (answer cacheUpdatesAnswer, err error) {
	err = h.client.CallWithin(ctx, cachePollWait+answerSlack, addr, methodCacheUpdates, req, &answer)
	return answer, err
}

// hallAddrs lists the addresses of this hall's live nodes.
func (h *engineCacheFollower) hallAddrs() (list []netip.AddrPort) {
	for _, m := range hallMembers(h.members, h.self.DataHall) {
		list = append(list, m.Peer)
	}
	return list
}

// applyPacked applies updates received from a peer.
func (h *engineCacheFollower) applyPacked(updates []packedCacheUpdate) {
	for _, p := range updates {
		c, err := p.unpack()
		if err != nil {
			h.log.Error("engine cache update from peer can't be decoded", "err", err)
			continue
		}
		h.apply(c)
	}
}

// markSourceStale marks the contents of all engines that a source reports on as stale, so that
// they are not used.
func (h *engineCacheFollower) markSourceStale(src *updateSource) {
	h.mu.Lock()
	var ids []string
	for id, e := range h.ranked {
		if e.rank < src.maxEngines[e.hall] {
			ids = append(ids, id)
		}
	}
	h.mu.Unlock()
	for _, id := range ids {
		h.apply(route.EngineCacheUpdate{Engine: id, Stale: true})
	}
}
