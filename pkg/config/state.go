package config

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
)

// State is one version of the configuration; it is immutable once built.
type State struct {
	Version uint64 `json:"version"`
	// UpstreamsVersion is the last version that changed an upstream.
	UpstreamsVersion uint64 `json:"upstreams_version"`

	Organisations map[string]Organisation `json:"organisations"`
	Models        map[string]Model        `json:"models"`
	Adapters      map[string]Adapter      `json:"adapters"`
	Rules         map[string]Rule         `json:"rules"`
	Upstreams     map[string]Upstream     `json:"upstreams"`
	Nodes         map[string]NodeObject   `json:"nodes"`

	byKeyHash           map[string]string
	rulesByOrganisation map[string][]Rule
}

// NewState returns the empty configuration, version 0.
func NewState() *State {
	s := &State{
		Organisations: map[string]Organisation{},
		Models:        map[string]Model{},
		Adapters:      map[string]Adapter{},
		Rules:         map[string]Rule{},
		Upstreams:     map[string]Upstream{},
		Nodes:         map[string]NodeObject{},
	}
	s.Index()
	return s
}

// Index builds the lookup tables. It has to be called after a state is decoded.
func (s *State) Index() {
	s.byKeyHash = make(map[string]string, len(s.Organisations))
	for name, o := range s.Organisations {
		s.byKeyHash[o.KeyHash] = name
	}
	s.rulesByOrganisation = map[string][]Rule{}
	for _, name := range slices.Sorted(maps.Keys(s.Rules)) {
		r := s.Rules[name]
		s.rulesByOrganisation[r.Organisation] = append(s.rulesByOrganisation[r.Organisation], r)
	}
}

// HashKey returns the hash under which an API key is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// OrganisationByKey finds the organisation that an API key belongs to.
func (s *State) OrganisationByKey(key string) (Organisation, bool) {
	name, ok := s.byKeyHash[HashKey(key)]
	if !ok {
		return Organisation{}, false
	}
	return s.Organisations[name], true
}

// RuleFor finds the reuse rule for an organisation's requests to a model; one for that
// model overrides one for all.
func (s *State) RuleFor(organisation, model string) (Rule, bool) {
	var found Rule
	var ok bool
	for _, r := range s.rulesByOrganisation[organisation] {
		if r.Model != "" && r.Model != model {
			continue
		}
		if !ok || r.Model != "" {
			found, ok = r, true
		}
	}
	return found, ok
}

// UpstreamsOf lists the upstreams of a kind that are not drained, sorted by name.
func (s *State) UpstreamsOf(kind UpstreamKind) []Upstream {
	var list []Upstream
	for _, name := range slices.Sorted(maps.Keys(s.Upstreams)) {
		if u := s.Upstreams[name]; u.Kind == kind && !u.Drained {
			list = append(list, u)
		}
	}
	return list
}

// clone copies the state and its maps, so that Apply changes only the copy.
func (s *State) clone() *State {
	c := *s
	c.Organisations = maps.Clone(s.Organisations)
	c.Models = maps.Clone(s.Models)
	c.Adapters = maps.Clone(s.Adapters)
	c.Rules = maps.Clone(s.Rules)
	c.Upstreams = maps.Clone(s.Upstreams)
	c.Nodes = maps.Clone(s.Nodes)
	return &c
}
