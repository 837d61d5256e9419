// Package node assembles one drumpath process and polls the upstreams that are
// assigned to it.
package node
