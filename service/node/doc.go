// Package node puts the parts of one drumpath process together and watches the
// upstreams that are this node's duty.
package node
