package site

// Order instructs a replica to change the weights of a model.
type Order struct {
	Model   string
	Version int64
	// Holder and Fence are those of the lease that the sender holds.
	Holder string
	Fence  int64
	// Orders is the number of orders that the replica has accepted as far as the sender
	// knows; the replica refuses if it has accepted others since.
	Orders int64
	// Instance is the ID of the replica; another one at the same address refuses the order.
	Instance string
}

// OrderOutcome is the result of sending an order to a replica.
type OrderOutcome int

// Outcomes of orders.
const (
	// OrderUnknown: no answer came; the replica may still carry it out.
	OrderUnknown OrderOutcome = iota
	// OrderAccepted: the replica is carrying it out.
	OrderAccepted
	// OrderAlreadyApplied: the replica already serves that version.
	OrderAlreadyApplied
	// OrderRefused: the replica is busy with another order, or has accepted others since.
	OrderRefused
	// OrderMismatch: another replica is at the address, or it rejected the order as invalid.
	OrderMismatch
)
