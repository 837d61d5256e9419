package site

import (
	"net/netip"
	"time"
)

// Service is a group of upstreams that do the same, or one store.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns bounds a replica's connections from all nodes together.
	MaxConns int
	// ColdTerm is for how long a replica is cold after a start, and ColdRate how many
	// requests a second one bears meanwhile; both are 0 if replicas are never cold.
	ColdTerm time.Duration
	ColdRate float64
	// Engine is set for a service of model engines.
	Engine *Engine
	// Store is set for a store of kept KV cache.
	Store *Store
}

// Engine is what the replicas of a model service have in common.
type Engine struct {
	Slots      int
	Capacity   int     // Tokens of KV cache.
	TokenBytes int     // Of one token's KV cache.
	LinkRate   float64 // Bytes a second.
	// PlannedFetch says that each part of a prompt may have a source of its own.
	PlannedFetch bool
	MaxWatches   int // Held calls for cache events, from all nodes together.
	Models       []string
}

// Store is a store of kept KV cache.
type Store struct {
	Addr     netip.AddrPort
	DataHall string
	// Region is that of its data hall, "" if it is not known.
	Region   string
	Capacity int     // Tokens.
	LinkRate float64 // Bytes a second.
	// Managed stores drop nothing by themselves.
	Managed bool
	// Latency is added to each transfer.
	Latency    time.Duration
	MaxWatches int
}
