package gateway

import (
	"time"

	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
)

// sharingDelay is how long after a configuration came in force the organisations that shared under the one before go on
// in its period, as it is not known yet whether a new one begins.
const sharingDelay = 500 * time.Millisecond

// sharingSource is how a node learned in which period organisations share KV cache.
type sharingSource string

const (
	sharingTold   sharingSource = "node"   // Another node.
	sharingStored sharingSource = "record" // The record in the platform's store.
)

// replacedConfig is a configuration that a newer one has replaced.
type replacedConfig struct {
	*site.Snapshot
	replacedBy int64
	at         time.Time
	// endsPeriod means that the next one isolates an organisation that shares in this one, or that there may have been others
	// between the two.
	endsPeriod bool
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

// newReplacedConfig returns what is to be known of a configuration that the next one replaces.
func (st *SiteState) newReplacedConfig(old, next *site.Snapshot, now time.Time) *replacedConfig {
	c := &replacedConfig{Snapshot: old, replacedBy: next.Version, at: now}
	st.mu.Lock()
	c.endsPeriod = st.mayHaveMissedOperator(maxChangeDelay, now)
	st.mu.Unlock()
	for name, isolated := range next.Isolation() {
		c.endsPeriod = c.endsPeriod || isolated && old.SharesCache(name)
	}
	return c
}

// cacheGroup returns the group of requests with which an organisation's share KV cache, for requests without an organisation if
// the name is empty.
func (st *SiteState) cacheGroup(organisation string, now time.Time) cacheGroup {
	s := st.Snapshot()
	if s == nil || !s.RequireKey {
		return cacheGroup{kind: groupAll}
	}
	shares := func(s *site.Snapshot) bool { return organisation == "" || s.SharesCache(organisation) }
	if !shares(s) {
		return cacheGroup{kind: groupOrganisation, organisation: organisation}
	}
	h := st.sharingHistory()
	if p, ok := h.Find(s.Version); ok {
		return cacheGroup{kind: groupPeriod, period: p}
	}
	if old := st.replacedConfig.Load(); old != nil && old.replacedBy == s.Version && !old.endsPeriod && now.Sub(old.at) < sharingDelay {
		if p, ok := h.Find(old.Version); ok && shares(old.Snapshot) {
			return cacheGroup{kind: groupPeriod, period: p}
		}
	}
	return cacheGroup{kind: groupConfig, config: s.Version}
}
