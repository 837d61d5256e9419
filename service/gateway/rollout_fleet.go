package gateway

import (
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/rollout"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
)

// rolloutFleet implements rollout.Fleet on the node's site state.
type rolloutFleet struct {
	siteState *SiteState
	nodes     *nodes
	within    time.Duration // Allowed time from naming new weights until all replicas have them.
}

// Targets implements rollout.Fleet.
func (s *rolloutFleet) Targets() (list []rollout.Target) {
	newest := s.siteState.NewestWeights()
	if len(newest) == 0 {
		return nil
	}
	now := boottime.Now()
	for _, p := range s.siteState.Pools() {
		for _, u := range p.Upstreams() {
			for model := range u.Weights {
				if want, named := newest[model]; named && !u.Draining && !u.Evacuated && !s.postponed(p, &u, model, now) {
					list = append(list, rollout.Target{Upstream: u, Model: model, Version: want})
				}
			}
		}
	}
	return list
}

// postponed reports whether a replica gets no order yet because it asked this node to back
// off. An order waits for at most half of the time allowed for new weights.
func (s *rolloutFleet) postponed(p *route.Pool, u *site.Upstream, model string, now time.Time) bool {
	if !p.InBackoff(u.ID, now) {
		return false
	}
	_, since := s.siteState.Weights(model)
	return now.Sub(since) < s.within/2
}

// AvoidForSwap implements rollout.Fleet.
func (s *rolloutFleet) AvoidForSwap(t rollout.Target, d time.Duration) {
	s.nodes.announceSwap(route.RefOf(&t.Upstream), t.Model, t.Version, d)
}

// CountSwapping implements rollout.Fleet.
func (s *rolloutFleet) CountSwapping() int {
	n, now := 0, boottime.Now()
	for _, p := range s.siteState.Pools() {
		n += p.CountSwapping(now)
	}
	return n
}

// RecordWeights implements rollout.Fleet.
func (s *rolloutFleet) RecordWeights(t rollout.Target, version int64) {
	if p := s.siteState.Pool(t.Service); p != nil {
		p.RecordWeights(route.RefOf(&t.Upstream), t.Model, version)
		s.nodes.announceWeights(route.RefOf(&t.Upstream), t.Model, version)
	}
}

// RecordDraining implements rollout.Fleet.
func (s *rolloutFleet) RecordDraining(t rollout.Target) {
	s.nodes.recordDraining(route.RefOf(&t.Upstream))
}

// Rank implements rollout.Fleet.
func (s *rolloutFleet) Rank(duty string) int {
	members := s.nodes.members.Working()
	for i, m := range control.Owners(members, duty, len(members)) {
		if m.Name == s.nodes.self.Name {
			return i
		}
	}
	return len(members)
}
