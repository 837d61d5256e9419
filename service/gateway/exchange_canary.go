package gateway

import (
	"context"
	"time"

	"github.com/drumpath/drumpath/pkg/canary"
)

// canaryAttempt is an attempt's part in the roll-out of a version of its service's software.
type canaryAttempt struct {
	arm     canary.Arm
	counted bool   // A roll-out is running.
	end     func() // Ends the count as in flight.
}

// usualFirstByte is what the expected time to the first byte of a prompt is scaled to: prompts
// differ in what there is to compute.
const usualFirstByte = 100 * time.Millisecond

// beginCanary counts an attempt as in flight on one side of a roll-out. A request that has been
// sent to the new version is not sent there again.
func (x *exchange) beginCanary(a *attempt) {
	a.canary.end = func() {}
	if a.canary.arm, a.canary.counted = x.g.canaries.arm(&a.choice.Upstream); !a.canary.counted {
		return
	}
	a.canary.end = x.g.canaries.begin(a.choice.Service, a.canary.arm)
	if x.pickInput.Software.Version != "" {
		x.pickInput.Software.Excluded = true
	}
}

// recordCanary counts the outcome of an attempt, unless its client has left.
func (x *exchange) recordCanary(ctx context.Context, a *attempt, failed bool) {
	cause := context.Cause(ctx)
	if !a.canary.counted || cause == errClientLeft || cause == errNodeStopped || x.out.failed {
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
