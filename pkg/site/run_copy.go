package site

import "net/netip"

// RunCopy identifies a copy of the memory of a run.
type RunCopy struct {
	// Addr is the address of the engine that made the copy.
	Addr   netip.AddrPort
	Handle string
}

// IsZero reports whether c identifies no copy.
func (c RunCopy) IsZero() bool { return c.Handle == "" }

// MoveOrder instructs an engine to copy the memory of a run to another engine.
type MoveOrder struct {
	RequestID string
	Target    netip.AddrPort
	// Last means that the engine stops the run before it copies the memory.
	Last bool
}

// MoveResult is an engine's answer to a MoveOrder.
type MoveResult struct {
	// Handle names the copy; it is empty if there is none. The run has then not been stopped,
	// unless Unknown is set.
	Handle string
	// Unknown means that the answer was lost, so that the run may have been stopped and a copy
	// made.
	Unknown bool
	// Copied means that the copy at the target is complete. Otherwise the run can go on with
	// the handle only at its own engine.
	Copied bool
	// NoRoom means that the target has no room for the copy, or there is no path to it.
	NoRoom bool
	// Events is the number of events that the run has produced.
	Events int
}
