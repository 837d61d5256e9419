// Package control holds the state that nodes share: the configuration log,
// membership, claims on requests that may run at most once, and leases with
// fences for the orders sent under them.
//
// Nodes run no consensus protocol. Whatever needs agreement is decided by
// conditional transactions in the platform's table service; all other state is
// eventually consistent and spreads from node to node.
package control
