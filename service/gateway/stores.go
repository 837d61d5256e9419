package gateway

import (
	"context"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/pkg/timer"
)

const (
	// eventPollWait is how long a long poll for a KV cache store's events is held.
	eventPollWait = time.Second
	// eventPollPause is the pause between two polls, so that events arrive in batches.
	eventPollPause = 200 * time.Millisecond
	// relayPollPause is the pause between two polls of a relay: many nodes poll each relay.
	relayPollPause = 600 * time.Millisecond
	// relayPollRetry is the first pause before a relay that doesn't know a store's contents
	// yet is polled again; it doubles up to relayPollPause. Nodes that start together choose a
	// relay that has only just begun to follow the stores: with relayPollPause each time, half
	// of 71 nodes knew the stores' contents only 1.7 s after all had lost power.
	relayPollRetry = 40 * time.Millisecond
	// eventPollRetry is the pause after a failed poll.
	eventPollRetry = 400 * time.Millisecond
	// freeInterval is how often stores are checked for parts that can be freed.
	freeInterval = 500 * time.Millisecond
	// storeDuty is the prefix of the duty of freeing a store's parts.
	storeDuty = "store/"
	// maxFreedPerCall limits the parts that are freed in one call.
	maxFreedPerCall = 200
)

// kvStoreFollower follows the events of the KV cache stores, and frees parts that will not be
// used again.
type kvStoreFollower struct {
	engines     Engines
	storeEvents *storeEventRelay
	siteState   *SiteState
	cacheIndex  *route.CacheIndex
	members     *control.Members
	self        string
	clock       *replicaClock
	log         *slog.Logger

	mu       locks.Mutex
	inputs   storeFollowInputs
	followed map[string]*followedStore
	relays   map[netip.AddrPort]context.CancelFunc // Relays that this node polls.
	// owners has the names of the nodes that free the parts of stores, for ownersView.
	owners     map[string]string
	ownersView *control.View
	wg         sync.WaitGroup
}

// storeFollowInputs determine which KV cache stores a node follows itself and which relays
// it polls.
type storeFollowInputs struct {
	view     *control.View
	snapshot *site.Snapshot
}

// followedStore is how far this node has read a store's events; kvStoreFollower.mu guards it.
type followedStore struct {
	service *site.Service
	// relay is the node that passes on the store's events. It is zero while this node follows
	// the store itself; cancel ends that.
	relay  netip.AddrPort
	cancel context.CancelFunc
	boot   int64
	since  int64
	lost   bool
}

// refresh starts following new stores and stops following removed ones; the timer service
// calls it.
func (s *kvStoreFollower) refresh(context.Context) {
	inputs := storeFollowInputs{view: s.members.View(), snapshot: s.siteState.Snapshot()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if inputs.snapshot == nil || inputs == s.inputs {
		return
	}
	s.inputs = inputs
	wanted, relays := map[string]bool{}, map[netip.AddrPort]bool{}
	for _, v := range inputs.snapshot.Stores() {
		wanted[v.Name] = true
		f := s.followed[v.Name]
		if f == nil {
			f = &followedStore{service: v}
			s.followed[v.Name] = f
		}
		var relayed bool
		if f.relay, relayed = s.storeEvents.relayFor(v); relayed {
			relays[f.relay] = true
			f.stop()
		} else if f.cancel == nil {
			s.followDirectly(f)
		}
	}
	for name, f := range s.followed {
		if !wanted[name] {
			f.stop()
			delete(s.followed, name)
		}
	}
	s.setRelays(relays)
}

// stop ends this node's own following of a store.
func (f *followedStore) stop() {
	if f.cancel != nil {
		f.cancel()
		f.cancel = nil
	}
}

// followDirectly starts following a store without a relay; the caller holds mu.
func (s *kvStoreFollower) followDirectly(f *followedStore) {
	f.relay = netip.AddrPort{}
	var ctx context.Context
	ctx, f.cancel = context.WithCancel(context.Background())
	s.wg.Go(func() { s.followStore(ctx, f) })
}

// setRelays starts polling new relays and stops polling those not listed; the caller holds mu.
func (s *kvStoreFollower) setRelays(relays map[netip.AddrPort]bool) {
	for addr, cancel := range s.relays {
		if !relays[addr] {
			cancel()
			delete(s.relays, addr)
		}
	}
	for addr := range relays {
		if s.relays[addr] == nil {
			ctx, cancel := context.WithCancel(context.Background())
			s.relays[addr] = cancel
			s.wg.Go(func() { s.pollRelay(ctx, addr) })
		}
	}
}

// restart marks the contents of all stores as stale and follows them again from the last known
// position: parts freed in the meantime must not be fetched. It returns the number of stores.
func (s *kvStoreFollower) restart() int {
	s.mu.Lock()
	names := slices.Collect(maps.Keys(s.followed))
	for _, f := range s.followed {
		f.stop()
	}
	s.setRelays(nil)
	s.inputs = storeFollowInputs{}
	s.mu.Unlock()
	for _, name := range names {
		s.cacheIndex.MarkStoreStale(name)
	}
	s.refresh(context.Background())
	return len(names)
}

func (s *kvStoreFollower) close() {
	s.mu.Lock()
	for _, f := range s.followed {
		f.stop()
	}
	s.setRelays(nil)
	s.mu.Unlock()
	s.wg.Wait()
}

// followStore applies one store's events until ctx ends.
func (s *kvStoreFollower) followStore(ctx context.Context, f *followedStore) {
	for ctx.Err() == nil {
		req := s.request(f)
		changes, err := s.storeEvents.changes(ctx, f.service, req.Boot, req.Since, eventPollWait)
		if ctx.Err() != nil {
			return
		}
		pause := eventPollPause
		if !s.applyEvents(f, changes, err) {
			pause = eventPollRetry
		}
		timer.Sleep(ctx, pause)
	}
}

// pollRelay applies the events that a relay passes on until ctx ends.
func (s *kvStoreFollower) pollRelay(ctx context.Context, addr netip.AddrPort) {
	retry := relayPollRetry
	for ctx.Err() == nil {
		var stores []*followedStore
		var requests []eventsRequest
		for _, f := range s.relayedBy(addr) {
			stores, requests = append(stores, f), append(requests, s.request(f))
		}
		results, err := s.storeEvents.pollSeveral(ctx, addr, requests)
		if ctx.Err() != nil {
			return
		}
		complete := true
		for i, f := range stores {
			switch {
			case err != nil:
				s.applyEvents(f, site.CacheChanges{}, err)
			case results[i].Err != "":
				complete = false
				s.applyEvents(f, site.CacheChanges{}, eris.New(results[i].Err))
			default:
				s.applyEvents(f, results[i].Changes, nil)
			}
		}
		if complete {
			retry = relayPollRetry
			timer.Sleep(ctx, relayPollPause)
			continue
		}
		timer.Sleep(ctx, retry)
		retry = min(relayPollPause, 2*retry)
	}
}

// relayedBy lists the stores whose events come from a relay.
func (s *kvStoreFollower) relayedBy(addr netip.AddrPort) (list []*followedStore) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.followed {
		if f.relay == addr {
			list = append(list, f)
		}
	}
	return list
}

