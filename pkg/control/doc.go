// Package control has what many nodes must agree on: the configuration log,
// membership, claims of requests that may run once, leases with fencing and
// the orders given under them.
//
// There is no consensus among nodes. What must be agreed is decided by
// conditional transactions in the platform's table service; everything else is
// soft and spread from node to node.
package control
