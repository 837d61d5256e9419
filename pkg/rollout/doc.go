// Package rollout brings replicas to the newest weights of their models.
//
// The replicas are divided into groups. For each, one node at a time gives orders,
// under a lease in the platform's store. It swaps few replicas at once and has all nodes send requests elsewhere just
// before, so that few runs meet the swap. Replicas check no fence, and an order
// that was not answered may be carried out seconds later; so each order names
// how many the replica had taken before, and is followed up by asking, never by
// hoping.
package rollout
