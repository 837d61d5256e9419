package upstream

// LoadReport is what an engine says of its load, some time after the fact.
type LoadReport struct {
	Boot uint64 `json:"boot"`
	// AgeMillis is how old the figures were when they were sent.
	AgeMillis    int64   `json:"age_ms"`
	Slots        int     `json:"slots"`
	Running      int     `json:"running"`
	Queued       int     `json:"queued"`
	PrefillQueue int     `json:"prefill_queue"` // Tokens not yet prefilled.
	PrefillRate  float64 `json:"prefill_rate"`  // Tokens a second.
	DecodeMillis float64 `json:"decode_ms"`     // Between tokens.
	LinkRate     float64 `json:"link_rate"`     // Bytes a second.
	LinkQueue    int64   `json:"link_queue"`    // Bytes not yet moved.
	TokenBytes   int     `json:"token_bytes"`   // Kept state of one token.
	Model        string  `json:"model"`
	Weights      string  `json:"weights"`
	Leaving      bool    `json:"leaving"`
}
