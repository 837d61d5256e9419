// Package onplatform has small stand-ins of the users' platform for tests: its
// store, and replicas whose answers a test scripts.
package onplatform
