//go:build race

package gateway

// grownScale is by how much links and configurations are smaller than at their size.
const grownScale = 8
