package gateway

import (
	"time"

	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/rendezvous"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
)

// evacuation records that operators have taken a data hall out of service.
type evacuation struct {
	position history.Position // Of the row.
	// since is from when on its replicas are left one after the other.
	since time.Time
	// ended is when the node learned that the evacuation is over, zero before.
	ended time.Time
	// unconfirmed is set if the store has come back from a copy without the row, which may have
	// to be written again, by confirmBy at the latest.
	unconfirmed bool
	confirmBy   time.Time
}

// evacuationTimeShare is the share of the time allowed for an evacuation in which a node
// stops using the hall's replicas one after the other. The load then moves in several
// steps, and most of the time is left for the change to reach the node.
const evacuationTimeShare = 0.2

// maxEvacuationDelay is how long ago a node may last have known the operator's table to leave the hall's replicas one after the
// other. Nodes that read the table through others knew it up to two seconds ago while all goes well.
const maxEvacuationDelay = 3 * time.Second

// setEvacuation starts or ends the evacuation of a data hall.
func (st *SiteState) setEvacuation(hall string, on bool, at history.Position, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	old, known := st.evacuated[hall]
	if known && at.Before(old.position) {
		return
	}
	if _, there := st.regions[hall]; !there && len(st.regions) > 0 {
		st.log.Warn("evacuation of unknown data hall ignored", "hall", hall, "position", at)
		return
	}
	if known {
		old.unconfirmed = false
	}
	switch {
	case on && (!known || !old.ended.IsZero()):
		e := &evacuation{position: at, since: now}
		if st.mayHaveMissedOperator(maxEvacuationDelay, now) {
			// The time allowed may be nearly over, or other nodes have left the hall already.
			e.since = now.Add(-st.evacuationTime)
		}
		st.evacuated[hall] = e
		st.log.Info("data hall evacuated", "hall", hall, "position", at, "at_once", e.since.Before(now))
	case !on && known && old.ended.IsZero():
		st.endEvacuation(hall, old, at, now)
	case known:
		old.position = at
		return
	default:
		return
	}
	st.updateAllPools(now)
}

// endEvacuation returns a data hall to service. Its replicas have probably become cold
// but report it only a moment later, so they count as cold from now on.
func (st *SiteState) endEvacuation(hall string, e *evacuation, at history.Position, now time.Time) {
	e.position, e.ended = at, now
	st.log.Info("data hall evacuation ended", "hall", hall, "position", at, "after", now.Sub(e.since))
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

// endRemovedEvacuations ends the evacuations that are not in the operator's table; rows is
// the whole table. While the operator may still have to write rows again, it only marks them.
func (st *SiteState) endRemovedEvacuations(rows []site.Row, now time.Time) {
	evacuated := map[string]bool{}
	for _, r := range rows {
		if hall, on, ok := st.codec.Evacuation(r); ok && on {
			evacuated[hall] = true
		}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	for hall, e := range st.evacuated {
		if e.ended.IsZero() && !evacuated[hall] {
			e.unconfirmed = true
		}
	}
	if st.endUnconfirmedEvacuations(now) {
		st.updateAllPools(now)
	}
}

// AssumeEvacuated takes a data hall out of use at once that another node knows to be evacuated, and of which the
// store may have lost the row.
func (st *SiteState) AssumeEvacuated(hall string, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if _, known := st.evacuated[hall]; known {
		return
	}
	st.evacuated[hall] = &evacuation{since: now.Add(-st.evacuationTime), unconfirmed: true, confirmBy: now.Add(st.rewriteTime)}
	st.log.Info("data hall evacuated, says another node", "hall", hall)
	st.updateAllPools(now)
}

// endUnconfirmedEvacuations ends the evacuations whose rows have not been written again in time, and reports
// whether there were any. The caller holds mu.
func (st *SiteState) endUnconfirmedEvacuations(now time.Time) (ended bool) {
	if !st.eras.IsSettled(now, st.rewriteTime) {
		return false
	}
	for hall, e := range st.evacuated {
		if e.unconfirmed && e.ended.IsZero() && !now.Before(e.confirmBy) {
			st.endEvacuation(hall, e, e.position, now)
			ended = true
		}
	}
	return ended
}

// isEvacuated reports whether a replica is sent no requests because its data hall is
// evacuated. The caller holds mu.
func (st *SiteState) isEvacuated(u *site.Upstream, now time.Time) bool {
	e, known := st.evacuated[u.DataHall]
	if !known || !e.ended.IsZero() {
		return false
	}
	delay := time.Duration(float64(st.evacuationTime) * float64(rendezvous.Hash(u.ID)%evacuationSteps) / evacuationSteps)
	return now.Sub(e.since) >= delay
}

// evacuationSteps is the number of steps in which the replicas of a data hall are taken
// out of use.
const evacuationSteps = 8

// evacuationRunning reports whether replicas of a data hall are being taken out of use,
// so that the pools have to be rebuilt. The caller holds mu.
func (st *SiteState) evacuationRunning(now time.Time) bool {
	for _, e := range st.evacuated {
		if e.ended.IsZero() && now.Sub(e.since) < st.evacuationTime+2*upstreamExpireInterval {
			return true
		}
	}
	return false
}

// EvacuatedHalls lists the data halls under evacuation.
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

// UnusableRows returns the number of rows of the upstream list that could not be decoded.
func (st *SiteState) UnusableRows() int64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.unusableRows
}

// applyColdLimits applies a configuration's limits on requests to cold replicas.
func (st *SiteState) applyColdLimits(s *site.Snapshot) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for service := range st.pools {
		st.applyColdLimit(s, service)
	}
}

// applyColdLimit limits the requests to cold replicas of a service. The caller holds mu.
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
