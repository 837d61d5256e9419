package suspect

import (
	"math"
	"time"
)

// The evidence about a cause is judged by a sequential probability ratio test of two hypotheses. If the cause ends
// replicas, a run with it ends its replica with at least crashProbability. If it is sound, its run is in flight at a
// replica that ends for another reason with at most lossProbability. Each end and each finish adds the logarithm of how
// much likelier it is under the first one. The sum does not fall below that of -trustedEnds ends, so that finishes
// from before a cause began to end replicas do not outweigh what comes after them.
//
//	                         an end   a finish   blocked from
//	a whole request            3.0    the floor  3 ends, in two rounds or more
//	a part of prompts          1.6     -0.6      4 ends
//	after many finishes                          2 ends more

// weights are what an end and a finish add to the sum.
type weights struct{ end, finish float64 }

// weightsOf are the weights of each kind. A whole request is one run among many, and one that is finished has been
// shown to be harmless. A part is in flight more often, and may end only some of its replicas.
var weightsOf = map[Kind]weights{
	KindRequest: newWeights(1, 0.05),
	KindPart:    newWeights(0.5, 0.1),
}

func newWeights(crashProbability, lossProbability float64) weights {
	return weights{
		end:    math.Log(crashProbability / lossProbability),
		finish: math.Log((1 - crashProbability) / (1 - lossProbability)),
	}
}

const (
	// errorProbability is that of blocking a sound cause, and missProbability that of letting one pass that ends
	// replicas.
	errorProbability = 0.002
	missProbability  = 0.1
	// trustedEnds is how many ends the finishes of a cause can outweigh in advance.
	trustedEnds = 2
	// maxEndsPerRound is how many ends of one round count: when many replicas end at once for another reason, a
	// frequent cause is in flight at several of them.
	maxEndsPerRound = 2
	// watchShare and liftShare are shares of blockScore: a request is watched from the first on, and a blocked part
	// is released below the second.
	watchShare = 0.7
	liftShare  = 2.0 / 3
)

// blockScore is the score from which a cause is blocked, by Wald's bounds.
var blockScore = math.Log((1 - missProbability) / errorProbability)

// score sums up the evidence, in the order of time.
func (c *Case) score() float64 { return c.scoreOf(c.Ends) }

// scoreOf is the score with some of the ends.
func (c *Case) scoreOf(ends []ReplicaEnd) float64 {
	w := weightsOf[c.Kind]
	floor := -trustedEnds * w.end
	sum, finishes := 0.0, c.Finishes
	if len(finishes) >= maxFinishes {
		// Earlier finishes have been dropped, so earlier ends don't count either.
		sum = floor
		for len(ends) > 0 && ends[0].EndedAt.Before(finishes[0].At) {
			ends = ends[1:]
		}
	}
	var roundEnd time.Time // First end of the current round.
	inRound := maxEndsPerRound
	for len(ends) > 0 || len(finishes) > 0 {
		if len(ends) == 0 || len(finishes) > 0 && !finishes[0].At.After(ends[0].EndedAt) {
			sum, finishes = max(floor, sum+w.finish), finishes[1:]
			continue
		}
		e := ends[0]
		ends = ends[1:]
		if roundEnd.IsZero() || e.StartedAt.After(roundEnd) {
			roundEnd, inRound = e.EndedAt, 0
		}
		if inRound++; inRound <= maxEndsPerRound {
			sum = max(floor, sum+w.end+c.survivorScore(e, w))
		}
	}
	return sum
}

// survivorScore is what the runs tell that were in flight at a replica besides the one that ended it: they had not ended
// it. Those of a whole request tell nothing, as they may not have begun.
func (c *Case) survivorScore(e ReplicaEnd, w weights) float64 {
	if c.Kind == KindRequest || len(e.Runs) < 2 {
		return 0
	}
	return float64(len(e.Runs)-1) * w.finish
}
