package site

import (
	"net/netip"
	"time"
)

// Dispatch is what a node tells a replica beside the client's request.
type Dispatch struct {
	// Instance is the start of the replica that is meant; another refuses.
	Instance string
	// TimeLeft is how long the client still waits.
	TimeLeft     time.Duration
	Organisation string
	// Priority is 0 for the most urgent; it is sent for prompts only.
	Priority int
	// Weights is the version that is meant; 0 if any will do.
	Weights int64
	// Realm is the name space of kept state; "" for none of its own.
	Realm string
	// Sources are where parts of the prompt are taken from, by part; an unset
	// address is none.
	Sources []netip.AddrPort
	// FetchBy is when a fetch is given up, on the replicas' clock; 0 for never.
	FetchBy time.Duration
	// Saves are where parts of the prompt are kept, by part.
	Saves []netip.AddrPort
	// LastEvent is the event behind which a stream is to go on.
	LastEvent string
}
