package upstream

import (
	"net/netip"

	"github.com/drumpath/drumpath/pkg/prompt"
)

// ExportOrder asks an engine to copy KV blocks to a store.
type ExportOrder struct {
	RequestID string         `json:"request_id"`
	Key       prompt.Key     `json:"key"` // Key of the last block of the chain.
	Chunks    int            `json:"chunks"`
	Store     netip.AddrPort `json:"store"`
	// Marks are stored with the object, so that any node can add it to its
	// directory.
	Marks prompt.PackedMarks `json:"marks"`
}

// ImportOrder asks an engine to fetch KV blocks from a store.
type ImportOrder struct {
	RequestID string         `json:"request_id"`
	CacheSalt prompt.Key     `json:"cache_salt"`
	Weights   string         `json:"weights"`
	Object    prompt.Object  `json:"object"`
	Chunks    int            `json:"chunks"` // Number of chunks of the object to fetch.
	Store     netip.AddrPort `json:"store"`
	// WaitMillis is the time after which the engine gives up the import.
	WaitMillis int64 `json:"wait_ms"`
}

// ImportAnswer reports how much an import transferred.
type ImportAnswer struct {
	Chunks int   `json:"chunks"`
	Bytes  int64 `json:"bytes"`
	Millis int64 `json:"ms"`
	// Store is the load of the store's link at the last read.
	Store StoreLoad `json:"store"`
}

// ExportAnswer names the sealed object that an export made.
type ExportAnswer struct {
	Object prompt.Object `json:"object"`
	Millis int64         `json:"ms"`
}

// BeginPut opens a new object in a store; it stays hidden until it is sealed.
type BeginPut struct {
	Key    prompt.Key         `json:"key"`
	Chunks int                `json:"chunks"`
	Bytes  int64              `json:"bytes"`
	Marks  prompt.PackedMarks `json:"marks"`
}

// PutBlocks writes part of an open object.
type PutBlocks struct {
	Key        prompt.Key   `json:"key"`
	Generation uint64       `json:"generation"`
	Blocks     []prompt.Key `json:"blocks"`
	Bytes      int64        `json:"bytes"`
}

// SealObject makes an object visible; the store checks length and checksum first.
type SealObject struct {
	Key        prompt.Key `json:"key"`
	Generation uint64     `json:"generation"`
	Checksum   uint64     `json:"checksum"`
}

// PinObject keeps an object from being released for a time. Generation and boot
// epoch make sure that no older or newer object of the same key is pinned.
type PinObject struct {
	Key        prompt.Key `json:"key"`
	Generation uint64     `json:"generation"`
	Epoch      uint64     `json:"epoch"`
	Reader     string     `json:"reader"`
	Millis     int64      `json:"ms"`
}

// GetBlocks reads part of a pinned object.
type GetBlocks struct {
	Key        prompt.Key `json:"key"`
	Generation uint64     `json:"generation"`
	Epoch      uint64     `json:"epoch"`
	Reader     string     `json:"reader"`
	From       int        `json:"from"`
	Count      int        `json:"count"`
}

// Blocks is part of an object's content.
type Blocks struct {
	Blocks []prompt.Key `json:"blocks"`
	Load   StoreLoad    `json:"load"`
}

// FreeObject hides an object at once and releases it when its pins have expired.
type FreeObject struct {
	Key        prompt.Key `json:"key"`
	Generation uint64     `json:"generation"`
	Epoch      uint64     `json:"epoch"`
}

// StoreLoad is a store's report of the load of its link.
type StoreLoad struct {
	LinkRate  float64 `json:"link_rate"`  // Bytes per second.
	LinkQueue int64   `json:"link_queue"` // Bytes waiting to be transferred.
	// Moved and BusyMillis count transferred bytes and the time that took.
	Moved      int64 `json:"moved"`
	BusyMillis int64 `json:"busy_ms"`
}

// StoreChange reports that an object was sealed or freed.
type StoreChange struct {
	Freed  bool               `json:"freed,omitempty"`
	Object prompt.Object      `json:"object"`
	Marks  prompt.PackedMarks `json:"marks"`
}

// StoreListing is the content of a store, or its changes since a sequence number.
type StoreListing struct {
	Epoch uint64 `json:"epoch"`
	Seq   uint64 `json:"seq"`
	// Full means that Changes lists all objects, not only recent changes.
	Full     bool          `json:"full"`
	Used     int64         `json:"used"`
	Capacity int64         `json:"capacity"`
	Leaving  bool          `json:"leaving"`
	Changes  []StoreChange `json:"changes"`
}
