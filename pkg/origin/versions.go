package origin

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Version is a version of a service's software at which streams may have begun.
type Version struct {
	Software string `json:"software"`
	// RetiredMS is when no replica of the version was left, in milliseconds of the store's clock; 0
	// while there are some.
	RetiredMS int64 `json:"retired_ms,omitempty"`
}

// Versions lists the versions of a service's software, as a row of the platform's store has them.
type Versions []Version

// Retention is for how long a retired version is listed: longer than a client may take up a stream, and
// longer than a node may use a list that it can't read again.
const Retention = time.Hour

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

// wireVersions is the value of a row.
type wireVersions struct {
	Versions Versions `json:"versions"`
}

// Encode returns the value of the row.
func (v Versions) Encode() (value []byte, err error) {
	value, err = json.Marshal(wireVersions{Versions: v})
	return value, eris.Wrap(err, "encode versions")
}

// DecodeVersions decodes the value of a row.
func DecodeVersions(value []byte) (v Versions, err error) {
	var w wireVersions
	err = json.Unmarshal(value, &w)
	return w.Versions, eris.Wrap(err, "decode versions")
}
