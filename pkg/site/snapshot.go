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
	// RequireKey means that requests need an API key, except on anonymous routes.
	RequireKey bool

	byHost map[string]hostRoutes
	byKey  map[string]*Organisation
	// isolated tells of each organisation, with or without keys, whether it is isolated.
	isolated map[string]bool
	routes   []*Route
	homes    map[string][]string // By host, if all its routes have homes.
	// resumable are the services that get requests of resumable streams, split those of them that share
	// them with others.
	resumable []string
	split     []string
}

// NewSnapshot returns a configuration with its lookup tables.
func NewSnapshot(version int64, routes []*Route, services map[string]*Service, limits Limits) *Snapshot {
	s := &Snapshot{
		Version:  version,
		Services: services,
		Limits:   limits,
		byHost:   map[string]hostRoutes{},
		byKey:    map[string]*Organisation{},
		isolated: map[string]bool{},
		routes:   routes,
		homes:    map[string][]string{},
	}
	unrestricted := map[string]bool{}
	for _, r := range routes {
		for _, share := range r.Split {
			if r.Resumable && !slices.Contains(s.resumable, share.Service) {
				s.resumable = append(s.resumable, share.Service)
			}
			if r.Resumable && r.OnlyService() == "" {
				s.split = append(s.split, share.Service)
			}
		}
		s.byHost[r.Host] = s.byHost[r.Host].add(r)
		if unrestricted[r.Host] = unrestricted[r.Host] || len(r.Homes) == 0; unrestricted[r.Host] {
			delete(s.homes, r.Host)
			continue
		}
		for _, region := range r.Homes {
			if !slices.Contains(s.homes[r.Host], region) {
				s.homes[r.Host] = append(s.homes[r.Host], region)
			}
		}
	}
	return s
}

// ResumableServices lists the services that get requests of resumable streams; the caller must not change
// the list.
func (s *Snapshot) ResumableServices() []string { return s.resumable }

// SplitServices lists those of them whose routes divide the requests between several services; the caller must
// not change the list.
func (s *Snapshot) SplitServices() []string { return s.split }

// hostRoutes are the routes of one host. Those whose prefix ends with a slash, as
// all should, are found by looking up each prefix of the path: with 20,000 routes of two
// hosts a lookup takes 0.09 us, and took 42 us when the path was compared with each route.
type hostRoutes struct {
	byPrefix  map[string]*Route
	maxPrefix int      // Length of the longest prefix in byPrefix.
	noSlash   []*Route // Routes without the slash, longest prefix first.
}

func (h hostRoutes) add(r *Route) hostRoutes {
	if h.byPrefix == nil {
		h.byPrefix = map[string]*Route{}
	}
	if !strings.HasSuffix(r.Prefix, "/") {
		at, _ := slices.BinarySearchFunc(h.noSlash, len(r.Prefix)-1, func(o *Route, n int) int { return cmp.Compare(n, len(o.Prefix)) })
		h.noSlash = slices.Insert(h.noSlash, at, r)
	} else if h.byPrefix[r.Prefix] == nil {
		h.byPrefix[r.Prefix] = r // The first of routes with equal prefixes wins.
		h.maxPrefix = max(h.maxPrefix, len(r.Prefix))
	}
	return h
}

// longestMatch finds the route with the longest prefix that matches the path, nil if there
// is none.
func (h hostRoutes) longestMatch(path string) *Route {
	var found *Route
	for end := min(len(path), h.maxPrefix); end > 0 && found == nil; end-- {
		if end = strings.LastIndexByte(path[:end], '/') + 1; end == 0 {
			break
		}
		found = h.byPrefix[path[:end]]
	}
	for _, r := range h.noSlash {
		if strings.HasPrefix(path, r.Prefix) {
			if found == nil || len(r.Prefix) > len(found.Prefix) {
				return r
			}
			break
		}
	}
	return found
}

// AddOrganisation adds an organisation and its API keys. It must not be called once the snapshot
// is in use.
func (s *Snapshot) AddOrganisation(o *Organisation, keys ...string) {
	s.isolated[o.Name] = s.isolated[o.Name] || o.Isolated
	for _, key := range keys {
		s.byKey[key] = o
	}
}

// Isolation returns for each organisation, by name, whether it is isolated. The caller must not
// change the map.
func (s *Snapshot) Isolation() map[string]bool { return s.isolated }

// SharesCache reports whether requests of an organisation share KV cache with those of others. One that the
// configuration lacks, as it was removed while a request waited, does not.
func (s *Snapshot) SharesCache(organisation string) bool {
	isolated, ok := s.isolated[organisation]
	return ok && !isolated
}

// HasEngines reports whether any service has model engines.
func (s *Snapshot) HasEngines() bool {
	for _, v := range s.Services {
		if v.Engine != nil {
			return true
		}
	}
	return false
}

// Route finds the route of a request, nil if there is none. The host may have a port, and
// is compared without regard to case.
func (s *Snapshot) Route(host, path string) *Route {
	routes, ok := s.byHost[host]
	if !ok {
		name, _, _ := strings.Cut(strings.ToLower(host), ":")
		routes = s.byHost[name]
	}
	return routes.longestMatch(path)
}

// HostHomes returns the regions in which requests to a host may run, nil if those of some
// of its routes may run in all.
func (s *Snapshot) HostHomes(host string) []string { return s.homes[strings.ToLower(host)] }

// Routes lists all routes.
func (s *Snapshot) Routes() []*Route { return s.routes }

// Organisation returns the organisation with an API key, nil if there is none.
func (s *Snapshot) Organisation(key string) *Organisation { return s.byKey[key] }

// Stores lists the KV cache stores, sorted by name.
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