// request asks for the events after the last known position of a store.
func (s *kvStoreFollower) request(f *followedStore) eventsRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return eventsRequest{Store: f.service.Name, Boot: f.boot, Since: f.since, WaitMS: eventPollWait.Milliseconds()}
}

// applyEvents applies a store's events, or marks its contents as stale if err is set; it
// reports whether there was no error.
func (s *kvStoreFollower) applyEvents(f *followedStore, c site.CacheChanges, err error) bool {
	now, name := boottime.Now(), f.service.Name
	s.mu.Lock()
	lost, first := f.lost, f.boot == 0
	f.lost = err != nil
	if err == nil {
		f.boot, f.since = c.Boot, c.Next
	}
	s.mu.Unlock()
	if err != nil {
		s.cacheIndex.MarkStoreStale(name)
		if !lost {
			s.log.Warn("store of kept state lost", "store", name, "err", err)
		}
		return false
	}
	if lost {
		s.log.Info("store of kept state back", "store", name, "boot", c.Boot)
	}
	s.clock.update(c.Clock, now)
	if first && len(c.Changes) == 0 {
		// It may have just restarted, which other nodes have not noticed yet.
		s.cacheIndex.PauseSaves(name, now.Add(route.RestartSavePause))
	}
	s.cacheIndex.ApplyStoreChanges(name, c, now)
	return true
}

// freeUnused frees parts that are ruled out in the stores that this node is responsible for; the timer service calls
// it.
func (s *kvStoreFollower) freeUnused(ctx context.Context) { s.freeUnusedAt(ctx, boottime.Now()) }

func (s *kvStoreFollower) freeUnusedAt(ctx context.Context, now time.Time) {
	snapshot := s.siteState.Snapshot()
	clock, clockKnown := s.clock.read(now)
	if snapshot == nil || !clockKnown || !s.siteState.operatorKnown(freeKnownTerm, now) {
		return
	}
	for _, v := range snapshot.Stores() {
		if !v.Store.Managed || !s.owns(v.Name) {
			continue
		}
		unused := s.cacheIndex.StoreRealms(v.Name)
		maps.DeleteFunc(unused, func(name string, _ bool) bool {
			r, ok := parseRealm(name)
			if !ok {
				return true
			}
			since, ruledOut := s.siteState.ruledOutSince(r)
			return !ruledOut || now.Sub(since) < freeDelay
		})
		list, boot := s.cacheIndex.PartsOf(v.Name, unused, maxFreedPerCall)
		if len(list) == 0 {
			continue
		}
		if err := s.engines.Free(ctx, v.Store.Addr, list, boot, clock+freeCallTime); err != nil {
			s.log.Warn("parts not freed", "store", v.Name, "parts", len(list), "err", err)
			continue
		}
		s.cacheIndex.RemoveFreed(v.Name, boot, list)
		s.log.Info("parts freed", "store", v.Name, "parts", len(list), "boot", boot)
	}
}

// owns reports whether this node frees the parts of a store.
func (s *kvStoreFollower) owns(store string) bool {
	view := s.members.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ownersView != view {
		s.ownersView, s.owners = view, map[string]string{}
	}
	owner, known := s.owners[store]
	if !known {
		if m, ok := control.Owner(view.Working(), storeDuty+store); ok {
			owner = m.Name
		}
		s.owners[store] = owner
	}
	return owner == s.self
}
