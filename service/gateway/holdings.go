package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

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
	// heldMost is how many engines a service may have for their events to be
	// followed: beyond that they would take more of a node's link than control
	// may. An engine at work tells some 40 changes a second, 600 bytes.
	heldMost = 256
)

// heldRequest are methodHeld's parameters: news from a point on, about the engines of
// some halls.
type heldRequest struct {
	Epoch  uint64   `json:"epoch"`
	From   uint64   `json:"from"`
	Halls  []string `json:"halls"`
	WaitMS int64    `json:"wait_ms"`
}

type heldAnswer struct {
	Epoch uint64     `json:"epoch"`
	Next  uint64     `json:"next"`
	News  []heldNews `json:"news"`
}

// holdings keeps this node's knowledge of what engines hold.
type holdings struct {
	engines Engines
	beliefs *Beliefs
	kept    *route.Kept
	members *control.Members
	client  *peer.Client
	self    control.Member
	clock   *replicaClock
	news    *heldLog
	log     *slog.Logger

	mu       sync.Mutex
	followed map[string]context.CancelFunc // Engines, by ID.
	asked    map[netip.AddrPort]*askedTeller
	wg       sync.WaitGroup
}

// askedTeller is a node that this one asks for news.
type askedTeller struct {
	halls  []string
	cancel context.CancelFunc
}

func newHoldings(e Engines, b *Beliefs, k *route.Kept, m *control.Members, c *peer.Client, self control.Member, r *replicaClock, log *slog.Logger) *holdings {
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
	}
}

// close stops following and waits.
func (h *holdings) close() {
	h.mu.Lock()
	for _, cancel := range h.followed {
		cancel()
	}
	for _, a := range h.asked {
		a.cancel()
	}
	h.mu.Unlock()
	h.wg.Wait()
}

