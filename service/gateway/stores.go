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
	// eventWait is for how long a call for a store's events is held.
	eventWait = time.Second
	// eventPause is kept between two calls, so that events come in groups.
	eventPause = 200 * time.Millisecond
	// toldPause is kept between two calls to a node that tells of stores: each of many
	// nodes makes them.
	toldPause = 600 * time.Millisecond
	// toldRetry is kept before a node that does not yet know a store that it is to tell of
	// is asked again, and doubles up to toldPause: nodes that start together choose one that
	// has only just begun to follow the stores. With toldPause each time, half of 71 nodes
	// knew what stores have 1.7 s after all had lost power.
	toldRetry = 40 * time.Millisecond
	// eventRetry is kept after a failed call.
	eventRetry = 400 * time.Millisecond
	// freeEvery is how often a store is looked at for what can be freed.
	freeEvery = 500 * time.Millisecond
	// freeMost is how many parts are freed in one call.
	freeMost = 200
)

// stores follows the events of the stores of kept state, and frees what will not
// be used again.
type stores struct {
	engines Engines
	watch   *watchers
	beliefs *SiteState
	kept    *route.CacheIndex
	members *control.Members
	self    string
	clock   *replicaClock
	log     *slog.Logger

	mu      sync.Mutex
	at      storeInputs
	watched map[string]*followedStore
	tellers map[netip.AddrPort]context.CancelFunc // Nodes that are asked about stores.
	wg      sync.WaitGroup
}

// storeInputs are what it depends on which stores a node follows and whom it asks.
type storeInputs struct {
	view     *control.View
	snapshot *site.Snapshot
}

// followedStore is how far a store's events are known here; stores.mu guards it.
type followedStore struct {
	service *site.Service
	// teller is the node that tells of the store; it is not set where cancel is, which
	// ends this node's own following.
	teller netip.AddrPort
	cancel context.CancelFunc
	boot   int64
	since  int64
	lost   bool
}

// refresh starts following stores that are new and stops following those that are
// gone; the timer service calls it.
func (s *stores) refresh(context.Context) {
	at := storeInputs{view: s.members.View(), snapshot: s.beliefs.Snapshot()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.snapshot == nil || at == s.at {
		return
	}
	s.at = at
	wanted, tellers := map[string]bool{}, map[netip.AddrPort]bool{}
	for _, v := range at.snapshot.Stores() {
		wanted[v.Name] = true
		f := s.watched[v.Name]
		if f == nil {
			f = &followedStore{service: v}
			s.watched[v.Name] = f
		}
		var told bool
		if f.teller, told = s.watch.watcher(v); told {
			tellers[f.teller] = true
			f.stop()
		} else if f.cancel == nil {
			s.followOwn(f)
		}
	}
	for name, f := range s.watched {
		if !wanted[name] {
			f.stop()
			delete(s.watched, name)
		}
	}
	s.ask(tellers)
}

// stop ends this node's own following of a store.
func (f *followedStore) stop() {
	if f.cancel != nil {
		f.cancel()
		f.cancel = nil
	}
}

// followOwn starts following a store itself; the caller holds mu.
func (s *stores) followOwn(f *followedStore) {
	f.teller = netip.AddrPort{}
	var ctx context.Context
	ctx, f.cancel = context.WithCancel(context.Background())
	s.wg.Go(func() { s.follow(ctx, f) })
}

// ask starts and stops asking nodes about stores; the caller holds mu.
func (s *stores) ask(tellers map[netip.AddrPort]bool) {
	for addr, cancel := range s.tellers {
		if !tellers[addr] {
			cancel()
			delete(s.tellers, addr)
		}
	}
	for addr := range tellers {
		if s.tellers[addr] == nil {
			ctx, cancel := context.WithCancel(context.Background())
			s.tellers[addr] = cancel
			s.wg.Go(func() { s.followTeller(ctx, addr) })
		}
	}
}

// restart forgets that it knows what stores have, and follows them anew, as of where it
// was: what was freed meanwhile is not to be fetched. It says how many there are.
func (s *stores) restart() int {
	s.mu.Lock()
	names := slices.Collect(maps.Keys(s.watched))
	for _, f := range s.watched {
		f.stop()
	}
	s.ask(nil)
	s.at = storeInputs{}
	s.mu.Unlock()
	for _, name := range names {
		s.kept.MarkStoreStale(name)
	}
	s.refresh(context.Background())
	return len(names)
}

func (s *stores) close() {
	s.mu.Lock()
	for _, f := range s.watched {
		f.stop()
	}
	s.ask(nil)
	s.mu.Unlock()
	s.wg.Wait()
}

// follow takes in one store's events until ctx ends.
func (s *stores) follow(ctx context.Context, f *followedStore) {
	for ctx.Err() == nil {
		q := s.request(f)
		c, err := s.watch.changes(ctx, f.service, q.Boot, q.Since, eventWait)
		if ctx.Err() != nil {
			return
		}
		pause := eventPause
		if !s.heard(f, c, err) {
			pause = eventRetry
		}
		sleep(ctx, pause)
	}
}

// followTeller takes in what another node tells of stores until ctx ends.
func (s *stores) followTeller(ctx context.Context, addr netip.AddrPort) {
	retry := toldRetry
	for ctx.Err() == nil {
		var list []*followedStore
		var ask []eventsRequest
		for _, f := range s.toldBy(addr) {
			list, ask = append(list, f), append(ask, s.request(f))
		}
		told, err := s.watch.told(ctx, addr, ask)
		if ctx.Err() != nil {
			return
		}
		all := true
		for i, f := range list {
			switch {
			case err != nil:
				s.heard(f, site.CacheChanges{}, err)
			case told[i].Err != "":
				all = false
				s.heard(f, site.CacheChanges{}, eris.New(told[i].Err))
			default:
				s.heard(f, told[i].Changes, nil)
			}
		}
		if all {
			retry = toldRetry
			sleep(ctx, toldPause)
			continue
		}
		sleep(ctx, retry)
		retry = min(toldPause, 2*retry)
	}
}

// toldBy lists the stores that a node tells of.
func (s *stores) toldBy(addr netip.AddrPort) (list []*followedStore) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.watched {
		if f.teller == addr {
			list = append(list, f)
		}
	}
	return list
}

