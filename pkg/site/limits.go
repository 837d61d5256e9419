package site

import "time"

// Limits bound what a client may send and how long it may take.
type Limits struct {
	HeadBytes   int
	BodyBytes   int
	HeadTimeout time.Duration
	IdleTimeout time.Duration
}

// DefaultLimits hold until a configuration is known, and for fields that it
// leaves out. They are generous: a limit that is too small refuses proper
// requests.
func DefaultLimits() Limits {
	return Limits{
		HeadBytes:   32 << 10,
		BodyBytes:   8 << 20,
		HeadTimeout: 10 * time.Second,
		IdleTimeout: 60 * time.Second,
	}
}
