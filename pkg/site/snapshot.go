package site

import (
	"cmp"
	"slices"
	"strings"
)

// Snapshot is one version of a site's configuration.
type Snapshot struct {
	Version  int64
	Services map[string]*Service
	Limits   Limits
	// Keyed says that requests need a key, except on anonymous routes.
	Keyed bool

	byHost map[string][]*Route // Longest prefix first.
	byKey  map[string]*Organisation
	routes []*Route
}

// NewSnapshot indexes a configuration.
func NewSnapshot(version int64, routes []*Route, services map[string]*Service, l Limits) *Snapshot {
	s := &Snapshot{
		Version:  version,
		Services: services,
		Limits:   l,
		byHost:   map[string][]*Route{},
		byKey:    map[string]*Organisation{},
		routes:   routes,
	}
	for _, r := range routes {
		s.byHost[r.Host] = append(s.byHost[r.Host], r)
	}
	for _, list := range s.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return s
}

// Grant lets a key act for an organisation; it is called before the snapshot
// is in use.
func (s *Snapshot) Grant(key string, o *Organisation) { s.byKey[key] = o }

// Route finds the route of a request, nil if there is none. A host may carry a
// port; it is compared without regard to case.
func (s *Snapshot) Route(host, path string) *Route {
	list, ok := s.byHost[host]
	if !ok {
		name, _, _ := strings.Cut(strings.ToLower(host), ":")
		list = s.byHost[name]
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Routes lists all routes.
func (s *Snapshot) Routes() []*Route { return s.routes }

// Organisation returns the one that holds a key, nil if there is none.
func (s *Snapshot) Organisation(key string) *Organisation { return s.byKey[key] }

// Stores lists the stores of kept state, by name.
func (s *Snapshot) Stores() []*Service {
	var list []*Service
	for _, v := range s.Services {
		if v.Store != nil {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
