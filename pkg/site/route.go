package site

import "time"

// Route says how the requests under one host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string // Begins and ends with a slash.
	// Idempotent requests may run more than once.
	Idempotent bool
	// Streaming answers are sequences of events.
	Streaming bool
	// Resumable streams may go on at another replica behind a given event.
	Resumable bool
	// HasPrompt requests carry a prompt, in named parts.
	HasPrompt bool
	// Anonymous requests need no key.
	Anonymous bool
	// Timeout is the longest that a request may be held.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer is worth most.
	LatencyTarget time.Duration
	// GapTarget is the longest pause between events of an answer in time.
	GapTarget   time.Duration
	MaxAttempts int
	Priority    int // 0 is the most urgent.
	// Homes are the regions in which requests may run and their state be kept, nil for
	// all.
	Homes []string
	Split []Share
}

// Share is a service's part of a route's traffic.
type Share struct {
	Service string
	Weight  int
}

// Repeatable says whether a request may run more than once.
func (r *Route) Repeatable() bool { return r.Idempotent || r.Resumable }

// Kind names how the route's requests are handled, for metrics.
func (r *Route) Kind() string {
	switch {
	case r.Resumable:
		return "stream_resumable"
	case r.Streaming:
		return "stream"
	case r.Idempotent:
		return "idempotent"
	default:
		return "at_most_once"
	}
}

// ServiceAt picks a service of the split; at is a hash of the request.
func (r *Route) ServiceAt(at uint64) string {
	sum := 0
	for _, s := range r.Split {
		sum += s.Weight
	}
	if sum <= 0 {
		return ""
	}
	point := int(at % uint64(sum))
	for _, s := range r.Split {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return ""
}
