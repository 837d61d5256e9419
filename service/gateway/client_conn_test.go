package gateway

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// A stop that closes idle connections must not set a read deadline on one that has just
// received a request: its client would seem to have left, and the request, which a
// replica runs, would end without an answer. Found by the soak test, seed 315.
func TestStopDoesNotTimeOutAConnectionWithARequest(t *testing.T) {
	near, far := net.Pipe()
	c := newClientConn(nil, near)
	c.setState(connIdle)
	c.setState(connReadingHead) // The first byte of a request has come.
	c.endIdle()
	go func() { _, _ = far.Write([]byte("x")) }() // The read below checks it.
	_, err := c.r.Peek(1)
	assert.NilError(t, err)
	c.setState(connIdle)
	c.endIdle()
	_, err = c.r.Peek(2)
	assert.ErrorContains(t, err, "timeout")
	assert.NilError(t, far.Close())
}
