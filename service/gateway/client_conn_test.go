package gateway

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// A stop that ends resting connections must not touch one on which a request has
// just come: its client would seem to have left, and the request, which a replica
// runs, would end without an answer. Found by the soak, seed 315.
func TestStopDoesNotTimeOutConnectionWithARequest(t *testing.T) {
	near, far := net.Pipe()
	c := newClientConn(nil, near)
	c.setState(connIdle)
	c.setState(connReadingHead) // The first byte of a request has come.
	c.endIdle()
	go func() { _, _ = far.Write([]byte("x")) }() // The read below tells.
	_, err := c.r.Peek(1)
	assert.NilError(t, err)
	c.setState(connIdle)
	c.endIdle()
	_, err = c.r.Peek(2)
	assert.ErrorContains(t, err, "timeout")
	assert.NilError(t, far.Close())
}
