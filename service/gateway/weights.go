package gateway

import (
	"maps"
	"time"

	"github.com/drumpath/drumpath/pkg/route"
)

// weightSource is how a node learned of a version of a model's weights, or when it was named.
type weightSource string

const (
	weightsChanged weightSource = "change"  // A change of the operator's table.
	weightsListed  weightSource = "listing" // The whole table, which does not tell when it changed.
	weightsTold    weightSource = "node"    // Another node.
	weightsStored  weightSource = "record"  // The record in the platform's store.
)

const (
	// maxChangeDelay is how long ago a node may last have known the operator's table for a change to count as made just now.
	// Nodes that read the store themselves usually knew it one poll ago.
	maxChangeDelay = 1200 * time.Millisecond
	// maxFailureTime is how long a call that fails takes at most, so that one that takes longer tells that the process was
	// stopped meanwhile.
	maxFailureTime = 3500 * time.Millisecond
)

// hearWeights records that a row of the operator's table names a version of a model's weights. A node that starts, or
// has not read the table for a while, can't tell from the row when the version was named. The time in which a node
// could not reach the store does not count towards the term of old weights, unless others have heard meanwhile.
func (st *SiteState) hearWeights(model string, version int64, listed bool, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	v := route.WeightVersion{Version: version, Since: now, Heard: now}
	unheard, source := st.operatorUnheard(now), weightsChanged
	if listed {
		source = weightsListed
	}
	late := st.mayHaveMissedOperator(maxChangeDelay, now)
	if known, ok := st.WeightHistory(model).Find(version); ok && (late || listed || now.Sub(known.Heard) > maxChangeDelay) {
		return // Another node told it before, or the row was written again.
	}
	if late {
		v.Since, v.Estimated = route.EstimateNaming(now, st.operatorMissingSince(), st.weightsTerm), true
		v.Earliest = st.operatorReadAt
	}
	st.includeWeights(model, v, source, unheard)
}

// LearnWeights takes in what another source knows of a version of a model's weights.
func (st *SiteState) LearnWeights(model string, v route.WeightVersion, source weightSource) {
	if _, better := st.WeightHistory(model).With(v); !better {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.includeWeights(model, v, source, st.operatorUnheard(v.Heard))
}

// includeWeights records what is known of a version. The caller holds mu.
func (st *SiteState) includeWeights(model string, v route.WeightVersion, source weightSource, unheard time.Duration) {
	old := st.WeightHistory(model)
	h, changed := old.With(v)
	if !changed {
		return
	}
	next := maps.Clone(st.allWeights())
	if next == nil {
		next = map[string]route.WeightHistory{}
	}
	next[model] = h
	st.weights.Store(&next)
	now := v.Heard
	v, _ = h.Find(v.Version)
	if before, known := old.Find(v.Version); known {
		st.log.Info("age of weights learned", "model", model, "version", v.Version, "learned", string(source),
			"age", now.Sub(v.Since), "estimated", v.Estimated, "assumed", now.Sub(before.Since))
		return
	}
	st.log.Info("weights named", "model", model, "version", v.Version, "learned", string(source),
		"age", now.Sub(v.Since), "estimated", v.Estimated, "unheard", unheard)
}

// operatorUnheard returns how much time has passed since the operator's table was last known, 0 if it never was. The
// caller holds mu.
func (st *SiteState) operatorUnheard(now time.Time) time.Duration {
	if st.operatorReadAt.IsZero() {
		return 0
	}
	return now.Sub(st.operatorReadAt)
}

// mayHaveMissedOperator reports whether a change of the operator's table that is heard of now may have been made longer ago
// than a time. The caller holds mu.
func (st *SiteState) mayHaveMissedOperator(within time.Duration, now time.Time) bool {
	return st.operatorReadAt.IsZero() || st.operatorUnheard(now) > within
}

// operatorMissingSince returns since when this node may have missed changes of the operator's table, zero if it never read
// it. The caller holds mu.
func (st *SiteState) operatorMissingSince() time.Time {
	if st.operatorReadAt.IsZero() || st.operatorReadAt.After(st.operatorUnreachableAt) {
		return st.operatorReadAt
	}
	return st.operatorUnreachableAt
}

// MarkOperatorUnreachable records that neither the store nor another node could be asked for the operator's table, with the
// time when the call was started.
func (st *SiteState) MarkOperatorUnreachable(startedAt, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if again := !st.operatorFailedAt.IsZero(); again && now.Sub(startedAt) <= maxFailureTime {
		st.operatorUnreachableAt = now
	}
	st.operatorFailedAt = now
}

// MarkOperatorRead records that the operator's table is known as of a time.
func (st *SiteState) MarkOperatorRead(at time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.operatorReadAt, st.operatorFailedAt = at, time.Time{}
}

// allWeights returns the versions of the weights by model, which the caller must not change.
func (st *SiteState) allWeights() map[string]route.WeightHistory {
	if all := st.weights.Load(); all != nil {
		return *all
	}
	return nil
}

// WeightHistory returns the versions of a model's weights.
func (st *SiteState) WeightHistory(model string) route.WeightHistory { return st.allWeights()[model] }

// firstWeights is the version with which each model begins.
const firstWeights = 1

// NewestWeights returns the newest version of the weights of each model.
func (st *SiteState) NewestWeights() map[string]int64 {
	all := st.allWeights()
	list := make(map[string]int64, len(all))
	for model, h := range all {
		list[model] = h.Newest().Version
	}
	return list
}

// newestWeightsAge returns for how many seconds the newest version of each model's weights is named.
func (st *SiteState) newestWeightsAge(now time.Time) map[string]float64 {
	all := st.allWeights()
	list := make(map[string]float64, len(all))
	for model, h := range all {
		list[model] = now.Sub(h.Newest().Since).Seconds()
	}
	return list
}
