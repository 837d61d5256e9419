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

// Nodes know what engines hold by the engines' own events. In each data hall one
// node, the teller for a hall of engines, has them for all others of its hall: from
// the engines, if they are of its own hall, and else from the teller of the engines'
// hall. So each event crosses to another hall once, in short form, however many nodes
// there are.
const (
	// methodHeld asks a teller for news of what engines hold.
	methodHeld = "gateway.held"
	// tellDuty names the duty of telling what the engines of a hall hold.
	tellDuty = "held/"
	// heldWait is for how long a call for news is held.
	heldWait = time.Second
	// heldPause is kept between two calls, so that news come in groups, and
	// heldFarPause where they come from another hall.
	heldPause    = 100 * time.Millisecond
	heldFarPause = 200 * time.Millisecond
	// heldRetry is kept after a failed call.
	heldRetry = 400 * time.Millisecond
	// heldMost is of how many engines a node keeps what they hold, the nearest first.
	// An engine at work tells some 40 changes a second, 600 bytes, which took each of
	// 295 nodes 0.012 % of a core an engine: with all of 256 followed 3.1 %, of 2.8 %
	// that all of control may take.
	heldMost = 64
	// tellsTerm is for how long a node keeps news for others after one has asked.
	tellsTerm = 3 * heldWait
	// farDuty names the duty of telling a hall what the engines of all others hold.
	farDuty = "held-far"
)

// holdings keeps this node's knowledge of what engines hold.
type holdings struct {
	engines Engines
	beliefs *SiteState
	kept    *route.CacheIndex
	members *control.Members
	client  *peer.Client
	self    control.Member
	clock   *replicaClock
	news    *heldLog
	log     *slog.Logger

	mu       sync.Mutex
	at       heldInputs
	ranked   map[string]rankedEngine       // Those that are kept, by ID.
	fresh    map[string]bool               // Of those, the ones of which nothing was heard yet.
	followed map[string]context.CancelFunc // Engines, by ID.
	asked    map[netip.AddrPort]*askedTeller
	told     time.Time // When another node last asked this one.
	wg       sync.WaitGroup
}

// heldInputs are what it depends on which engines a node follows and whom it asks.
type heldInputs struct {
	view     *control.View
	snapshot *site.Snapshot
	rebuilt  int
}

// rankedEngine is an engine of which this node keeps what it holds.
type rankedEngine struct {
	hall string
	rank int // In its hall.
}

// askedTeller is a node that this one asks for news.
type askedTeller struct {
	most   map[string]int // Engines, by hall.
	cancel context.CancelFunc
}

func newHoldings(e Engines, b *SiteState, k *route.CacheIndex, m *control.Members, c *peer.Client, self control.Member, r *replicaClock, log *slog.Logger) *holdings {
	return &holdings{
		engines:  e,
		beliefs:  b,
		kept:     k,
		members:  m,
		client:   c,
		self:     self,
		clock:    r,
		news:     newHeldLog(),
		log:      log,
		followed: map[string]context.CancelFunc{},
		asked:    map[netip.AddrPort]*askedTeller{},
		fresh:    map[string]bool{},
	}
}

// stop ends all following; the caller holds mu.
func (h *holdings) stop() {
	h.refollow(nil)
	h.reask(nil)
}

// restart follows the engines anew: connections may have ended without a sign.
func (h *holdings) restart() {
	h.mu.Lock()
	h.stop()
	h.at = heldInputs{}
	h.mu.Unlock()
	h.refresh(context.Background())
}

// close stops following and waits.
func (h *holdings) close() {
	h.mu.Lock()
	h.stop()
	h.mu.Unlock()
	h.wg.Wait()
}

// refresh finds out which engines this node follows and which nodes it asks; the
// timer service calls it.
func (h *holdings) refresh(context.Context) {
	at := heldInputs{view: h.members.View(), snapshot: h.beliefs.Snapshot(), rebuilt: h.beliefs.Revision()}
	h.mu.Lock()
	defer h.mu.Unlock()
	if at == h.at {
		return
	}
	h.at = at
	engines := h.chooseEngines(at.snapshot)
	h.rank(engines)
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
	h.refollow(follow)
	h.reask(ask)
}

