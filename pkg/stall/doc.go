// Package stall finds locks and periodic steps that make no progress, and reports each once with
// the stacks of all goroutines. It ends nothing.
package stall
