// Package onplatform provides small in-process stand-ins of the platform for tests:
// its store, and replicas whose answers a test scripts. Its own tests run whole gateways
// in front of them.
package onplatform
