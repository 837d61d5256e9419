package site

import "time"

// Limits bound the size of client requests and how long clients may take to send them.
type Limits struct {
	HeadBytes   int
	BodyBytes   int
	HeadTimeout time.Duration
	IdleTimeout time.Duration
}

// DefaultLimits returns the limits that apply until a configuration is known, and for
// fields that it leaves out. They are generous: a limit that is too small refuses valid
// requests.
func DefaultLimits() Limits {
	return Limits{
		HeadBytes:   32 << 10,
		BodyBytes:   8 << 20,
		HeadTimeout: 10 * time.Second,
		IdleTimeout: 60 * time.Second,
	}
}
