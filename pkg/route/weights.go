package route

import "time"

// CostWeights price the parts of a decision against each other. Corrib's and
// Milkline's settings differ only in these.
type CostWeights struct {
	// Latency is the price of a second of first-token time.
	Latency float64
	// Recompute is the price of a second of a replica's prefill.
	Recompute float64
	// Link is the price of a second of a link.
	Link float64
	// Patience is how much later than it could come the first token may come
	// for a decision that is cheaper otherwise.
	Patience time.Duration
}
