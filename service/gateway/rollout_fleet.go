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
func (f *rolloutFleet) Targets() (list []rollout.Target) {
	newest := f.siteState.NewestWeights()
	if len(newest) == 0 {
		return nil
	}
	now := boottime.Now()
	for _, p := range f.siteState.Pools() {
		for _, u := range p.Upstreams() {
			for model := range u.Weights {
				if want, named := newest[model]; named && !u.Draining && !u.Evacuated && !f.postponed(p, &u, model, now) {
					list = append(list, rollout.Target{Upstream: u, Model: model, Version: want})
				}
			}
		}
	}
	return list
}

// postponed reports whether a replica gets no order yet because it asked this node to back
// off. An order waits for at most half of the time allowed for new weights.
func (f *rolloutFleet) postponed(p *route.Pool, u *site.Upstream, model string, now time.Time) bool {
	if !p.InBackoff(u.ID, now) {
		return false
	}
	_, since := f.siteState.Weights(model)
	return now.Sub(since) < f.within/2
}

// AvoidForSwap implements rollout.Fleet.
func (f *rolloutFleet) AvoidForSwap(t rollout.Target, d time.Duration) {
	f.nodes.announceSwap(route.RefOf(&t.Upstream), t.Model, t.Version, d)
}

// CountSwapping implements rollout.Fleet.
func (f *rolloutFleet) CountSwapping() int {
	n, now := 0, boottime.Now()
	for _, p := range f.siteState.Pools() {
		n += p.CountSwapping(now)
	}
	return n
}

// RecordWeights implements rollout.Fleet.
func (f *rolloutFleet) RecordWeights(t rollout.Target, version int64) {
	if p := f.siteState.Pool(t.Service); p != nil {
		p.RecordWeights(route.RefOf(&t.Upstream), t.Model, version)
		f.nodes.announceWeights(route.RefOf(&t.Upstream), t.Model, version)
	}
}

// RecordDraining implements rollout.Fleet.
func (f *rolloutFleet) RecordDraining(t rollout.Target) {
	f.nodes.recordDraining(route.RefOf(&t.Upstream))
}

// Rank implements rollout.Fleet.
func (f *rolloutFleet) Rank(duty string) int {
	members := f.nodes.members.Working()
	for i, m := range control.Owners(members, duty, len(members)) {
		if m.Name == f.nodes.self.Name {
			return i
		}
	}
	return len(members)
}
