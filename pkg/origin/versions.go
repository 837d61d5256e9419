package origin

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/history"
)

// Version is a version of a service's software at which streams may have begun.
type Version struct {
	Software string `json:"software"`
	// RetiredMS is when no replica of the version was left, in milliseconds of the store's clock; 0
	// while there are some.
	RetiredMS int64 `json:"retired_ms,omitempty"`
}

// Versions lists the versions of a service's software.
type Versions []Version

// List is the list of a service's versions as its row in the platform's store has it.
type List struct {
	Versions Versions `json:"versions"`
	// Era is that of the store in which the list was last confirmed. In any later era the store may have
	// come back from a copy that lacks versions at which streams have begun.
	Era history.Era `json:"era"`
	// ConfirmedMS is when that was, in milliseconds of the store's clock.
	ConfirmedMS int64 `json:"confirmed_ms,omitempty"`
}

// settleTime is how long after a list was confirmed a node that knows more versions may take to add them.
const settleTime = 6 * time.Second

// unconfirmedEra is List.Era of rows that name none, as nodes of earlier releases write them.
const unconfirmedEra history.Era = -1

// Retention is for how long a retired version is listed: longer than a client may take up a stream, and
// longer than a node may use a list that it can't read again.
const Retention = time.Hour

// IsConfirmed reports whether the list was confirmed in an era of the store. A store without eras loses nothing.
func (l *List) IsConfirmed(era history.Era) bool { return era == 0 || l.Era == era }

// IsComplete reports whether the list has all versions at which streams may have begun, as of a time on the store's
// clock in an era.
func (l *List) IsComplete(era history.Era, storeNow time.Duration) bool {
	confirmedAt := time.Duration(l.ConfirmedMS) * time.Millisecond
	return era == 0 || l.IsConfirmed(era) && storeNow-confirmedAt >= settleTime
}

// NamesNoEra reports whether the list was written by a node of an earlier release.
func (l *List) NamesNoEra() bool { return l.Era == unconfirmedEra }

// Knowledge is what a node knows besides a list, to correct it.
type Knowledge struct {
	Era history.Era // The current one.
	// Before are the versions that the node knew of in earlier eras.
	Before Versions
	// MayConfirm is set if the list is complete with these versions.
	MayConfirm bool
	InUse      []string                   // Versions that replicas have now.
	Unused     func(software string) bool // Reports whether a version has had no replica for a while.
	StoreNow   time.Duration              // The store's clock.
}

// Next returns the list as it should be; changed is false if it is right as it is. Times of an earlier era are on
// another clock: what was retired then is retired again as of now.
func (l *List) Next(k *Knowledge) (next List, changed bool) {
	next = List{Versions: l.Versions.Union(k.Before, k.StoreNow), Era: l.Era, ConfirmedMS: l.ConfirmedMS}
	changed = len(next.Versions) > len(l.Versions)
	unused, now := k.Unused, k.StoreNow
	switch {
	case l.IsConfirmed(k.Era):
	case k.MayConfirm:
		next.Era, next.ConfirmedMS, changed = k.Era, k.StoreNow.Milliseconds(), true
		next.Versions = Versions{}.Union(next.Versions, k.StoreNow)
	default: // Versions may be added only.
		unused, now = func(string) bool { return false }, 0
	}
	updated := false
	next.Versions, updated = next.Versions.Update(k.InUse, unused, now)
	return next, changed || updated
}

// Union returns the versions with those of another list that they lack. Retired ones among these count as retired
// now.
func (v Versions) Union(other Versions, now time.Duration) Versions {
	all := slices.Clone(v)
	for _, x := range other {
		if all.index(x.Software) >= 0 {
			continue
		}
		if x.RetiredMS != 0 {
			x.RetiredMS = max(1, now.Milliseconds())
		}
		all = append(all, x)
	}
	return all
}

// Includes reports whether all versions of another list are among these.
func (v Versions) Includes(other Versions) bool {
	return !slices.ContainsFunc(other, func(x Version) bool { return v.index(x.Software) < 0 })
}

// Sole returns the only version, ok is false if there are several or none.
func (v Versions) Sole() (software string, ok bool) {
	if len(v) != 1 {
		return "", false
	}
	return v[0].Software, true
}

// Admits reports whether streams may begin at a version. Not at a retired one: its entry may be removed at
// any time.
func (v Versions) Admits(software string) bool {
	i := v.index(software)
	return i >= 0 && v[i].RetiredMS == 0
}

func (v Versions) index(software string) int {
	return slices.IndexFunc(v, func(x Version) bool { return x.Software == software })
}

// Update returns the versions as the list should have them: with those that replicas have now, the ones of
// which none was left for a while retired, and without those that were retired long ago. changed is
// false if the list is right as it is.
func (v Versions) Update(inUse []string, unused func(software string) bool, storeNow time.Duration) (next Versions, changed bool) {
	for _, x := range v {
		switch used := slices.Contains(inUse, x.Software); {
		case used && x.RetiredMS != 0:
			x.RetiredMS, changed = 0, true
		case used:
		case x.RetiredMS == 0 && unused(x.Software):
			x.RetiredMS, changed = max(1, storeNow.Milliseconds()), true
		case x.RetiredMS != 0 && storeNow-time.Duration(x.RetiredMS)*time.Millisecond >= Retention:
			changed = true
			continue
		}
		next = append(next, x)
	}
	for _, software := range inUse {
		if next.index(software) < 0 {
			next, changed = append(next, Version{Software: software}), true
		}
	}
	return next, changed
}

// wireList is the value of a row.
type wireList struct {
	Versions    Versions     `json:"versions"`
	Era         *history.Era `json:"era,omitempty"`
	ConfirmedMS int64        `json:"confirmed_ms,omitempty"`
}

// Encode returns the value of the row.
func (l *List) Encode() (value []byte, err error) {
	value, err = json.Marshal(wireList{Versions: l.Versions, Era: &l.Era, ConfirmedMS: l.ConfirmedMS})
	return value, eris.Wrap(err, "encode versions")
}

// DecodeList decodes the value of a row.
func DecodeList(value []byte) (l List, err error) {
	var w wireList
	err = json.Unmarshal(value, &w)
	l = List{Versions: w.Versions, Era: unconfirmedEra, ConfirmedMS: w.ConfirmedMS}
	if w.Era != nil {
		l.Era = *w.Era
	}
	return l, eris.Wrap(err, "decode versions")
}
