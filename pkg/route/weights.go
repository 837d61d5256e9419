package route

// Weights price the parts of a decision against each other. Corrib's and
// Milkline's settings differ only in these.
type Weights struct {
	// Latency is the price of a second of first-token time.
	Latency float64
	// Recompute is the price of a second of a replica's prefill.
	Recompute float64
	// Link is the price of a second of a link.
	Link float64
}
