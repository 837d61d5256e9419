package site

import "time"

// ResponseInfo is what the headers of a replica's answer say, besides the status.
type ResponseInfo struct {
	// RequestID is the ID of the request that is answered.
	RequestID string
	// NotRun means that the replica has not run the request and will not run it.
	NotRun bool
	// Weights is the version of the weights that the request runs on, 0 if it is not given.
	Weights int64
	// Limit is the rate limit of the replica.
	Limit RateLimit
	// Draining means that the replica is about to stop and must get no new requests.
	Draining bool
	// Brittle means that the replicas of the service fall over if they have to turn away more than a
	// few requests in a second. Without it they don't, or the response is not the replica's.
	Brittle bool
	// Backoff is how long a replica that refused the request asks this node to send no
	// others; 0 if it does not ask.
	Backoff time.Duration
}
