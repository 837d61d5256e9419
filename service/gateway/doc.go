// Package gateway is a node that stands between callers and a site's replicas:
// it forwards requests, decides where each runs and what kept state it reuses,
// and takes its part in what the nodes do together.
//
// It knows a site by the types of pkg/site only; how a platform spells them is
// behind the interfaces of Platform.
//
// Lock order: while a lock of this package is held, of other packages only pkg/route,
// the codec and the log are called, and those call nobody back.
package gateway
