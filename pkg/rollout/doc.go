// Package rollout updates replicas to the newest weights of their models.
//
// The replicas are divided into groups. In each group one node at a time sends orders,
// under a lease in the platform's store. It swaps few replicas at once, and has all nodes
// send requests elsewhere shortly before a swap, so that few requests are interrupted by
// it.
//
// Replicas don't check the fence, and an unanswered order may still be executed seconds
// later. Each order therefore carries the number of orders that the replica had accepted
// before, and the node polls the replica's state until the swap is done.
package rollout
