//go:build !race

package gateway

// raceScale is by how much links and configurations are smaller than at their size.
const raceScale = 1
