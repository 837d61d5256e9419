package gateway

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
)

const (
	// eventWait is for how long a call for a store's events is held.
	eventWait = time.Second
	// eventPause is kept between two calls, so that events come in groups.
	eventPause = 200 * time.Millisecond
	// toldPause is kept instead where another node is asked: each of many does.
	toldPause = 600 * time.Millisecond
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
	beliefs *Beliefs
	kept    *route.Kept
	members *control.Members
	self    string
	clock   *replicaClock
	log     *slog.Logger

	mu      sync.Mutex
	watched map[string]context.CancelFunc
	wg      sync.WaitGroup
}

// refresh starts following stores that are new and stops following those that are
// gone; the timer service calls it.
func (s *stores) refresh(context.Context) {
	snapshot := s.beliefs.Snapshot()
	if snapshot == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := map[string]bool{}
	for _, v := range snapshot.Stores() {
		wanted[v.Name] = true
		if s.watched[v.Name] == nil {
			ctx, cancel := context.WithCancel(context.Background())
			s.watched[v.Name] = cancel
			s.wg.Go(func() { s.follow(ctx, v) })
		}
	}
	for name, cancel := range s.watched {
		if !wanted[name] {
			cancel()
			delete(s.watched, name)
		}
	}
}

func (s *stores) close() {
	s.mu.Lock()
	for _, cancel := range s.watched {
		cancel()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// follow takes in one store's events until ctx ends.
func (s *stores) follow(ctx context.Context, v *site.Service) {
	boot, since := int64(0), int64(0)
	lost := false
	for ctx.Err() == nil {
		c, err := s.watch.changes(ctx, v, boot, since, eventWait)
		now := time.Now()
		pause := eventPause
		if _, told := s.watch.watcher(v); told {
			pause = toldPause
		}
		switch {
		case err != nil && ctx.Err() != nil:
			return
		case err != nil:
			s.kept.Silent(v.Name)
			if !lost {
				s.log.Warn("store of kept state lost", "store", v.Name, "err", err)
			}
			lost = true
			pause = eventRetry
		default:
			if lost {
				s.log.Info("store of kept state back", "store", v.Name, "boot", c.Boot)
			}
			lost = false
			boot, since = c.Boot, c.Next
			s.clock.hear(c.Clock, now)
			s.kept.Apply(v.Name, c, now)
		}
		sleep(ctx, pause)
	}
}

// free drops what was made under replaced weights from the stores that fall to
// this node; the timer service calls it.
func (s *stores) free(ctx context.Context) {
	snapshot := s.beliefs.Snapshot()
	if snapshot == nil {
		return
	}
	now := time.Now()
	for _, v := range snapshot.Stores() {
		owner, ok := control.Owner(s.members.Working(), "store/"+v.Name)
		if !ok || owner.Name != s.self || !v.Store.Managed {
			continue
		}
		list, boot := s.kept.Surplus(v.Name, freeMost, func(realm string) bool { return s.replaced(realm, now) })
		if len(list) == 0 {
			continue
		}
		if err := s.engines.Free(ctx, v.Store.Addr, list, boot); err != nil {
			s.log.Warn("parts not freed", "store", v.Name, "parts", len(list), "err", err)
			continue
		}
		s.kept.Freed(v.Name, boot, list)
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
