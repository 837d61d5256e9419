package gateway

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/http1"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/service/tables"
)

// Store is the part of the platform's store that a node uses.
type Store interface {
	tables.Store
	// ListPrefix lists the rows whose keys begin with a prefix.
	ListPrefix(ctx context.Context, t site.Table, prefix string) (site.Listing, error)
	// Put writes a row if it has the expected position; otherwise the error wraps
	// site.ErrConflict or site.ErrEraEnded.
	Put(ctx context.Context, t site.Table, key string, value []byte, expected history.Position) (site.Listing, error)
	// PutUnconditionally writes a row whatever its version.
	PutUnconditionally(ctx context.Context, t site.Table, key string, value []byte) error
	Close()
}

// Engines calls replicas and stores outside of requests.
type Engines interface {
	Report(ctx context.Context, addr netip.AddrPort) (site.EngineReport, error)
	Order(ctx context.Context, addr netip.AddrPort, o site.Order) (site.OrderOutcome, error)
	Changes(ctx context.Context, addr netip.AddrPort, since int64, wait time.Duration) (site.CacheChanges, error)
	Free(ctx context.Context, addr netip.AddrPort, parts []site.PartRef, boot int64, until time.Duration) error
	// MoveRun has an engine copy the memory of a run to another engine. The result has a
	// handle also with an error if the run was stopped but the copy is not complete.
	MoveRun(ctx context.Context, addr netip.AddrPort, o site.MoveOrder) (site.MoveResult, error)
	// DropCopy frees an unused copy of a run.
	DropCopy(ctx context.Context, addr netip.AddrPort, handle string) error
	Close()
}

// Codec converts between the platform's formats and the types of pkg/site.
type Codec interface {
	// Configuration decodes a row of the operator's table. It returns nil for a row that
	// is no configuration.
	Configuration(r site.Row) (*site.Snapshot, error)
	// Weights decodes the row that sets the version of a model's weights; ok is false for
	// other rows.
	Weights(r site.Row) (model string, version int64, ok bool, err error)
	// RowNumber returns the number that the content of a row of the operator's table has of its own, and
	// that never falls, 0 if it has none.
	RowNumber(r site.Row) int64
	// Evacuation decodes the row that takes a data hall out of service; on is false if the
	// row ends the evacuation, ok is false for other rows.
	Evacuation(r site.Row) (hall string, on, ok bool)
	// RolloutOrder decodes an order to roll out a version of a service's software; ok is false
	// for other rows. The order of a deleted row names only the service.
	RolloutOrder(r site.Row) (o site.RolloutOrder, ok bool, err error)
	// RolloutStatusKey returns the key of the row with the state of a service's roll-out, in
	// site.TableStatus. RolloutStatus decodes the row, EncodeRolloutStatus encodes it.
	RolloutStatusKey(service string) string
	RolloutStatus(r site.Row) (site.RolloutStatus, error)
	EncodeRolloutStatus(s *site.RolloutStatus) ([]byte, error)
	Upstream(r site.Row) (site.Upstream, error)
	// RequestInfo reads a request's header.
	RequestInfo(h *http1.Head) (site.RequestInfo, error)
	// UpstreamHeaders returns the header fields to send to the replica.
	UpstreamHeaders(h *http1.Head, d *site.Dispatch) []http1.Field
	// ResponseInfo reads the header of a replica's response.
	ResponseInfo(h *http1.Head) site.ResponseInfo
	// RequestIDHeader returns the header field that carries the request's ID in a
	// response.
	RequestIDHeader(id string) http1.Field
	// Addresses returns the directory's response: the nodes that a client may use, and for
	// how long.
	Addresses(addrs []netip.AddrPort, ttl time.Duration) any
}

// Platform is everything that a node needs from the platform.
type Platform struct {
	Store   Store
	Engines Engines
	Codec   Codec
	Paths   site.Paths
	// DialReplica connects to replicas for requests; nil makes TCP connections that fail if a
	// replica stops acknowledging data.
	DialReplica DialFunc
}

// DialFunc connects to an address within a time.
type DialFunc func(addr netip.AddrPort, timeout time.Duration) (net.Conn, error)
