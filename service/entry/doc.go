// Package entry is the HTTP interface for clients: completions, calls to plain
// services, and the list of addresses to use.
package entry
