package gateway

import (
	"context"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/route"
)

// slotWaitShare is the share of its target for which a request without a prompt waits for a
// free slot of a replica.
const slotWaitShare = 0.25

// enqueueForSlot lets a request of a service without engines wait while all of its replicas
// are full. It is refused at once if more requests wait than the replicas serve in the time
// that it may wait. After that time it is sent all the same: what is known of other nodes'
// requests may be outdated, and the replica refuses it if it is full.
func (x *exchange) enqueueForSlot(ctx context.Context) (f refusal, ok bool) {
	if d := &x.g.siteState.disabled; d.PromptQueue || d.ServiceWideShedding {
		return refusal{}, true
	}
	now := boottime.Now()
	x.g.nodes.refreshPeerLoads(now)
	queue := x.g.promptQueue(x.service.Name)
	if queue.Len() == 0 && x.pool.HasFreeSlot(&x.pickInput, now) {
		return refusal{}, true
	}
	limit := time.Duration(slotWaitShare * float64(x.route.LatencyTarget))
	request := route.QueueRequest{
		Cost:     1,
		Priority: x.priority(),
		Deadline: now.Add(limit),
		Target:   x.route.LatencyTarget,
		Prefill:  1,
		Pool:     x.pool,
		ForSlot:  true,
		Fits: func(_ bool, now time.Time) bool {
			x.g.nodes.refreshPeerLoads(now)
			return x.pool.HasFreeSlot(&x.pickInput, now)
		},

		ClientLeaves: x.deadline,
	}
	if x.organisation != nil {
		request.Organisation = x.organisation.Name
	}
	w, err := queue.Enqueue(request, now)
	if err != nil {
		return x.overloaded(err), false
	}
	x.waiting = w
	select {
	case x.g.promptQueued <- struct{}{}:
	default:
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-w.Ready():
		return x.queueResult(w)
	case <-ctx.Done():
		return x.deadlineRefusal(), false
	case <-timer.C:
		x.leaveQueue(boottime.Now())
		return refusal{}, true
	}
}
