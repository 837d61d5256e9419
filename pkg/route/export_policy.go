package route

import (
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/prompt"
)

const (
	// returnWeight is the weight of the newest request in the estimate of how
	// often an organisation's whole prompts return.
	returnWeight = 0.05
	// priorReturn is that estimate before anything is known.
	priorReturn = 0.5
	// minExportChunks is the shortest prefix that is exported.
	minExportChunks = 8
	// nearlyAll is the share of a prefix that counts as the prefix.
	nearlyAll = 0.9
	// storePrice is the price of keeping one token's state in a store, in
	// seconds of prefill of one token.
	storePrice = 0.05
)

// ExportPolicy decides which prefixes are worth exporting to a store after a run.
//
// A prefix that has been seen before has returned. Of one seen for the first
// time it is only known how often this organisation's new prompts return whole;
// where they don't, such as where each has a new application under an old
// specification, exporting them would fill links and stores with what is never
// read again.
type ExportPolicy struct {
	mu      sync.Mutex
	weights CostWeights
	returns map[string]float64
}

// NewExportPolicy returns a decision that knows nothing yet.
func NewExportPolicy(w CostWeights) *ExportPolicy {
	return &ExportPolicy{weights: w, returns: map[string]float64{}}
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
func (k *ExportPolicy) SelectMark(in ExportInput) (prompt.Mark, bool) {
	tail, ok := in.Chain.Tail()
	if !ok {
		return prompt.Mark{}, false
	}
	returned := k.learn(in, tail)
	stored := 0
	for _, h := range in.Match.Locations {
		if h.Object != nil {
			stored = max(stored, h.Chunks)
		}
	}
	// The longest prefix that has returned, then the whole.
	if seen := longestSeen(in); seen.Chunks > 0 && k.worth(in, seen.Chunks, stored, 1) {
		return seen, true
	}
	if k.worth(in, tail.Chunks, stored, returned) {
		return tail, true
	}
	return prompt.Mark{}, false
}

// learn notes whether the prompt was a return and gives the share of the
// organisation's prompts that are.
func (k *ExportPolicy) learn(in ExportInput, tail prompt.Mark) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	p, known := k.returns[in.Organisation]
	if !known {
		p = priorReturn
	}
	seen := 0
	if len(in.Match.Occurrences) > 0 {
		seen = in.Match.Occurrences[0].Chunks
	}
	hit := 0.0
	if float64(seen) >= nearlyAll*float64(tail.Chunks) {
		hit = 1
	}
	p += returnWeight * (hit - p)
	k.returns[in.Organisation] = p
	return p
}

// longestSeen is the longest mark that an earlier request had too.
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

// worth compares the prefill saved at a return with the price of the link and
// of the store.
func (k *ExportPolicy) worth(in ExportInput, chunks, stored int, returns float64) bool {
	if chunks < minExportChunks || float64(stored) >= nearlyAll*float64(chunks) {
		return false
	}
	gain := float64((chunks - stored) * prompt.ChunkTokens)
	prefill := gain / max(1, in.PrefillRate)
	moved := float64(chunks*prompt.ChunkTokens) * float64(in.TokenBytes) / max(1, in.LinkRate)
	value := returns * (k.weights.Latency + k.weights.Recompute) * prefill
	price := k.weights.Link*moved + storePrice*prefill
	return value > price
}

// EvictionPriority ranks a kept object for eviction: how overdue its next return is.
// The most overdue goes first.
func EvictionPriority(s prompt.Occurrence, unseenGap time.Duration) float64 {
	gap := s.Gap
	if gap <= 0 {
		gap = unseenGap
	}
	return s.Since.Seconds() / max(gap.Seconds(), 1e-3)
}
