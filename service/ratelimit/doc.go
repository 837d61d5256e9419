// Package ratelimit keeps what all nodes together send a replica within the rate that it names.
package ratelimit
