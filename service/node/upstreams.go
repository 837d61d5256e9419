package node

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/upstream"
)

// Upstreams holds a client for each configured upstream.
type Upstreams struct {
	links *route.Links

	mu       locks.RWMutex
	version  uint64 // UpstreamsVersion of the configuration in use.
	engines  map[string]engineClient
	stores   map[string]storeClient
	services map[string]serviceClient
}

type engineClient struct {
	config.Upstream
	*upstream.Engine
}

type storeClient struct {
	config.Upstream
	*upstream.Store
}

type serviceClient struct {
	config.Upstream
	*upstream.Service
}

// NewUpstreams returns an Upstreams without clients.
func NewUpstreams(l *route.Links) *Upstreams {
	return &Upstreams{
		links:    l,
		engines:  map[string]engineClient{},
		stores:   map[string]storeClient{},
		services: map[string]serviceClient{},
	}
}

// Configure creates clients for new or changed upstreams. Clients of removed ones
// stay usable for requests that already hold them.
func (u *Upstreams) Configure(s *config.State) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.version = s.UpstreamsVersion
	engines, stores, services := u.engines, u.stores, u.services
	u.engines = map[string]engineClient{}
	u.stores = map[string]storeClient{}
	u.services = map[string]serviceClient{}
	for name, c := range s.Upstreams {
		switch c.Kind {
		case config.UpstreamEngine:
			old := engines[name]
			u.engines[name] = engineClient{c, reuseClient(old.Engine, old.Upstream, c, upstream.NewEngine)}
		case config.UpstreamStore:
			old := stores[name]
			u.stores[name] = storeClient{c, reuseClient(old.Store, old.Upstream, c, upstream.NewStore)}
		case config.UpstreamService:
			old := services[name]
			u.services[name] = serviceClient{c, reuseClient(old.Service, old.Upstream, c, upstream.NewService)}
		}
	}
}

// reuseClient returns the existing client, or a new one if there is none or the
// address has changed.
func reuseClient[C any](
	client *C,
	old, now config.Upstream,
	newClient func(name string, addr netip.AddrPort) *C,
) *C {
	if client != nil && old.Address == now.Address {
		return client
	}
	return newClient(now.Name, now.Address)
}

// Version returns the UpstreamsVersion of the configuration in use.
func (u *Upstreams) Version() uint64 {
	u.mu.RLock()
	defer u.mu.RUnlock()
	return u.version
}

// Engine returns the client of an engine.
func (u *Upstreams) Engine(name string) (*upstream.Engine, bool) {
	u.mu.RLock()
	defer u.mu.RUnlock()
	e, ok := u.engines[name]
	return e.Engine, ok
}

// Store returns the configuration of a store.
func (u *Upstreams) Store(name string) (config.Upstream, bool) {
	u.mu.RLock()
	defer u.mu.RUnlock()
	s, ok := u.stores[name]
	return s.Upstream, ok
}

// ServiceAt returns the client of a plain service with the given path that is not
// drained. pick chooses one of n such services by its index.
func (u *Upstreams) ServiceAt(path string, pick func(n int) int) (*upstream.Service, bool) {
	u.mu.RLock()
	defer u.mu.RUnlock()
	var list []serviceClient
	for _, s := range u.services {
		if s.Path == path && !s.Drained {
			list = append(list, s)
		}
	}
	if len(list) == 0 {
		return nil, false
	}
	return list[pick(len(list))].Service, true
}

// Engines lists the engines, drained ones included.
func (u *Upstreams) Engines() []engineClient {
	u.mu.RLock()
	defer u.mu.RUnlock()
	list := make([]engineClient, 0, len(u.engines))
	for _, e := range u.engines {
		list = append(list, e)
	}
	return list
}

// Stores lists the stores, drained ones included.
func (u *Upstreams) Stores() []storeClient {
	u.mu.RLock()
	defer u.mu.RUnlock()
	list := make([]storeClient, 0, len(u.stores))
	for _, s := range u.stores {
		list = append(list, s)
	}
	return list
}

// Close closes the clients' idle connections.
func (u *Upstreams) Close() {
	for _, e := range u.Engines() {
		e.Close()
	}
	for _, s := range u.Stores() {
		s.Close()
	}
	u.mu.RLock()
	defer u.mu.RUnlock()
	for _, s := range u.services {
		s.Close()
	}
}

// ExportTarget picks the store for an export: of two chosen at random, the one
// whose link is free sooner. It returns false if every store is drained.
func (u *Upstreams) ExportTarget() (config.Upstream, bool) {
	u.mu.RLock()
	defer u.mu.RUnlock()
	var list []config.Upstream
	for _, s := range u.stores {
		if !s.Drained {
			list = append(list, s.Upstream)
		}
	}
	if len(list) == 0 {
		return config.Upstream{}, false
	}
	a, b := list[rand.IntN(len(list))], list[rand.IntN(len(list))]
	if now := time.Now(); u.links.Booked(b.Name, now) < u.links.Booked(a.Name, now) {
		return b, true
	}
	return a, true
}
