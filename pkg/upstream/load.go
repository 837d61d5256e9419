package upstream

// LoadReport is an engine's report of its load, which may be out of date.
type LoadReport struct {
	Boot uint64 `json:"boot"`
	// AgeMillis is how old the figures were when they were sent.
	AgeMillis    int64   `json:"age_ms"`
	Slots        int     `json:"slots"`
	Running      int     `json:"running"`
	Queued       int     `json:"queued"`
	PrefillQueue int     `json:"prefill_queue"` // Tokens waiting to be prefilled.
	PrefillRate  float64 `json:"prefill_rate"`  // Tokens per second.
	DecodeMillis float64 `json:"decode_ms"`     // Time between two tokens.
	LinkRate     float64 `json:"link_rate"`     // Bytes per second.
	LinkQueue    int64   `json:"link_queue"`    // Bytes waiting to be transferred.
	TokenBytes   int     `json:"token_bytes"`   // KV cache size of one token.
	Model        string  `json:"model"`
	Weights      string  `json:"weights"`
	Leaving      bool    `json:"leaving"`
}
