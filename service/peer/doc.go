// Package peer is the interface between nodes: JSON-RPC over TCP for calls, and over UDP
// for membership probes and notes. Operators' calls arrive on the same TCP
// listener and authenticate with their own token in the hello call.
package peer
