package gateway

import (
	"context"
	"time"

	"github.com/drumpath/drumpath/pkg/canary"
)

// canaryAttempt is an attempt's part in the roll-out of a version of its service's software. It is
// zero if none is running.
type canaryAttempt struct {
	arm canary.Arm
	end func() // Ends the count as in flight.
}

// usualFirstByte is what the expected time to the first byte of a prompt is scaled to: prompts
// differ in what there is to compute.
const usualFirstByte = 100 * time.Millisecond

// beginCanary counts an attempt as in flight on one side of a roll-out. A request that has been
// sent to the new version is not sent there again.
func (x *exchange) beginCanary(a *attempt) {
	var ok bool
	if a.canary, ok = x.g.canaries.begin(&a.choice.Upstream); ok && x.pickInput.Software.Version != "" && !x.pickInput.Software.Pinned {
		x.pickInput.Software.Excluded = true
	}
}

// endCanary ends that.
func (a *attempt) endCanary() {
	if a.canary.end != nil {
		a.canary.end()
	}
}

// recordCanary counts the outcome of an attempt, unless its client has left.
func (x *exchange) recordCanary(ctx context.Context, a *attempt, failed bool) {
	cause := context.Cause(ctx)
	if a.canary.end == nil || cause == errClientLeft || cause == errNodeStopped || cause == errGraceOver || x.out.failed {
		return
	}
	firstByte := a.firstByteAfter
	if expected := a.choice.ExpectedAtMeanLatency; x.pickInput.Tokens > 0 && expected > 0 {
		firstByte = time.Duration(float64(firstByte) / float64(expected) * float64(usualFirstByte))
	}
	x.g.canaries.record(a.choice.Service, &canary.Outcome{
		Route:     x.route.Name,
		Arm:       a.canary.arm,
		Failed:    failed,
		FirstByte: firstByte,
		Pause:     a.longestPause,
	})
}
