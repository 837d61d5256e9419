package route

import "time"

// CostWeights weigh the costs of a decision against each other. The settings of the
// Corrib and Milkline deployments differ only in these.
type CostWeights struct {
	// Latency is the cost of a second until the first token.
	Latency float64
	// Recompute is the cost of a second of prefill at a replica.
	Recompute float64
	// Link is the cost of a second in which a link is occupied.
	Link float64
	// Patience is how much later than with the fastest decision the first token
	// may come for the sake of a cheaper one.
	Patience time.Duration
}
