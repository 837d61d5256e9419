package route

import (
	"time"

	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/prompt"
)

const (
	// returnRateWeight is the weight of the newest request in an organisation's
	// return rate: the share of its prompts that repeat an earlier one as a whole.
	returnRateWeight = 0.05
	// initialReturnRate is the return rate assumed before the first request.
	initialReturnRate = 0.5
	// minExportChunks is the shortest prefix that is exported.
	minExportChunks = 8
	// nearlyWholeShare is the share of a prefix that counts as the whole prefix.
	nearlyWholeShare = 0.9
	// storagePrice is the cost of keeping a token's KV cache in a store, relative
	// to the time of its prefill.
	storagePrice = 0.05
)

// ExportPolicy decides which prefixes are worth exporting to a store after a run.
//
// A prefix that an earlier prompt had too is expected to come again. For one seen for
// the first time only the organisation's return rate is known. Where prompts don't
// return as a whole, for instance because each has new text after a shared
// specification, exporting them would fill links and stores with KV cache that is
// never read.
type ExportPolicy struct {
	mu          locks.Mutex
	weights     CostWeights
	returnRates map[string]float64
}

// NewExportPolicy returns a policy without any return rates.
func NewExportPolicy(w CostWeights) *ExportPolicy {
	return &ExportPolicy{weights: w, returnRates: map[string]float64{}}
}

// ExportInput is what is known of a prompt that has just run.
type ExportInput struct {
	Organisation string
	Chain        prompt.Chain
	Match        prompt.Match // As looked up before the run.
	PrefillRate  float64      // Tokens a second.
	TokenBytes   int
	LinkRate     float64 // Bytes a second.
}

// SelectMark returns the mark up to which the prompt is worth exporting.
func (e *ExportPolicy) SelectMark(in ExportInput) (prompt.Mark, bool) {
	tail, ok := in.Chain.Tail()
	if !ok {
		return prompt.Mark{}, false
	}
	returnRate := e.updateReturnRate(in, tail)
	stored := 0
	for _, h := range in.Match.Locations {
		if h.Object != nil {
			stored = max(stored, h.Chunks)
		}
	}
	// The longest prefix seen before, then the whole prompt.
	if seen := longestSeen(in); seen.Chunks > 0 && e.worthExporting(in, seen.Chunks, stored, 1) {
		return seen, true
	}
	if e.worthExporting(in, tail.Chunks, stored, returnRate) {
		return tail, true
	}
	return prompt.Mark{}, false
}

// updateReturnRate records whether the prompt repeats an earlier one and returns the
// organisation's return rate.
func (e *ExportPolicy) updateReturnRate(in ExportInput, tail prompt.Mark) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	rate, known := e.returnRates[in.Organisation]
	if !known {
		rate = initialReturnRate
	}
	seen := 0
	if len(in.Match.Occurrences) > 0 {
		seen = in.Match.Occurrences[0].Chunks
	}
	outcome := 0.0
	if float64(seen) >= nearlyWholeShare*float64(tail.Chunks) {
		outcome = 1
	}
	rate += returnRateWeight * (outcome - rate)
	e.returnRates[in.Organisation] = rate
	return rate
}

// longestSeen returns the longest mark that an earlier request had too.
func longestSeen(in ExportInput) prompt.Mark {
	if len(in.Match.Occurrences) == 0 {
		return prompt.Mark{}
	}
	chunks := in.Match.Occurrences[0].Chunks
	for _, m := range in.Chain.Marks {
		if m.Chunks == chunks {
			return m
		}
	}
	return prompt.Mark{}
}

// worthExporting reports whether the prefill expected to be saved costs more than the
// transfer and the storage.
func (e *ExportPolicy) worthExporting(in ExportInput, chunks, stored int, returnRate float64) bool {
	if chunks < minExportChunks || float64(stored) >= nearlyWholeShare*float64(chunks) {
		return false
	}
	savedTokens := float64((chunks - stored) * prompt.ChunkTokens)
	prefill := savedTokens / max(1, in.PrefillRate)
	transfer := float64(chunks*prompt.ChunkTokens) * float64(in.TokenBytes) / max(1, in.LinkRate)
	value := returnRate * (e.weights.Latency + e.weights.Recompute) * prefill
	price := e.weights.Link*transfer + storagePrice*prefill
	return value > price
}

// EvictionPriority ranks a stored object for eviction: how overdue its next use is.
// The most overdue goes first.
func EvictionPriority(occurrence prompt.Occurrence, unseenGap time.Duration) float64 {
	gap := occurrence.Gap
	if gap <= 0 {
		gap = unseenGap
	}
	return occurrence.Since.Seconds() / max(gap.Seconds(), 1e-3)
}
