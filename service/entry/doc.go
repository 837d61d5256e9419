// Package entry is the interface for callers: completions, plain services and
// the addresses to use, over HTTP.
package entry
