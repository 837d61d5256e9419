package gateway

import (
	"time"

	"github.com/drumpath/drumpath/pkg/rendezvous"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
)

// evacuation is that operators have a data hall get no more requests.
type evacuation struct {
	version int64     // Of the row.
	since   time.Time // When this node heard of it.
	// ended is when it heard that the hall is taken back, zero before.
	ended time.Time
}

// leaveShare is the part of the time that operators allow in which a node leaves the
// replicas of a data hall one after the other. The load moves in some steps and not in
// one, and most of the time is left for word of it to reach the node.
const leaveShare = 0.2

// evacuate notes that a data hall is evacuated, or taken back.
func (b *SiteState) evacuate(hall string, on bool, version int64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, known := b.evacuated[hall]
	if known && version < old.version {
		return
	}
	if _, there := b.regions[hall]; !there && len(b.regions) > 0 {
		b.log.Warn("evacuation of unknown data hall ignored", "hall", hall, "version", version)
		return
	}
	switch {
	case on && (!known || !old.ended.IsZero()):
		b.evacuated[hall] = &evacuation{version: version, since: now}
		b.log.Info("data hall evacuated", "hall", hall, "version", version)
	case !on && known && old.ended.IsZero():
		b.takeBack(hall, old, version, now)
	case known:
		old.version = version
		return
	default:
		return
	}
	b.rebuild(now)
}

// takeBack ends an evacuation. The hall's replicas are likely cold by then, and their own
// word of it comes a moment later: they are taken to be cold until then.
func (b *SiteState) takeBack(hall string, e *evacuation, version int64, now time.Time) {
	e.version, e.ended = version, now
	b.log.Info("data hall evacuation ended", "hall", hall, "version", version, "after", now.Sub(e.since))
	s := b.snapshot.Load()
	if s == nil {
		return
	}
	for _, u := range b.upstreams {
		v := s.Services[u.Service]
		if u.DataHall != hall || v == nil {
			continue
		}
		if cold := now.Add(v.ColdTerm); v.ColdTerm > 0 && cold.After(u.ColdUntil) {
			u.ColdUntil = cold
		}
	}
}

// endEvacuations takes back the data halls of which all rows of the operator's table say
// nothing.
func (b *SiteState) endEvacuations(rows []site.Row, now time.Time) {
	there := map[string]bool{}
	for _, r := range rows {
		if hall, on, ok := b.codec.Evacuation(r); ok && on {
			there[hall] = true
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := false
	for hall, e := range b.evacuated {
		if e.ended.IsZero() && !there[hall] {
			b.takeBack(hall, e, e.version, now)
			changed = true
		}
	}
	if changed {
		b.rebuild(now)
	}
}

// evacuates says whether a replica gets no more requests as its data hall is evacuated; the
// caller holds mu.
func (b *SiteState) evacuates(u *site.Upstream, now time.Time) bool {
	e, known := b.evacuated[u.DataHall]
	if !known || !e.ended.IsZero() {
		return false
	}
	part := time.Duration(float64(b.leaveTime) * float64(rendezvous.Hash(u.ID)%leaveSteps) / leaveSteps)
	return now.Sub(e.since) >= part
}

// leaveSteps is in how many steps a data hall is left.
const leaveSteps = 8

// leaving says whether a data hall is just being left, so that the list of replicas has to
// be made again; the caller holds mu.
func (b *SiteState) leaving(now time.Time) bool {
	for _, e := range b.evacuated {
		if e.ended.IsZero() && now.Sub(e.since) < b.leaveTime+2*expireEvery {
			return true
		}
	}
	return false
}

// EvacuatedHalls lists the data halls that get no more requests.
func (b *SiteState) EvacuatedHalls() (list []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for hall, e := range b.evacuated {
		if e.ended.IsZero() {
			list = append(list, hall)
		}
	}
	return list
}

// UnusableRows counts the rows of the list of upstreams that named none.
func (b *SiteState) UnusableRows() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unusable
}

// limitCold puts the limits of a configuration on cold replicas in force.
func (b *SiteState) limitCold(s *site.Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service := range b.pools {
		b.limitPool(s, service)
	}
}

// limitPool limits what cold replicas of a service get; the caller holds mu.
func (b *SiteState) limitPool(s *site.Snapshot, service string) {
	if s == nil || s.Services[service] == nil || b.shares == nil {
		return
	}
	most, ok := route.ColdRequestLimit(s.Services[service].ColdRate, b.cold.Overage, b.cold.Slack)
	if !ok {
		b.pools[service].SetColdLimit(0, nil)
		return
	}
	b.pools[service].SetColdLimit(most, b.shares)
}
