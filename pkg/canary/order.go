package canary

import "github.com/drumpath/drumpath/pkg/site"

// OrderChange is what a row of the operator's table means for the order that is known.
type OrderChange int

// Changes of an order.
const (
	// OrderUnchanged: the row is the known one, or an older one.
	OrderUnchanged OrderChange = iota
	// OrderRewritten: it is the same order at another position.
	OrderRewritten
	// OrderReplaced: it is another order, or the order is removed.
	OrderReplaced
	// OrderUnclear: the store has come back from a copy, and the row may be an older one that the operator
	// is about to write again.
	OrderUnclear
)

// CompareOrder compares a row with the known order; an order that is removed has no version. settled is set
// unless the store has come back from a copy so recently that rows may have to be written again. listed is set for a
// row of a listing: changes that follow a listing are those of its era.
func CompareOrder(known, read *site.RolloutOrder, settled, listed bool) OrderChange {
	same := known.Version == read.Version && known.Duration == read.Duration
	switch {
	case !known.Position.Before(read.Position):
		return OrderUnchanged
	case same && (known.Position.Era != read.Position.Era || !settled):
		return OrderRewritten
	case !settled && listed && read.Position.MayPrecede(known.Position):
		return OrderUnclear
	default:
		return OrderReplaced
	}
}
