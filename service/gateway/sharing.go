package gateway

import (
	"time"

	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
)

// sharingSource is how a node learned in which period organisations share KV cache.
type sharingSource string

const (
	sharingTold   sharingSource = "node"   // Another node.
	sharingStored sharingSource = "record" // The record in the platform's store.
)

// sharedConfig is an earlier configuration with the period in which organisations shared under it.
type sharedConfig struct {
	*site.Snapshot
	period route.SharingPeriod
}

// goesOnUnder reports whether what was kept of the period may be used under a newer configuration. That must isolate nobody
// whom this one does not: none of these has shared in the period, but another one may have, even one of which this node has not
// heard.
func (c *sharedConfig) goesOnUnder(next *site.Snapshot) bool {
	for name, isolated := range next.Isolation() {
		if isolated && !c.Isolation()[name] {
			return false
		}
	}
	return true
}

// isolationChange is since when an organisation is isolated, or no longer is.
type isolationChange struct {
	isolated bool
	since    time.Time
}

// LearnSharing takes in in which period organisations share under a configuration.
func (st *SiteState) LearnSharing(s route.Sharing, source sharingSource, now time.Time) {
	if s.Config == 0 {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	old := st.sharingHistory()
	h, changed := old.With(s)
	if !changed {
		return
	}
	st.sharing.Store(&h)
	if h.Newest().Period != old.Newest().Period {
		st.periodSince = now
		st.log.Info("period of shared cache known", "version", s.Config, "period", s.Period.String(), "learned", string(source))
	}
}

// sharingHistory returns in which periods organisations share, as far as known.
func (st *SiteState) sharingHistory() route.SharingHistory {
	if h := st.sharing.Load(); h != nil {
		return *h
	}
	return nil
}

// keepPeriod remembers the period of a configuration that is being replaced, if it is known.
func (st *SiteState) keepPeriod(old *site.Snapshot) {
	if p, ok := st.sharingHistory().Find(old.Version); ok {
		st.lastShared.Store(&sharedConfig{Snapshot: old, period: p})
	}
}

// recordIsolation records since when the organisations of a configuration that comes in force are isolated. If this node may have
// missed that one was not in between, that counts from now.
func (st *SiteState) recordIsolation(next *site.Snapshot, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.configuredSince.IsZero() {
		st.configuredSince = now
	}
	late := st.mayHaveMissedOperator(fetchPlanTerm, now)
	for name, isolated := range next.Isolation() {
		if isolated && (late || !st.isolation[name].isolated) {
			st.isolation[name] = isolationChange{isolated: true, since: now}
		}
	}
	for name, c := range st.isolation {
		if c.isolated && !next.Isolation()[name] {
			st.isolation[name] = isolationChange{since: now}
		}
	}
}

// isolationOf returns since when an organisation is isolated, or is not, as far as this node knows.
func (st *SiteState) isolationOf(organisation string) isolationChange {
	st.mu.Lock()
	defer st.mu.Unlock()
	if c, ok := st.isolation[organisation]; ok {
		return c
	}
	return isolationChange{since: st.configuredSince}
}

// cacheGroup returns the group of requests with which an organisation's share KV cache, for requests without an organisation if
// the name is empty.
func (st *SiteState) cacheGroup(organisation string) cacheGroup {
	s := st.Snapshot()
	if s == nil || !s.RequireKey {
		return cacheGroup{kind: groupAll}
	}
	shares := func(s *site.Snapshot) bool { return organisation == "" || s.SharesCache(organisation) }
	if !shares(s) {
		return cacheGroup{kind: groupOrganisation, organisation: organisation}
	}
	if p, ok := st.sharingHistory().Find(s.Version); ok {
		return cacheGroup{kind: groupPeriod, period: p}
	}
	if last := st.lastShared.Load(); last != nil && shares(last.Snapshot) && last.goesOnUnder(s) {
		return cacheGroup{kind: groupPeriod, period: last.period, provisional: true}
	}
	return cacheGroup{kind: groupConfig, config: s.Version, provisional: true}
}
