// Package soak runs gateways as processes before stand-ins of a platform, brings
// faults upon them from outside, and checks what must always hold by what clients
// and replicas see.
//
// The faults follow from a seed: connections that are delayed, reset or cut one
// way by a loopback proxy, and open ones that fall silent while new ones pass;
// processes that are paused, killed, stopped and restarted by signals; a store that
// refuses, falls silent, forgets or lies behind; replicas that fail, hang, leave and
// crash; changes of the configuration. They come in series and overlap.
package soak
