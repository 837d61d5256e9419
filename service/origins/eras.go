package origins

import (
	"math/rand/v2"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/origin"
)

// If the store comes back from a copy, its lists may lack versions at which streams have begun. What is known of the
// lists of earlier eras is kept until those of the current one have it.

// versions returns the versions of a service, with those that the store may have lost. The caller holds mu of
// Origins, as for the other methods of register.
func (r *register) versions(service string) origin.Versions {
	if before := r.before[service]; len(before) > 0 {
		return r.rows[service].Versions.Union(before, r.storeNow)
	}
	return r.rows[service].Versions
}

// confirmed reports whether a service's list was confirmed in this era and has what was known before.
func (r *register) confirmed(service string) bool {
	row := r.rows[service]
	return row.IsConfirmed(r.era) && row.Versions.Includes(r.before[service])
}

// isComplete reports whether a service's list has all versions at which streams may have begun.
func (r *register) isComplete(service string, now time.Time) bool {
	row := r.rows[service]
	return r.confirmed(service) && row.IsComplete(r.era, r.storeTime(now))
}

// storeTime is the store's clock, 0 if it is not known in this era.
func (r *register) storeTime(now time.Time) time.Duration {
	if r.readAt.IsZero() {
		return 0
	}
	return r.storeNow + now.Sub(r.readAt)
}

// beginEra keeps what is known of the lists for a new era of the store.
func (r *register) beginEra(era history.Era) {
	if era <= r.era {
		return
	}
	complete := r.loaded
	for service := range r.rows {
		complete = complete && r.confirmed(service)
		r.before[service] = r.versions(service)
	}
	r.complete = r.complete || complete
	r.rows, r.era, r.loaded = map[string]versionRow{}, era, false
	r.storeNow, r.readAt = 0, time.Time{}
}

// handleEra has the lists read again in a new era of the store.
func (o *Origins) handleEra(c history.Change) {
	spread := time.Duration(o.members.View().Counts().Alive) * rankSpreadPerNode
	o.mu.Lock()
	defer o.mu.Unlock()
	o.register.beginEra(c.To)
	if !c.First {
		o.register.loadAt = boottime.Now().Add(rand.N(max(1, spread)))
	}
}

// mayConfirm reports whether this node knows a service's list to be complete with the versions that it knew
// before. If no node does, the list is complete once no stream from before the era can be taken up. The
// caller holds mu.
func (o *Origins) mayConfirm(service string, now time.Time) bool {
	eras, row := o.store.Eras(), o.register.rows[service]
	_, since, _ := eras.Current()
	switch {
	case o.register.complete, now.Sub(since) >= origin.MaxLifetime:
		return true
	default:
		return eras.KnowsOne() && (row.NamesNoEra() || o.fleet.FirstStart())
	}
}

// knowledge returns what a service's list is corrected by; the caller holds mu.
func (o *Origins) knowledge(service string, inUse []string, now time.Time, storeNow time.Duration) *origin.Knowledge {
	return &origin.Knowledge{
		Era: o.register.era, Before: o.register.before[service], MayConfirm: o.mayConfirm(service, now),
		InUse: inUse, Unused: o.unused(service, now), StoreNow: storeNow,
	}
}
