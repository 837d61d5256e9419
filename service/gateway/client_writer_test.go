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

// A client that has the head of an answer reads a second one as a part of the body.
func TestSecondHeadIsNotWritten(t *testing.T) {
	for name, second := range map[string]func(w *clientWriter){
		"whole":   func(w *clientWriter) { w.writeAnswer(404, nil, []byte("second")) },
		"message": func(w *clientWriter) { w.writeMessage([]byte("HTTP/1.1 503 second\r\n\r\n")) },
		"stream":  func(w *clientWriter) { w.startStream(200, nil, []byte("second")) },
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			got := make(chan string, 1)
			go func() {
				b, _ := io.ReadAll(far) // It ends with the pipe.
				got <- string(b)
			}()
			w := &clientWriter{conn: near, shouldClose: func() bool { return false }}
			w.startStream(200, nil, []byte("first"))
			second(w)
			w.endStream()
			assert.Assert(t, w.closesConn(), "the answer is cut")
			assert.NilError(t, near.Close())
			assert.Equal(t, <-got, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
		})
	}
}
