package control

import "time"

// leaseRow is what the table service keeps of a lease. Its row version rises
// with each renewal.
type leaseRow struct {
	Holder string `json:"holder"` // Empty when given back.
	// Epoch rises with each change of holder; orders carry it as a fence.
	Epoch uint64 `json:"epoch"`
	Nonce string `json:"nonce"`
}

// Lease is one lease as this node holds or sees it.
type Lease struct {
	name           string
	row            leaseRow
	rowVersion     uint64    // Row version last read.
	unchangedSince time.Time // When that version was first seen, on this node's clock.
	validUntil     time.Time // Held until; zero if not held.
	heldSince      time.Time // Since when it is held.
	lastSeq        uint64    // Of the last order given under it.
}

// Fence orders the orders given under leases.
type Fence struct {
	Epoch uint64
	Seq   uint64
}

// LeaseStatus is what a dump shows of one lease that is held.
type LeaseStatus struct {
	Name  string        `json:"name"`
	Epoch uint64        `json:"epoch"`
	Valid time.Duration `json:"valid_ns"`
}