// chooseEngines lists the engines of which this node keeps what they hold, by hall and
// in the order of route.SelectTracked.
func (h *holdings) chooseEngines(s *site.Snapshot) map[string][]site.Upstream {
	list := map[string][]site.Upstream{}
	if s == nil || h.beliefs.disabled.Held {
		return list
	}
	telling := map[string]*route.Pool{}
	for name, p := range h.beliefs.Pools() {
		if v := s.Services[name]; v != nil && v.Engine != nil && v.Engine.PlannedFetch && v.Engine.MaxWatches > 0 {
			telling[name] = p
		}
	}
	for name, p := range telling {
		var of []site.Upstream
		// Engines that are evacuated are to be sent nothing, these calls included.
		there := slices.DeleteFunc(p.Upstreams(), func(u site.Upstream) bool { return u.Evacuated })
		for hall, engines := range route.SelectTracked(h.self.DataHall, there, heldMost/len(telling)) {
			list[hall] = append(list[hall], engines...)
			of = append(of, engines...)
		}
		h.kept.SetEngines(name, of, s.Services[name].Engine)
	}
	return list
}

// rank notes the place of each engine in its hall; the caller holds mu.
func (h *holdings) rank(engines map[string][]site.Upstream) {
	old := h.ranked
	h.ranked = map[string]rankedEngine{}
	for hall, list := range engines {
		for rank, u := range list {
			h.ranked[u.ID] = rankedEngine{hall: hall, rank: rank}
			if _, known := old[u.ID]; !known {
				h.fresh[u.ID] = true
			}
		}
	}
	for id := range h.fresh {
		if _, wanted := h.ranked[id]; !wanted {
			delete(h.fresh, id)
		}
	}
}

// source is the node that this one asks about the engines of a hall; ok is false if
// it follows them itself.
func (h *holdings) source(hall string) (addr netip.AddrPort, ok bool) {
	duty := farDuty
	if hall == h.self.DataHall {
		duty = tellDuty + hall
	}
	if near, found := h.teller(h.self.DataHall, duty); found && near.Name != h.self.Name {
		return near.Peer, true
	}
	if hall == h.self.DataHall {
		return addr, false
	}
	far, found := h.teller(hall, tellDuty+hall)
	return far.Peer, found
}

// teller is the node of a hall to which a duty of telling falls.
func (h *holdings) teller(hall, duty string) (control.Member, bool) {
	return control.Owner(control.WithWidestLinks(hallMembers(h.members, hall)), duty)
}

// refollow starts following engines that are new to this node, and stops following
// those that are gone or fall to another; the caller holds mu.
func (h *holdings) refollow(wanted map[string]site.Upstream) {
	for id, u := range wanted {
		if h.followed[id] == nil {
			ctx, cancel := context.WithCancel(context.Background())
			h.followed[id] = cancel
			h.wg.Go(func() { h.follow(ctx, u) })
		}
	}
	for id, cancel := range h.followed {
		if _, ok := wanted[id]; !ok {
			cancel()
			delete(h.followed, id)
		}
	}
}

