package route

import "time"

// Report is the load that an engine has reported, as of an earlier time.
type Report struct {
	Taken        time.Time     `json:"taken"`
	Slots        int           `json:"slots"`
	Running      int           `json:"running"`
	Queued       int           `json:"queued"`
	PrefillQueue int           `json:"prefill_queue"` // Tokens.
	PrefillRate  float64       `json:"prefill_rate"`  // Tokens a second.
	Decode       time.Duration `json:"decode"`        // Time between tokens.
	TokenBytes   int           `json:"token_bytes"`   // KV cache size of one token.
	Weights      string        `json:"weights"`
	Leaving      bool          `json:"leaving"`
}
