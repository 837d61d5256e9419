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
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/pkg/timer"
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
	// peerInterestTerm is how long a node keeps logging updates after a peer last asked for
	// them.
	peerInterestTerm = 3 * cachePollWait
	// remoteRelayDuty is the duty of relaying the updates of all other halls' engines to this
	// hall.
	remoteRelayDuty = "held-far"
)

// engineCacheFollower keeps this node's index of engine cache contents up to date.
type engineCacheFollower struct {
	engines    Engines
	siteState  *SiteState
	cacheIndex *route.CacheIndex
	members    *control.Members
	client     *peer.Client
	self       control.Member
	clock      *replicaClock
	updates    *cacheUpdateLog
	log        *slog.Logger

	mu           locks.Mutex
	inputs       engineFollowInputs
	ranked       map[string]rankedEngine       // Tracked engines, by ID.
	awaitingFull map[string]bool               // Tracked engines without a full update so far.
	followed     map[string]context.CancelFunc // Engines that this node follows itself, by ID.
	sources      map[netip.AddrPort]*updateSource
	lastAsked    time.Time // When a peer last asked this node for updates.
	wg           sync.WaitGroup
}

// engineFollowInputs determine which engines a node follows itself and which peers it polls.
type engineFollowInputs struct {
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

func newEngineCacheFollower(engines Engines, siteState *SiteState, cacheIndex *route.CacheIndex, members *control.Members, client *peer.Client, self control.Member, clock *replicaClock, log *slog.Logger) *engineCacheFollower {
	return &engineCacheFollower{
		engines:      engines,
		siteState:    siteState,
		cacheIndex:   cacheIndex,
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
func (f *engineCacheFollower) stop() {
	f.setFollowed(nil)
	f.setSources(nil)
}

// restart drops all connections and follows the engines again: connections may have died
// unnoticed while the machine was suspended.
func (f *engineCacheFollower) restart() {
	f.mu.Lock()
	f.stop()
	f.inputs = engineFollowInputs{}
	f.mu.Unlock()
	f.refresh(context.Background())
}

// close stops all following and polling and waits for it to end.
func (f *engineCacheFollower) close() {
	f.mu.Lock()
	f.stop()
	f.mu.Unlock()
	f.wg.Wait()
}

// refresh recomputes which engines this node follows itself and which peers it polls; the
// timer service calls it.
func (f *engineCacheFollower) refresh(context.Context) {
	inputs := engineFollowInputs{view: f.members.View(), snapshot: f.siteState.Snapshot(), revision: f.siteState.Revision()}
	f.mu.Lock()
	defer f.mu.Unlock()
	if inputs == f.inputs {
		return
	}
	f.inputs = inputs
	engines := f.chooseEngines(inputs.snapshot)
	f.rankEngines(engines)
	follow := map[string]site.Upstream{}
	ask := map[netip.AddrPort]map[string]int{}
	for hall, list := range engines {
		addr, ok := f.source(hall)
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
	f.setFollowed(follow)
	f.setSources(ask)
}

// chooseEngines lists the engines that this node tracks, by hall and in the order of
// route.Pool.Tracked.
func (f *engineCacheFollower) chooseEngines(s *site.Snapshot) map[string][]site.Upstream {
	byHall := map[string][]site.Upstream{}
	if s == nil || f.siteState.disabled.EngineCacheEvents {
		return byHall
	}
	pools := map[string]*route.Pool{}
	for name, p := range f.siteState.Pools() {
		if v := s.Services[name]; v != nil && v.Engine != nil && v.Engine.PlannedFetch && v.Engine.MaxWatches > 0 {
			pools[name] = p
		}
	}
	for name, p := range pools {
		var tracked []site.Upstream
		// Evacuated engines must not be sent anything, not even these calls.
		for hall, engines := range p.Tracked(f.self.DataHall, maxTrackedEngines/len(pools)) {
			byHall[hall] = append(byHall[hall], engines...)
			tracked = append(tracked, engines...)
		}
		f.cacheIndex.SetEngines(name, tracked, s.Services[name].Engine)
	}
	return byHall
}

// rankEngines records the rank of each engine in its hall; the caller holds mu.
func (f *engineCacheFollower) rankEngines(engines map[string][]site.Upstream) {
	old := f.ranked
	f.ranked = map[string]rankedEngine{}
	for hall, list := range engines {
		for rank, u := range list {
			f.ranked[u.ID] = rankedEngine{hall: hall, rank: rank}
			if _, known := old[u.ID]; !known {
				f.awaitingFull[u.ID] = true
			}
		}
	}
	for id := range f.awaitingFull {
		if _, wanted := f.ranked[id]; !wanted {
			delete(f.awaitingFull, id)
		}
	}
}

// source is the peer that this node polls about the engines of a hall; ok is false if it
// follows them itself.
func (f *engineCacheFollower) source(hall string) (addr netip.AddrPort, ok bool) {
	duty := remoteRelayDuty
	if hall == f.self.DataHall {
		duty = hallRelayDuty + hall
	}
	if local, found := f.relayFor(f.self.DataHall, duty); found && local.Name != f.self.Name {
		return local.Peer, true
	}
	if hall == f.self.DataHall {
		return addr, false
	}
	remote, found := f.relayFor(hall, hallRelayDuty+hall)
	return remote.Peer, found
}

// relayFor is the node of a hall that has a relay duty.
func (f *engineCacheFollower) relayFor(hall, duty string) (control.Member, bool) {
	return control.Owner(f.members.View().Hall(hall).Wide, duty)
}

// setFollowed starts following the engines that are new in wanted and stops following those
// that are not in it; the caller holds mu.
func (f *engineCacheFollower) setFollowed(wanted map[string]site.Upstream) {
	for id, u := range wanted {
		if f.followed[id] == nil {
			ctx, cancel := context.WithCancel(context.Background())
			f.followed[id] = cancel
			f.wg.Go(func() { f.followEngine(ctx, u) })
		}
	}
	for id, cancel := range f.followed {
		if _, ok := wanted[id]; !ok {
			cancel()
			delete(f.followed, id)
		}
	}
}

// setSources does the same for the peers to poll; the caller holds mu.
func (f *engineCacheFollower) setSources(wanted map[netip.AddrPort]map[string]int) {
	for addr, src := range f.sources {
		if wanted[addr] == nil {
			src.cancel()
			delete(f.sources, addr)
		}
	}
	for addr, maxEngines := range wanted {
		if src := f.sources[addr]; src != nil {
			src.maxEngines = maxEngines
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		src := &updateSource{maxEngines: maxEngines, cancel: cancel}
		f.sources[addr] = src
		f.wg.Go(func() { f.pollSource(ctx, addr, src) })
	}
}

// followEngine applies one engine's events until ctx ends.
func (f *engineCacheFollower) followEngine(ctx context.Context, u site.Upstream) {
	boot, since, lost := int64(0), int64(0), false
	for ctx.Err() == nil {
		if p := f.siteState.Pool(u.Service); p != nil && p.InBackoff(u.ID, boottime.Now()) {
			timer.Sleep(ctx, cachePollRetry)
			continue
		}
		c, err := f.engines.Changes(ctx, u.Addr, since, cachePollWait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !lost {
				f.log.Warn("engine event stream lost", "replica", u.ID, "err", err)
				f.apply(route.EngineCacheUpdate{Engine: u.ID, Stale: true})
			}
			lost = true
			timer.Sleep(ctx, cachePollRetry)
			continue
		}
		if lost {
			f.log.Info("engine event stream restored", "replica", u.ID, "boot", c.Boot)
		}
		f.clock.update(c.Clock, boottime.Now())
		full := since == 0 || c.Lost || c.Boot != boot
		if full || lost || len(c.Changes) > 0 {
			f.apply(newCacheUpdate(u.ID, full, c))
		}
		boot, since, lost = c.Boot, c.Next, false
		timer.Sleep(ctx, cachePollPause)
	}
}

func newCacheUpdate(id string, full bool, c site.CacheChanges) route.EngineCacheUpdate {
	update := route.EngineCacheUpdate{Engine: id, Full: full, Changes: make([]route.EngineCacheChange, len(c.Changes))}
	for i, v := range c.Changes {
		update.Changes[i] = route.EngineCacheChange{Part: route.HashPart(v.Realm, v.Part), Tokens: v.Tokens}
	}
	return update
}

// apply applies an update to the index, and adds it to the log if peers poll this node.
func (f *engineCacheFollower) apply(c route.EngineCacheUpdate) {
	f.cacheIndex.ApplyEngineUpdate(c)
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Full {
		delete(f.awaitingFull, c.Engine)
	}
	e, tracked := f.ranked[c.Engine]
	if !tracked {
		return
	}
	if boottime.Since(f.lastAsked) > peerInterestTerm {
		f.updates.skip() // Packing it for the log is most of the cost of an update.
		return
	}
	f.updates.add(e, packCacheUpdate(c))
}

// nextRequest is the next poll of a source.
func (f *engineCacheFollower) nextRequest(src *updateSource, epoch, from uint64) cacheUpdatesRequest {
	q := cacheUpdatesRequest{Epoch: epoch, From: from, WaitMS: cachePollWait.Milliseconds()}
	f.mu.Lock()
	defer f.mu.Unlock()
	q.MaxEngines = src.maxEngines
	for hall := range src.maxEngines {
		q.Halls = append(q.Halls, hall)
	}
	for id := range f.awaitingFull {
		if src.maxEngines[f.ranked[id].hall] > 0 {
			q.NeedFull = append(q.NeedFull, id)
		}
	}
	return q
}

// pollSource applies a peer's updates until ctx ends.
func (f *engineCacheFollower) pollSource(ctx context.Context, addr netip.AddrPort, src *updateSource) {
	pause := cachePollPause
	if !slices.Contains(f.hallAddrs(), addr) {
		pause = remoteCachePollPause
	}
	var epoch, from uint64
	lost := false
	for ctx.Err() == nil {
		answer, err := f.call(ctx, addr, f.nextRequest(src, epoch, from))
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			if !lost {
				f.log.Warn("engine cache updates from peer lost", "peer", addr, "err", err)
				f.markSourceStale(src)
			}
			lost, epoch = true, 0
			timer.Sleep(ctx, cachePollRetry)
			continue
		case lost:
			f.log.Info("engine cache updates from peer restored", "peer", addr)
			lost = false
		}
		epoch, from = answer.Epoch, answer.Next
		f.applyPacked(answer.Updates)
		timer.Sleep(ctx, pause)
	}
}

func (f *engineCacheFollower) call(ctx context.Context, addr netip.AddrPort, req cacheUpdatesRequest) (answer cacheUpdatesAnswer, err error) {
	err = f.client.CallWithin(ctx, cachePollWait+peer.AnswerSlack, addr, methodCacheUpdates, req, &answer)
	return answer, err
}

// hallAddrs lists the addresses of this hall's live nodes.
func (f *engineCacheFollower) hallAddrs() (list []netip.AddrPort) {
	for _, m := range f.members.View().Hall(f.self.DataHall).Alive {
		list = append(list, m.Peer)
	}
	return list
}

// applyPacked applies updates received from a peer.
func (f *engineCacheFollower) applyPacked(updates []packedCacheUpdate) {
	for _, p := range updates {
		c, err := p.unpack()
		if err != nil {
			f.log.Error("engine cache update from peer can't be decoded", "err", err)
			continue
		}
		f.apply(c)
	}
}

// markSourceStale marks the contents of all engines that a source reports on as stale, so that
// they are not used.
func (f *engineCacheFollower) markSourceStale(src *updateSource) {
	f.mu.Lock()
	var ids []string
	for id, e := range f.ranked {
		if e.rank < src.maxEngines[e.hall] {
			ids = append(ids, id)
		}
	}
	f.mu.Unlock()
	for _, id := range ids {
		f.apply(route.EngineCacheUpdate{Engine: id, Stale: true})
	}
}
