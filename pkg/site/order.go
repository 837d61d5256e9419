package site

// Order has a replica change the weights of a model.
type Order struct {
	Model   string
	Version int64
	// Holder and Fence are those of the lease under which it is given.
	Holder string
	Fence  int64
	// Orders is how many orders the replica has taken; it refuses if it has
	// taken others since.
	Orders int64
	// Instance is the start of the replica that is meant.
	Instance string
}

// OrderOutcome is what a replica answers to an order.
type OrderOutcome int

// Outcomes of orders.
const (
	// OrderUnknown: no answer came; it may be carried out later.
	OrderUnknown OrderOutcome = iota
	// OrderAccepted: it is under way.
	OrderAccepted
	// OrderAlreadyApplied: the replica has that version.
	OrderAlreadyApplied
	// OrderRefused: another is under way, or others have come between.
	OrderRefused
	// OrderMismatch: the replica is another, or does not know such an order.
	OrderMismatch
)