// refresh finds out which engines this node follows and which nodes it asks; the
// timer service calls it.
func (h *holdings) refresh(context.Context) {
	follow := map[string]site.Upstream{}
	ask := map[netip.AddrPort][]string{}
	for hall, engines := range h.enginesByHall() {
		if addr, ok := h.source(hall); ok {
			ask[addr] = append(ask[addr], hall)
			continue
		}
		for _, u := range engines {
			follow[u.ID] = u
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refollow(follow)
	h.reask(ask)
}

// enginesByHall lists the engines that tell what they hold.
func (h *holdings) enginesByHall() map[string][]site.Upstream {
	list := map[string][]site.Upstream{}
	s := h.beliefs.Snapshot()
	if s == nil || h.beliefs.without.Held {
		return list
	}
	for name, p := range h.beliefs.Pools() {
		v := s.Services[name]
		if v == nil || v.Engine == nil || !v.Engine.PlannedFetch || v.Engine.MaxWatches <= 0 || p.Size() > heldMost {
			continue
		}
		upstreams := p.Upstreams()
		h.kept.SetEngines(name, upstreams, v.Engine)
		for _, u := range upstreams {
			list[u.DataHall] = append(list[u.DataHall], u)
		}
	}
	return list
}

// source is the node that this one asks about the engines of a hall; ok is false if
// it follows them itself.
func (h *holdings) source(hall string) (addr netip.AddrPort, ok bool) {
	near, found := h.teller(h.self.DataHall, hall)
	if found && near.Name != h.self.Name {
		return near.Peer, true
	}
	if hall == h.self.DataHall {
		return addr, false
	}
	far, found := h.teller(hall, hall)
	return far.Peer, found
}

// teller is the node of a hall that tells its other nodes of the engines of a hall.
func (h *holdings) teller(hall, engines string) (control.Member, bool) {
	return control.Owner(control.Widest(hallMembers(h.members, hall)), tellDuty+engines)
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
func (h *holdings) reask(wanted map[netip.AddrPort][]string) {
	for addr, a := range h.asked {
		if !slices.Equal(a.halls, wanted[addr]) {
			a.cancel()
			delete(h.asked, addr)
		}
	}
	for addr, halls := range wanted {
		slices.Sort(halls)
		if h.asked[addr] == nil {
			ctx, cancel := context.WithCancel(context.Background())
			h.asked[addr] = &askedTeller{halls: halls, cancel: cancel}
			h.wg.Go(func() { h.ask(ctx, addr, halls) })
		}
	}
}

// follow takes in one engine's events until ctx ends.
func (h *holdings) follow(ctx context.Context, u site.Upstream) {
	boot, since, lost := int64(0), int64(0), false
	for ctx.Err() == nil {
		c, err := h.engines.Changes(ctx, u.Addr, since, heldWait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !lost {
				h.log.Warn("engine's events lost", "replica", u.ID, "err", err)
				h.take(u.DataHall, route.HeldChanges{Engine: u.ID, Silent: true})
			}
			lost = true
			sleep(ctx, heldRetry)
			continue
		}
		if lost {
			h.log.Info("engine's events back", "replica", u.ID, "boot", c.Boot)
		}
		h.clock.hear(c.Clock, time.Now())
		whole := since == 0 || c.Lost || c.Boot != boot
		if whole || lost || len(c.Changes) > 0 {
			h.take(u.DataHall, heldOf(u.ID, whole, c))
		}
		boot, since, lost = c.Boot, c.Next, false
		sleep(ctx, heldPause)
	}
}

func heldOf(id string, whole bool, c site.CacheChanges) route.HeldChanges {
	held := route.HeldChanges{Engine: id, Whole: whole, Changes: make([]route.HeldChange, len(c.Changes))}
	for i, v := range c.Changes {
		held.Changes[i] = route.HeldChange{Part: route.HashPart(v.Realm, v.Part), Tokens: v.Tokens}
	}
	return held
}

// take takes in news, and keeps them for nodes that ask.
func (h *holdings) take(hall string, c route.HeldChanges) {
	h.kept.ApplyHeld(c)
	h.news.add(hall, packHeld(c))
}

// ask takes in another node's news about the engines of some halls until ctx ends.
func (h *holdings) ask(ctx context.Context, addr netip.AddrPort, halls []string) {
	pause := heldPause
	if !slices.Contains(h.inHall(), addr) {
		pause = heldFarPause
	}
	q := heldRequest{Halls: halls, WaitMS: heldWait.Milliseconds()}
	lost := false
	for ctx.Err() == nil {
		a, err := h.call(ctx, addr, q)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			if !lost {
				h.log.Warn("teller of held state lost", "peer", addr, "err", err)
				h.silence(halls)
			}
			lost, q.Epoch = true, 0
			sleep(ctx, heldRetry)
			continue
		case lost:
			h.log.Info("teller of held state back", "peer", addr)
			lost = false
		}
		q.Epoch, q.From = a.Epoch, a.Next
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
	halls := h.kept.EngineHalls()
	for _, n := range list {
		c, err := n.unpack()
		if err != nil {
			h.log.Error("news of held state not understood", "err", err)
			continue
		}
		h.take(halls[n.Engine], c)
	}
}

// silence has what the engines of some halls hold not be used.
func (h *holdings) silence(halls []string) {
	for id, hall := range h.kept.EngineHalls() {
		if slices.Contains(halls, hall) {
			h.take(hall, route.HeldChanges{Engine: id, Silent: true})
		}
	}
}

// serve answers a node that asks for news.
func (h *holdings) serve(ctx context.Context, params json.RawMessage) (any, error) {
	var q heldRequest
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, eris.Wrap(err, "bad parameters")
	}
	end := time.After(min(heldWait, time.Duration(q.WaitMS)*time.Millisecond))
	for {
		list, next, changed, ok := h.news.since(q.Epoch, q.From, q.Halls)
		if !ok {
			list = h.all(q.Halls)
		}
		a := heldAnswer{Epoch: h.news.epoch, Next: next, News: list}
		if len(list) > 0 {
			return a, nil
		}
		q.Epoch, q.From = a.Epoch, a.Next
		select {
		case <-changed:
		case <-end:
			return a, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// all is everything known about the engines of some halls.
func (h *holdings) all(halls []string) (list []heldNews) {
	for id, hall := range h.kept.EngineHalls() {
		if slices.Contains(halls, hall) {
			list = append(list, packHeld(h.kept.Held(id)))
		}
	}
	return list
}
