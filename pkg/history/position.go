package history

import (
	"cmp"
	"log/slog"
	"strconv"
)

// Era numbers the store's histories. It rises each time the store comes back from an earlier copy,
// by one or more. A store that does not name its era has era 0 for good.
type Era int64

// Position is a point in the store's histories: a version within an era. It identifies the state
// of a row or of a whole table.
type Position struct {
	Era     Era   `json:"e,omitempty"`
	Version int64 `json:"v,omitempty"`
}

// Compare orders positions, like cmp.Compare. Any position of a later era is after all those of earlier
// ones.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Version, q.Version))
}

// Before reports whether p is before q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// MayPrecede reports whether what a later era has at p may have been written before what an earlier one had
// at q: the store's copy was taken in between.
func (p Position) MayPrecede(q Position) bool { return p.Era > q.Era && p.Version <= q.Version }

// Later returns the later one of two positions.
func Later(p, q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}

// String returns the position as "era/version".
func (p Position) String() string {
	return strconv.FormatInt(int64(p.Era), 10) + "/" + strconv.FormatInt(p.Version, 10)
}

// LogValue implements slog.LogValuer.
func (p Position) LogValue() slog.Value { return slog.StringValue(p.String()) }
