// Package history orders what nodes know of the platform's store.
//
// The store may come back from an earlier copy of itself. It then gives out versions again that it
// has given out before, for other contents. So a version means something only within one
// history: a Position names both. The package has no I/O.
package history