// reask starts and stops asking nodes likewise; the caller holds mu.
func (h *holdings) reask(wanted map[netip.AddrPort]map[string]int) {
	for addr, a := range h.asked {
		if wanted[addr] == nil {
			a.cancel()
			delete(h.asked, addr)
		}
	}
	for addr, most := range wanted {
		if a := h.asked[addr]; a != nil {
			a.most = most
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		a := &askedTeller{most: most, cancel: cancel}
		h.asked[addr] = a
		h.wg.Go(func() { h.ask(ctx, addr, a) })
	}
}

// follow takes in one engine's events until ctx ends.
func (h *holdings) follow(ctx context.Context, u site.Upstream) {
	boot, since, lost := int64(0), int64(0), false
	for ctx.Err() == nil {
		if p := h.beliefs.Pool(u.Service); p != nil && p.InBackoff(u.ID, boottime.Now()) {
			sleep(ctx, heldRetry)
			continue
		}
		c, err := h.engines.Changes(ctx, u.Addr, since, heldWait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !lost {
				h.log.Warn("engine event stream lost", "replica", u.ID, "err", err)
				h.take(route.EngineCacheUpdate{Engine: u.ID, Stale: true})
			}
			lost = true
			sleep(ctx, heldRetry)
			continue
		}
		if lost {
			h.log.Info("engine event stream restored", "replica", u.ID, "boot", c.Boot)
		}
		h.clock.update(c.Clock, boottime.Now())
		whole := since == 0 || c.Lost || c.Boot != boot
		if whole || lost || len(c.Changes) > 0 {
			h.take(heldOf(u.ID, whole, c))
		}
		boot, since, lost = c.Boot, c.Next, false
		sleep(ctx, heldPause)
	}
}

func heldOf(id string, whole bool, c site.CacheChanges) route.EngineCacheUpdate {
	held := route.EngineCacheUpdate{Engine: id, Full: whole, Changes: make([]route.EngineCacheChange, len(c.Changes))}
	for i, v := range c.Changes {
		held.Changes[i] = route.EngineCacheChange{Part: route.HashPart(v.Realm, v.Part), Tokens: v.Tokens}
	}
	return held
}

// take takes in news.
func (h *holdings) take(c route.EngineCacheUpdate) {
	h.kept.ApplyEngineUpdate(c)
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.Full {
		delete(h.fresh, c.Engine)
	}
	e, kept := h.ranked[c.Engine]
	if !kept {
		return
	}
	if boottime.Since(h.told) > tellsTerm {
		h.news.skip() // Packing and keeping them takes most of the time otherwise.
		return
	}
	h.news.add(e, packHeld(c))
}

// request is what to ask a node next.
func (h *holdings) request(a *askedTeller, epoch, from uint64) heldRequest {
	q := heldRequest{Epoch: epoch, From: from, WaitMS: heldWait.Milliseconds()}
	h.mu.Lock()
	defer h.mu.Unlock()
	q.Most = a.most
	for hall := range a.most {
		q.Halls = append(q.Halls, hall)
	}
	for id := range h.fresh {
		if a.most[h.ranked[id].hall] > 0 {
			q.Fresh = append(q.Fresh, id)
		}
	}
	return q
}

// ask takes in another node's news about the engines of some halls until ctx ends.
func (h *holdings) ask(ctx context.Context, addr netip.AddrPort, t *askedTeller) {
	pause := heldPause
	if !slices.Contains(h.inHall(), addr) {
		pause = heldFarPause
	}
	var epoch, from uint64
	lost := false
	for ctx.Err() == nil {
		a, err := h.call(ctx, addr, h.request(t, epoch, from))
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			if !lost {
				h.log.Warn("engine cache updates from peer lost", "peer", addr, "err", err)
				h.silence(t)
			}
			lost, epoch = true, 0
			sleep(ctx, heldRetry)
			continue
		case lost:
			h.log.Info("engine cache updates from peer restored", "peer", addr)
			lost = false
		}
		epoch, from = a.Epoch, a.Next
		h.hear(a.News)
		sleep(ctx, pause)
	}
}

func (h *holdings) call(ctx context.Context, addr netip.AddrPort, q heldRequest) (a heldAnswer, err error) {
	err = h.client.CallWithin(ctx, heldWait+readerSlack, addr, methodHeld, q, &a)
	return a, err
}

// inHall lists the addresses of this hall's nodes.
func (h *holdings) inHall() (list []netip.AddrPort) {
	for _, m := range hallMembers(h.members, h.self.DataHall) {
		list = append(list, m.Peer)
	}
	return list
}

// hear takes in news that another node told.
func (h *holdings) hear(list []heldNews) {
	for _, n := range list {
		c, err := n.unpack()
		if err != nil {
			h.log.Error("engine cache update from peer can't be decoded", "err", err)
			continue
		}
		h.take(c)
	}
}

// silence has what the engines that a node told of hold not be used.
func (h *holdings) silence(t *askedTeller) {
	h.mu.Lock()
	var list []string
	for id, e := range h.ranked {
		if e.rank < t.most[e.hall] {
			list = append(list, id)
		}
	}
	h.mu.Unlock()
	for _, id := range list {
		h.take(route.EngineCacheUpdate{Engine: id, Stale: true})
	}
}
