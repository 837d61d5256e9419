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
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
)

const (
	// eventPollWait is for how long a call for a store's events is held.
	eventPollWait = time.Second
	// eventPollPause is kept between two calls, so that events come in groups.
	eventPollPause = 200 * time.Millisecond
	// relayPollPause is kept between two calls to a node that tells of stores: each of many
	// nodes makes them.
	relayPollPause = 600 * time.Millisecond
	// relayPollRetry is kept before a node that does not yet know a store that it is to tell of
	// is asked again, and doubles up to toldPause: nodes that start together choose one that
	// has only just begun to follow the stores. With toldPause each time, half of 71 nodes
	// knew what stores have 1.7 s after all had lost power.
	relayPollRetry = 40 * time.Millisecond
	// eventPollRetry is kept after a failed call.
	eventPollRetry = 400 * time.Millisecond
	// freeInterval is how often a store is looked at for what can be freed.
	freeInterval = 500 * time.Millisecond
	// maxFreedPerCall is how many parts are freed in one call.
	maxFreedPerCall = 200
)

// kvStoreFollower follows the events of the stores of kept state, and frees what will not
// be used again.
type kvStoreFollower struct {
	engines Engines
	relay   *storeEventRelay
	state   *SiteState
	cache   *route.CacheIndex
	members *control.Members
	self    string
	clock   *replicaClock
	log     *slog.Logger

	mu       sync.Mutex
	inputs   storeFollowInputs
	followed map[string]*followedStore
	relays   map[netip.AddrPort]context.CancelFunc // Nodes that are asked about stores.
	wg       sync.WaitGroup
}

// storeFollowInputs are what it depends on which stores a node follows and whom it asks.
type storeFollowInputs struct {
	view     *control.View
	snapshot *site.Snapshot
}

// followedStore is how far a store's events are known here; stores.mu guards it.
type followedStore struct {
	service *site.Service
	// relay is the node that tells of the store; it is not set where cancel is, which
	// ends this node's own following.
	relay  netip.AddrPort
	cancel context.CancelFunc
	boot   int64
	since  int64
	lost   bool
}

// refresh starts following stores that are new and stops following those that are
// gone; the timer service calls it.
func (s *kvStoreFollower) refresh(context.Context) {
	inputs := storeFollowInputs{view: s.members.View(), snapshot: s.state.Snapshot()}
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
		if f.relay, relayed = s.relay.relayFor(v); relayed {
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

// followDirectly starts following a store itself; the caller holds mu.
func (s *kvStoreFollower) followDirectly(f *followedStore) {
	f.relay = netip.AddrPort{}
	var ctx context.Context
	ctx, f.cancel = context.WithCancel(context.Background())
	s.wg.Go(func() { s.followStore(ctx, f) })
}

// setRelays starts and stops asking nodes about stores; the caller holds mu.
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

// restart forgets that it knows what stores have, and follows them anew, as of where it
// was: what was freed meanwhile is not to be fetched. It says how many there are.
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
		s.cache.MarkStoreStale(name)
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

// followStore takes in one store's events until ctx ends.
func (s *kvStoreFollower) followStore(ctx context.Context, f *followedStore) {
	for ctx.Err() == nil {
		req := s.request(f)
		changes, err := s.relay.changes(ctx, f.service, req.Boot, req.Since, eventPollWait)
		if ctx.Err() != nil {
			return
		}
		pause := eventPollPause
		if !s.applyEvents(f, changes, err) {
			pause = eventPollRetry
		}
		sleep(ctx, pause)
	}
}

// pollRelay takes in what another node tells of stores until ctx ends.
func (s *kvStoreFollower) pollRelay(ctx context.Context, addr netip.AddrPort) {
	retry := relayPollRetry
	for ctx.Err() == nil {
		var stores []*followedStore
		var requests []eventsRequest
		for _, f := range s.relayedBy(addr) {
			stores, requests = append(stores, f), append(requests, s.request(f))
		}
		results, err := s.relay.results(ctx, addr, requests)
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
			sleep(ctx, relayPollPause)
			continue
		}
		sleep(ctx, retry)
		retry = min(relayPollPause, 2*retry)
	}
}

// relayedBy lists the stores that a node tells of.
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

// request asks for what is not yet known of a store.
func (s *kvStoreFollower) request(f *followedStore) eventsRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return eventsRequest{Store: f.service.Name, Boot: f.boot, Since: f.since, WaitMS: eventPollWait.Milliseconds()}
}

// applyEvents takes in a store's events, or that they were not to be had, and says whether they
// were.
func (s *kvStoreFollower) applyEvents(f *followedStore, c site.CacheChanges, err error) bool {
	now, name := boottime.Now(), f.service.Name
	s.mu.Lock()
	lost := f.lost
	f.lost = err != nil
	if err == nil {
		f.boot, f.since = c.Boot, c.Next
	}
	s.mu.Unlock()
	if err != nil {
		s.cache.MarkStoreStale(name)
		if !lost {
			s.log.Warn("store of kept state lost", "store", name, "err", err)
		}
		return false
	}
	if lost {
		s.log.Info("store of kept state back", "store", name, "boot", c.Boot)
	}
	s.clock.hear(c.Clock, now)
	s.cache.ApplyStoreChanges(name, c, now)
	return true
}

// freeUnused drops what was made under replaced weights from the stores that fall to
// this node; the timer service calls it.
func (s *kvStoreFollower) freeUnused(ctx context.Context) {
	snapshot := s.state.Snapshot()
	if snapshot == nil {
		return
	}
	now := boottime.Now()
	for _, v := range snapshot.Stores() {
		owner, ok := control.Owner(s.members.Working(), "store/"+v.Name)
		if !ok || owner.Name != s.self || !v.Store.Managed {
			continue
		}
		list, boot := s.cache.UnusedParts(v.Name, maxFreedPerCall, func(realm string) bool { return s.replaced(realm, now) })
		if len(list) == 0 {
			continue
		}
		if err := s.engines.Free(ctx, v.Store.Addr, list, boot); err != nil {
			s.log.Warn("parts not freed", "store", v.Name, "parts", len(list), "err", err)
			continue
		}
		s.cache.RemoveFreed(v.Name, boot, list)
		s.log.Info("parts freed", "store", v.Name, "parts", len(list), "boot", boot)
	}
}

// replaced says whether state of a realm will not be used again: newer weights
// were named long enough ago that no replica has the old ones and no fetch of
// it is under way.
func (s *kvStoreFollower) replaced(realm string, now time.Time) bool {
	model, version, ok := weightsOf(realm)
	if !ok {
		return false
	}
	newest, since := s.state.Weights(model)
	if version >= newest || now.Sub(since) < replacedTerm {
		return false
	}
	for _, p := range s.state.Pools() {
		for _, u := range p.Upstreams() {
			if u.Weights[model] == version {
				return false
			}
		}
	}
	return true
}

// replacedTerm is twice the longest fetch, and more for nodes that hear late.
const replacedTerm = 2*fetchTerm + time.Second
