package site

import (
	"net/netip"
	"time"
)

// Service is a group of equivalent replicas, or one KV cache store.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns limits the connections to one replica from all nodes together.
	MaxConns int
	// ColdTerm is how long a replica is cold after a start, and ColdRate the requests a
	// second that it can serve meanwhile; both are 0 if replicas are never cold.
	ColdTerm time.Duration
	ColdRate float64
	// Engine is set for a service of model engines.
	Engine *Engine
	// Store is set for a KV cache store.
	Store *Store
}

// Engine is what all replicas of a service of model engines have in common.
type Engine struct {
	Slots      int
	Capacity   int     // Tokens of KV cache.
	TokenBytes int     // KV cache bytes of one token.
	LinkRate   float64 // Bytes a second.
	// PlannedFetch means that a request may name a source for each part of the prompt.
	PlannedFetch bool
	MaxWatches   int // Concurrent long polls for cache events, from all nodes together.
	Models       []string
	// Moves means that an engine copies the memory of a run to another one on request, and
	// Backups that it keeps a copy of a run's memory at another engine while the run goes on.
	Moves   bool
	Backups bool
	// EventTokens is the number of tokens in one event of a stream, 0 if unknown.
	EventTokens int
	// HandleTTL is how long an unused copy is kept.
	HandleTTL time.Duration
}

// Store is a KV cache store.
type Store struct {
	Addr     netip.AddrPort
	DataHall string
	// Region is the region of its data hall, "" if unknown.
	Region   string
	Capacity int     // Tokens.
	LinkRate float64 // Bytes a second.
	// Managed stores evict nothing by themselves; nodes tell them what to drop.
	Managed bool
	// Latency is the delay before the first byte of each transfer.
	Latency    time.Duration
	MaxWatches int // As in Engine.
}
