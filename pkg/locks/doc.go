// Package locks has the mutexes of the node. With the build tag lockorder they fail when two are taken
// in both orders, even if the goroutines don't meet; docs/ARCHITECTURE.md has the order.
package locks
