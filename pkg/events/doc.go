// Package events is the log of a node: which lines there are, with which keys,
// and a writer that bounds them and never holds anyone up.
//
// Lines are logged through log/slog. Catalogue declares each line with its keys;
// a test holds the code against it, and docs/LOGS.md is made from it.
package events
