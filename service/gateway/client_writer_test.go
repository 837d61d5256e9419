package gateway

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// The head of an answer may tell the client that it can reuse the connection. A stop
// after that must not close the connection at the end of the answer, or the client's
// next request fails.
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
			go func() { _, _ = io.Copy(io.Discard, far) }() // The bytes don't matter.
			stopping := false
			w := &clientWriter{conn: near, shouldClose: func() bool { return stopping }}
			answer(w, func() { stopping = true })
			assert.Assert(t, !w.closesConn())
			assert.NilError(t, near.Close())
		})
	}
}
