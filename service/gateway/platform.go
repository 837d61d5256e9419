package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/drumpath/drumpath/pkg/http1"
	"github.com/drumpath/drumpath/pkg/site"
)

// Store is the platform's store, as far as a node uses it.
type Store interface {
	List(ctx context.Context, t site.Table) (site.Listing, error)
	// Changes waits for changes after a version; the error wraps
	// site.ErrHistoryGone when they are no longer known.
	Changes(ctx context.Context, t site.Table, after int64, wait time.Duration) (site.Listing, error)
	// Put writes a row that has the expected version; the error wraps
	// site.ErrConflict when it has another.
	Put(ctx context.Context, t site.Table, key string, value []byte, expected int64) (site.Listing, error)
	// Announce writes a row whatever it was.
	Announce(ctx context.Context, t site.Table, key string, value []byte) error
	// LastLargeResponse is when a large answer last began to come in, zero if none has.
	LastLargeResponse() time.Time
	Close()
}

// Engines calls replicas and stores beside the requests.
type Engines interface {
	Report(ctx context.Context, addr netip.AddrPort) (site.EngineReport, error)
	Order(ctx context.Context, addr netip.AddrPort, o site.Order) (site.OrderOutcome, error)
	Changes(ctx context.Context, addr netip.AddrPort, since int64, wait time.Duration) (site.CacheChanges, error)
	Free(ctx context.Context, addr netip.AddrPort, parts []site.PartRef, boot int64) error
	Close()
}

// Codec reads and writes what the platform spells in its own way.
type Codec interface {
	// Configuration decodes a row of the operator's table, nil for another row.
	Configuration(r site.Row) (*site.Snapshot, error)
	// Weights decodes the row that names a model's weights.
	Weights(r site.Row) (model string, version int64, ok bool, err error)
	// Evacuation reads the row that has a data hall get no more requests; on is false where
	// that is taken back, ok where it is another row.
	Evacuation(r site.Row) (hall string, on, ok bool)
	Upstream(r site.Row) (site.Upstream, error)
	// RequestInfo reads a request's head.
	RequestInfo(h *http1.Head) (site.RequestInfo, error)
	// UpstreamHeaders returns the header lines that a replica gets.
	UpstreamHeaders(h *http1.Head, d *site.Dispatch) []http1.Field
	// ResponseInfo reads the head of a replica's answer.
	ResponseInfo(h *http1.Head) site.ResponseInfo
	// RequestIDHeader is the header line that names the request in an answer.
	RequestIDHeader(id string) http1.Field
	// Addresses is the answer to a caller that asks where to go.
	Addresses(addrs []netip.AddrPort, ttl time.Duration) any
}

// Platform is all that a node needs of the platform.
type Platform struct {
	Store   Store
	Engines Engines
	Codec   Codec
	Paths   site.Paths
}
