// Package peer is the interface between nodes: JSON-RPC over TCP for calls and
// over UDP for membership probes. Operators' calls come in on the same
// listener, after a hello with their own token.
package peer
