// Package events declares the log lines of a node and their keys, and implements
// a bounded slog.Handler that never blocks its callers.
//
// Lines are logged through log/slog. Catalogue declares each line with its keys;
// a test checks the code against it, and docs/LOGS.md is generated from it.
package events
