// Package site is what an operator configures for one site: routes, services,
// organisations and limits, and the upstreams that the platform tells of. Its
// values are snapshots that never change once they are in use.
package site
