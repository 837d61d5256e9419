// Package netproxy implements a loopback TCP proxy that injects faults into the
// connections through it.
package netproxy
