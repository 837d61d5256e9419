// Package gateway implements a node between clients and the replicas of a site: it
// forwards requests, chooses for each a replica and the KV cache to fetch, and exchanges
// state with the other nodes.
//
// It knows a site through the types of pkg/site only; the platform's formats are behind
// the interfaces in Platform.
//
// Lock order: while a lock of this package is held, the only other packages called are
// pkg/route, the codec and the log, and none of these calls back into this package.
package gateway
