package gateway

import (
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

// LearnSharing takes in in which period organisations share under a configuration.
func (st *SiteState) LearnSharing(s route.Sharing, source sharingSource) {
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
