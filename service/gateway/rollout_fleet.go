package gateway

import (
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/rollout"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
)

// rolloutFleet implements rollout.Fleet on the node's site state.
type rolloutFleet struct {
	siteState *SiteState
	nodes     *nodes
	within    time.Duration // Allowed time from naming new weights until all replicas have them.

	mu locks.Mutex
	// settled is the state of the replicas and of the named weights at which no replica had
	// outdated weights.
	settled weightsState
}

// weightsState changes with the replicas, their weights and the named weights.
type weightsState struct {
	pools uint64 // Sum of the revisions of the pools.
	named int64  // Sum of the named versions, each of which only rises.
}

// Targets implements rollout.Fleet. It is called several times a second, so while nothing
// has changed since all replicas had their weights, it lists none.
func (f *rolloutFleet) Targets() (list []rollout.Target) {
	newest := f.siteState.NewestWeights()
	if len(newest) == 0 {
		return nil
	}
	state := f.weightsState(newest)
	f.mu.Lock()
	defer f.mu.Unlock()
	if state == f.settled {
		return nil
	}
	list = f.listTargets(newest)
	if !slices.ContainsFunc(list, func(t rollout.Target) bool { return t.Outdated() }) && !f.anyInBackoff() {
		f.settled = state
	}
	return list
}

func (f *rolloutFleet) weightsState(newest map[string]int64) (s weightsState) {
	for _, version := range newest {
		s.named += version
	}
	for _, p := range f.siteState.Pools() {
		s.pools += p.Revision()
	}
	return s
}

// anyInBackoff reports whether a replica is left out of the targets for now.
func (f *rolloutFleet) anyInBackoff() bool {
	now := boottime.Now()
	for _, p := range f.siteState.Pools() {
		if p.AnyInBackoff(now) {
			return true
		}
	}
	return false
}

func (f *rolloutFleet) listTargets(newest map[string]int64) (list []rollout.Target) {
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
	since := f.siteState.WeightHistory(model).Newest().Since
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
	return control.Rank(f.nodes.members.Working(), duty, f.nodes.self.Name)
}
