// Package soak runs gateways as processes in front of stand-ins of a platform,
// injects faults from outside, and checks the gateways' guarantees by what clients
// and replicas observe.
//
// A seed determines the faults: a loopback proxy delays or resets connections, cuts
// them in one direction, or drops all traffic of open connections while new ones work;
// signals pause, kill, stop and restart processes; the store refuses, hangs, loses its
// rows or serves stale ones; replicas fail, hang, leave and crash; the configuration
// changes. Faults follow one another and overlap. In rounds after that, weights are named while
// engines load them late or never and processes are killed, paused and stopped, singly and all at
// once.
package soak
