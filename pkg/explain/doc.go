// Package explain finds out from nodes' log lines why a request ended as it did.
package explain
