package gateway

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// A stop that came between the head of an answer and its end closed the connection
// though the head had said that it may be used again: the client's next request met a
// closed connection. What the head says holds.
func TestStopAfterTheHeadKeepsTheConnectionOpen(t *testing.T) {
	for name, answer := range map[string]func(w *clientWriter, stop func()){
		"whole": func(w *clientWriter, stop func()) {
			w.writeAnswer(200, nil, []byte("body"))
			stop()
		},
		"stream": func(w *clientWriter, stop func()) {
			w.startStream(200, nil, []byte("first"))
			stop()
			w.endStream()
		},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }() // What was written is not looked at.
			stopping := false
			w := &clientWriter{conn: near, shouldClose: func() bool { return stopping }}
			answer(w, func() { stopping = true })
			assert.Assert(t, !w.closesConn())
			assert.NilError(t, near.Close())
		})
	}
}
