package route

import "time"

// Report is what an engine said of its load, as of a time in the past.
type Report struct {
	Taken        time.Time     `json:"taken"`
	Slots        int           `json:"slots"`
	Running      int           `json:"running"`
	Queued       int           `json:"queued"`
	PrefillQueue int           `json:"prefill_queue"` // Tokens.
	PrefillRate  float64       `json:"prefill_rate"`  // Tokens a second.
	Decode       time.Duration `json:"decode"`        // Between tokens.
	TokenBytes   int           `json:"token_bytes"`   // Kept state of one token.
	Weights      string        `json:"weights"`
	Leaving      bool          `json:"leaving"`
}