// request asks for what is not yet known of a store.
func (s *stores) request(f *followedStore) eventsRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return eventsRequest{Store: f.service.Name, Boot: f.boot, Since: f.since, WaitMS: eventWait.Milliseconds()}
}

// heard takes in a store's events, or that they were not to be had, and says whether they
// were.
func (s *stores) heard(f *followedStore, c site.CacheChanges, err error) bool {
	now, name := boottime.Now(), f.service.Name
	s.mu.Lock()
	lost := f.lost
	f.lost = err != nil
	if err == nil {
		f.boot, f.since = c.Boot, c.Next
	}
	s.mu.Unlock()
	if err != nil {
		s.kept.MarkStoreStale(name)
		if !lost {
			s.log.Warn("store of kept state lost", "store", name, "err", err)
		}
		return false
	}
	if lost {
		s.log.Info("store of kept state back", "store", name, "boot", c.Boot)
	}
	s.clock.update(c.Clock, now)
	s.kept.ApplyStoreChanges(name, c, now)
	return true
}

// free drops what was made under replaced weights from the stores that fall to
// this node; the timer service calls it.
func (s *stores) free(ctx context.Context) {
	snapshot := s.beliefs.Snapshot()
	if snapshot == nil {
		return
	}
	now := boottime.Now()
	for _, v := range snapshot.Stores() {
		owner, ok := control.Owner(s.members.Working(), "store/"+v.Name)
		if !ok || owner.Name != s.self || !v.Store.Managed {
			continue
		}
		list, boot := s.kept.UnusedParts(v.Name, freeMost, func(realm string) bool { return s.replaced(realm, now) })
		if len(list) == 0 {
			continue
		}
		if err := s.engines.Free(ctx, v.Store.Addr, list, boot); err != nil {
			s.log.Warn("parts not freed", "store", v.Name, "parts", len(list), "err", err)
			continue
		}
		s.kept.RemoveFreed(v.Name, boot, list)
		s.log.Info("parts freed", "store", v.Name, "parts", len(list), "boot", boot)
	}
}

// replaced says whether state of a realm will not be used again: newer weights
// were named long enough ago that no replica has the old ones and no fetch of
// it is under way.
func (s *stores) replaced(realm string, now time.Time) bool {
	model, version, ok := weightsOf(realm)
	if !ok {
		return false
	}
	newest, since := s.beliefs.Weights(model)
	if version >= newest || now.Sub(since) < replacedTerm {
		return false
	}
	for _, p := range s.beliefs.Pools() {
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
