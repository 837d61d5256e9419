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

// evacuationTimeShare is the part of the time that operators allow in which a node leaves the
// replicas of a data hall one after the other. The load moves in some steps and not in
// one, and most of the time is left for word of it to reach the node.
const evacuationTimeShare = 0.2

// setEvacuation notes that a data hall is evacuated, or taken back.
func (st *SiteState) setEvacuation(hall string, on bool, version int64, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	old, known := st.evacuated[hall]
	if known && version < old.version {
		return
	}
	if _, there := st.regions[hall]; !there && len(st.regions) > 0 {
		st.log.Warn("evacuation of unknown data hall ignored", "hall", hall, "version", version)
		return
	}
	switch {
	case on && (!known || !old.ended.IsZero()):
		st.evacuated[hall] = &evacuation{version: version, since: now}
		st.log.Info("data hall evacuated", "hall", hall, "version", version)
	case !on && known && old.ended.IsZero():
		st.endEvacuation(hall, old, version, now)
	case known:
		old.version = version
		return
	default:
		return
	}
	st.rebuildPools(now)
}

// endEvacuation ends an evacuation. The hall's replicas are likely cold by then, and their own
// word of it comes a moment later: they are taken to be cold until then.
func (st *SiteState) endEvacuation(hall string, e *evacuation, version int64, now time.Time) {
	e.version, e.ended = version, now
	st.log.Info("data hall evacuation ended", "hall", hall, "version", version, "after", now.Sub(e.since))
	s := st.snapshot.Load()
	if s == nil {
		return
	}
	for _, u := range st.upstreams {
		v := s.Services[u.Service]
		if u.DataHall != hall || v == nil {
			continue
		}
		if cold := now.Add(v.ColdTerm); v.ColdTerm > 0 && cold.After(u.ColdUntil) {
			u.ColdUntil = cold
		}
	}
}

// endRemovedEvacuations takes back the data halls of which all rows of the operator's table say
// nothing.
func (st *SiteState) endRemovedEvacuations(rows []site.Row, now time.Time) {
	evacuated := map[string]bool{}
	for _, r := range rows {
		if hall, on, ok := st.codec.Evacuation(r); ok && on {
			evacuated[hall] = true
		}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	changed := false
	for hall, e := range st.evacuated {
		if e.ended.IsZero() && !evacuated[hall] {
			st.endEvacuation(hall, e, e.version, now)
			changed = true
		}
	}
	if changed {
		st.rebuildPools(now)
	}
}

// isEvacuated says whether a replica gets no more requests as its data hall is evacuated; the
// caller holds mu.
func (st *SiteState) isEvacuated(u *site.Upstream, now time.Time) bool {
	e, known := st.evacuated[u.DataHall]
	if !known || !e.ended.IsZero() {
		return false
	}
	delay := time.Duration(float64(st.evacuationTime) * float64(rendezvous.Hash(u.ID)%evacuationSteps) / evacuationSteps)
	return now.Sub(e.since) >= delay
}

// evacuationSteps is in how many steps a data hall is left.
const evacuationSteps = 8

// evacuationRunning says whether a data hall is just being left, so that the list of replicas has to
// be made again; the caller holds mu.
func (st *SiteState) evacuationRunning(now time.Time) bool {
	for _, e := range st.evacuated {
		if e.ended.IsZero() && now.Sub(e.since) < st.evacuationTime+2*upstreamExpireInterval {
			return true
		}
	}
	return false
}

// EvacuatedHalls lists the data halls that get no more requests.
func (st *SiteState) EvacuatedHalls() (list []string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for hall, e := range st.evacuated {
		if e.ended.IsZero() {
			list = append(list, hall)
		}
	}
	return list
}

// UnusableRows counts the rows of the list of upstreams that named none.
func (st *SiteState) UnusableRows() int64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.unusableRows
}

// applyColdLimits puts the limits of a configuration on cold replicas in force.
func (st *SiteState) applyColdLimits(s *site.Snapshot) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for service := range st.pools {
		st.applyColdLimit(s, service)
	}
}

// applyColdLimit limits what cold replicas of a service get; the caller holds mu.
func (st *SiteState) applyColdLimit(s *site.Snapshot, service string) {
	if s == nil || s.Services[service] == nil || st.coldShares == nil {
		return
	}
	limit, ok := route.ColdRequestLimit(s.Services[service].ColdRate, st.cold.Overage, st.cold.Slack)
	if !ok {
		st.pools[service].SetColdLimit(0, nil)
		return
	}
	st.pools[service].SetColdLimit(limit, st.coldShares)
}
