package control

import "time"

// leaseRow is the table service's row for a lease. The row's version rises with
// each renewal.
type leaseRow struct {
	Holder string `json:"holder"` // Empty when released.
	// Epoch rises with each acquisition; orders carry it in their fence.
	Epoch uint64 `json:"epoch"`
	Nonce string `json:"nonce"`
}

// Lease is this node's record of a lease that it or another node holds.
type Lease struct {
	name           string
	row            leaseRow
	rowVersion     uint64    // Row version last read or written.
	unchangedSince time.Time // When that version was first read or was written, on this node's clock.
	validUntil     time.Time // Zero if this node does not hold it.
	heldSince      time.Time // When this node acquired it.
	lastSeq        uint64    // Of the last fence issued under it.
}

// Fence orders the orders sent under a lease: by epoch, then by sequence number.
// An engine rejects an order whose fence is not later than the last it accepted.
type Fence struct {
	Epoch uint64
	Seq   uint64
}

// LeaseStatus describes a held lease in a dump.
type LeaseStatus struct {
	Name  string        `json:"name"`
	Epoch uint64        `json:"epoch"`
	Valid time.Duration `json:"valid_ns"`
}
