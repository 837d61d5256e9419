package site

import (
	"slices"
	"time"
)

// Route determines how requests to a host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string // Should begin and end with a slash.
	// Idempotent requests may run more than once.
	Idempotent bool
	// Streaming routes answer with a sequence of events.
	Streaming bool
	// Resumable streams may go on at another replica after a given event.
	Resumable bool
	// HasPrompt means that requests carry a prompt, in named parts.
	HasPrompt bool
	// Anonymous routes need no API key.
	Anonymous bool
	// Timeout is the longest that a request may take.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer should come.
	LatencyTarget time.Duration
	// GapTarget is the longest pause that there should be between events of a stream.
	GapTarget   time.Duration
	MaxAttempts int
	Priority    int // 0 is the most urgent.
	// Homes are the regions in which requests may run and their KV cache may be stored, nil
	// for all.
	Homes []string
	// Split divides the requests between services, by weight.
	Split []Share
}

// Share is the weight of a service in a route's traffic split.
type Share struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool { return r.Idempotent || r.Resumable }

// SendsTo reports whether the route sends requests to a service.
func (r *Route) SendsTo(service string) bool {
	return slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// OnlyService returns the service that all requests are sent to, "" if there are several or none.
func (r *Route) OnlyService() (name string) {
	for _, s := range r.Split {
		switch {
		case s.Weight <= 0 || s.Service == name:
		case name != "":
			return ""
		default:
			name = s.Service
		}
	}
	return name
}

// Kind names the route's kind in metrics.
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

// ServiceByHash picks a service of the split for a request with the given hash, "" if there
// is none.
func (r *Route) ServiceByHash(hash uint64) string {
	sum := 0
	for _, s := range r.Split {
		sum += s.Weight
	}
	if sum <= 0 {
		return ""
	}
	point := int(hash % uint64(sum))
	for _, s := range r.Split {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return ""
}
