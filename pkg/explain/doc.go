// Package explain determines from nodes' log lines why a request ended as it did.
package explain
