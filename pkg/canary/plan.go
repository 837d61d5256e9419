package canary

import (
	"time"

	"github.com/drumpath/drumpath/pkg/rendezvous"
)

// Limits bound the requests that a version may get before it is known to be good.
type Limits struct {
	// Share is the share of all requests between the order and its deadline.
	Share float64
}

// stage is a part of a roll-out in which the new version gets a fixed share of the requests.
type stage struct {
	// until is when the stage ends, as a share of the roll-out's duration.
	until float64
	// factor times Limits.Share is the share of the requests, at most maxPartialShare unless
	// the stage is the last one.
	factor float64
}

// The stages are chosen so that a version that turns bad at any time before the last stage
// has got 0.83 of the allowed share of all requests. In the last stage the new version gets
// all requests, so that nothing is in flight at the old replicas, which stop as soon as the
// roll-out is completed; in this stage too a bad version is rolled back.
var stages = []stage{
	{until: 0.5, factor: 0.5},
	{until: 0.62, factor: 1.5},
	{until: 0.72, factor: 4},
	{until: 0.82},
}

const (
	// StageHalted is the stage in which the new version gets no requests.
	StageHalted = -1
	// maxPartialShare bounds the share of the stages before the last one.
	maxPartialShare = 0.5
	// A version with signs of being bad is in heldStage, which soon gives certainty. If they are
	// left at holdUntil, as a share of the roll-out's duration, it is rolled back.
	heldStage = 1
	holdUntil = 0.92
	// latestCompletion is when a roll-out is completed although requests are still in flight
	// at the old replicas, as a share of its duration.
	latestCompletion = 0.96
)

// stageAt returns the stage at a time since the order.
func stageAt(elapsed, duration time.Duration) int {
	for i, s := range stages[:len(stages)-1] {
		if elapsed < time.Duration(s.until*float64(duration)) {
			return i
		}
	}
	return len(stages) - 1
}

// ShareOf returns the share of the requests that the new version gets in a stage.
func ShareOf(stageIndex int, limits Limits) float64 {
	switch {
	case stageIndex <= StageHalted || stageIndex >= len(stages):
		return 0
	case stageIndex == len(stages)-1:
		return 1
	default:
		return min(maxPartialShare, stages[stageIndex].factor*limits.Share)
	}
}

// UsesNewVersion reports whether a request is one of the share that goes to the new version.
// All nodes decide by the hash of the request's ID, so the share holds over all of them
// without counting together.
func UsesNewVersion(requestID string, share float64) bool {
	const buckets = 1 << 20
	return float64(rendezvous.Hash(requestID)%buckets) < share*buckets
}
