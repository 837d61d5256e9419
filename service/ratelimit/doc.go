// Package ratelimit keeps the requests that all nodes together send to a replica within the
// rate limit that the replica states in its answers.
package ratelimit
