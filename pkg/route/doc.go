// Package route decides which replica runs a request, and for a prompt which of its cached
// KV state is fetched, saved or recomputed. It does no I/O: time and randomness are passed
// in.
//
// Lock order: Admission.mu, Fleet.mu, Links.mu, none of which is held during a callback;
// and PromptQueue.mu, Pool.mu. QueueRequest.Fits is called with PromptQueue.mu held,
// ColdShares and RateLimits with Pool.mu.
package route
