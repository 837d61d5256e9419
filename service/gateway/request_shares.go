package gateway

import (
	"context"
	"sync/atomic"

	"github.com/drumpath/drumpath/pkg/route"
)

// requestShares divides the bytes of requests that all nodes together may have in flight at one
// replica. One half is divided equally among the nodes. Of large fleets such a part is smaller
// than a large request, so the other half goes to as many nodes as it has requests of the largest
// size, selected by hashing for each replica: they can send it one of any size in addition.
//
// All members ever known count, as for coldShares, so that nodes that are partitioned do not
// exceed the bound together.
type requestShares struct {
	total   int64
	shares  *coldShares
	maxBody func() int64 // Size of the largest request.
	least   atomic.Int64 // Counting the nodes for each replica of each pick would take long.
}

var _ route.RequestBytes = (*requestShares)(nil)

func newRequestShares(total int64, shares *coldShares, maxBody func() int64) *requestShares {
	r := &requestShares{total: total, shares: shares, maxBody: maxBody}
	r.refresh(context.Background())
	return r
}

// refresh updates the share by the number of nodes.
func (r *requestShares) refresh(context.Context) {
	r.least.Store(r.total / 2 / int64(r.shares.nodeCount()))
}

// Least implements route.RequestBytes.
func (r *requestShares) Least() int64 { return r.least.Load() }

// Share implements route.RequestBytes. A node that does not know the others yet may send one
// request of any size if it has none in flight at the replica; otherwise it would refuse large
// ones in its first second.
func (r *requestShares) Share(replica uint64, hall string) int64 {
	largest := max(1, r.maxBody())
	if !r.shares.membersKnown() {
		return max(largest, r.Least())
	}
	requests := int(max(1, r.total/2/largest))
	return r.Least() + int64(r.shares.Share(replica, hall, requests))*largest
}
