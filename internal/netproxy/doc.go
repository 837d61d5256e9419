// Package netproxy is a loopback proxy that brings faults upon the connections
// through it.
package netproxy
