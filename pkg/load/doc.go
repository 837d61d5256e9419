// Package load puts an open-loop load of returning prompts on a running system
// and reports what its callers saw.
package load
