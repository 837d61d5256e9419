package site

import "time"

// ResponseInfo is what a replica's head says beside the status.
type ResponseInfo struct {
	// RequestID names the request that is answered.
	RequestID string
	// NotRun says that the replica did not run the request and will not.
	NotRun bool
	// Weights is the version that the request runs on, 0 if it does not say.
	Weights int64
	// Limit is how many requests the replica takes.
	Limit RateLimit
	// Draining says that the replica is about to end and is to get no new request.
	Draining bool
	// Backoff is for how long the replica, which turned the request away, wants no other
	// from this node; 0 if it does not say.
	Backoff time.Duration
}
