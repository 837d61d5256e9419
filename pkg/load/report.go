package load

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/drumpath/drumpath/pkg/locks"
)

// Report is the result of a load as clients see it.
type Report struct {
	Profile  string  `json:"profile"`
	Seconds  float64 `json:"seconds"` // Without the warm-up.
	Sent     int     `json:"sent"`
	Answered int     `json:"answered"`
	// Retries is the number of repeated requests.
	Retries int `json:"again"`
	// Refused counts errors that say not_run.
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	Unknown int `json:"outcome_unknown"`
	// Wrong counts answers whose text is not the expected one.
	Wrong int `json:"wrong"`
	// Lost counts requests without a final answer.
	Lost             int     `json:"lost"`
	InDeadline       int     `json:"in_deadline"`
	FirstTokenP50    float64 `json:"first_token_p50_ms"`
	FirstTokenP95    float64 `json:"first_token_p95_ms"`
	FirstTokenP99    float64 `json:"first_token_p99_ms"`
	BetweenTokensP95 float64 `json:"between_tokens_p95_ms"`
	RecomputedShare  float64 `json:"recomputed_share"`
	// Fairness is the first-token p95 of the worst organisation divided by that of
	// the median organisation.
	Fairness      float64            `json:"fairness"`
	Organisations map[string]float64 `json:"first_token_p95_ms_by_organisation"`
	Sources       map[string]int     `json:"sources"`
	Errors        map[string]int     `json:"errors,omitempty"`
}

const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
	p50, p95, p99   = 50, 95, 99
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

// tally collects the results of requests.
type tally struct {
	mu               locks.Mutex
	report           Report
	firstToken       *hdrhistogram.Histogram // Microseconds.
	betweenTokens    *hdrhistogram.Histogram
	firstTokenByOrg  map[string]*hdrhistogram.Histogram
	promptTokens     int
	recomputedTokens int
	finished         int // All requests that have ended, including the warm-up.
}

func newTally(name string) *tally {
	return &tally{
		report:          Report{Profile: name, Sources: map[string]int{}, Errors: map[string]int{}, Organisations: map[string]float64{}},
		firstToken:      newHistogram(),
		betweenTokens:   newHistogram(),
		firstTokenByOrg: map[string]*hdrhistogram.Histogram{},
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(histogramMax, max(1, d.Microseconds()))) // The value is always in range.
}

// finish computes the figures that need all results.
func (t *tally) finish(counted time.Duration) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.report
	r.Seconds = counted.Seconds()
	r.FirstTokenP50 = quantile(t.firstToken, p50)
	r.FirstTokenP95 = quantile(t.firstToken, p95)
	r.FirstTokenP99 = quantile(t.firstToken, p99)
	r.BetweenTokensP95 = quantile(t.betweenTokens, p95)
	r.RecomputedShare = float64(t.recomputedTokens) / float64(max(1, t.promptTokens))
	var all []float64
	for name, h := range t.firstTokenByOrg {
		r.Organisations[name] = quantile(h, p95)
		all = append(all, r.Organisations[name])
	}
	slices.Sort(all)
	if n := len(all); n > 0 && all[n/2] > 0 {
		r.Fairness = all[n-1] / all[n/2]
	}
	return r
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}
