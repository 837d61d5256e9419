package site

import (
	"net/netip"
	"time"
)

// Dispatch is what a node adds to a client's request for the replica.
type Dispatch struct {
	// Instance is the ID of the replica; another one at the same address refuses the request.
	Instance string
	// TimeLeft is the time until the client's deadline.
	TimeLeft     time.Duration
	Organisation string
	// Priority is 0 for the most urgent requests; it is sent for prompts only.
	Priority int
	// Weights is the required version of the model's weights, 0 for any.
	Weights int64
	// Realm is the cache namespace: parts are shared only within one. "" sends none.
	Realm string
	// Sources are the addresses to fetch the parts of the prompt from, one for each part,
	// unset if the part is not fetched.
	Sources []netip.AddrPort
	// FetchBy is the time, on the clock that replicas share, at which the replica gives up
	// a fetch; 0 for never.
	FetchBy time.Duration
	// Saves are the addresses of the KV cache stores to save the parts of the prompt at, one
	// for each part, unset if the part is not saved.
	Saves []netip.AddrPort
	// LastEvent is the ID of the event after which a stream resumes.
	LastEvent string
	// ResumeFrom is the copy of a run's memory from which the run goes on, zero for none.
	ResumeFrom RunCopy
	// Backup is the engine that keeps a copy of the run's memory, unset for none.
	Backup netip.AddrPort
}
