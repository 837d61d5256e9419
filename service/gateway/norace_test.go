//go:build !race

package gateway

// raceScale divides link rates and configuration sizes, since nodes are slower under the
// race detector.
const raceScale = 1
