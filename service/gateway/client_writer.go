package gateway

import (
	"net"

	"github.com/drumpath/drumpath/pkg/http1"
)

// clientWriter writes the answer to one request.
type clientWriter struct {
	conn net.Conn
	// noBody is set for answers to HEAD.
	noBody bool
	// http10 is set for clients of HTTP/1.0, which don't support chunks.
	http10 bool
	// shouldClose reports whether the connection closes after this answer; that may
	// become true while the request is served.
	shouldClose func() bool
	started     bool
	failed      bool
	ended       bool
	// secondHead is set if a second head was to be written. The answer was cut instead.
	secondHead bool
}

// closesConn reports whether the connection closes after this answer.
func (w *clientWriter) closesConn() bool { return w.shouldClose() || w.failed }

// fixClose fixes the result of closesConn: a stop after the head was sent must not close
// a connection whose head said that the client may reuse it.
func (w *clientWriter) fixClose() bool {
	closes := w.closesConn()
	w.shouldClose = func() bool { return closes }
	return closes
}

// mayBegin reports whether a head may be written. After the first one there is none: the client
// would read it as part of the body.
func (w *clientWriter) mayBegin() bool {
	if w.started {
		w.secondHead = true
		w.abort()
		return false
	}
	return true
}

// write sends bytes; after an error nothing more is sent.
func (w *clientWriter) write(b []byte) {
	if w.failed {
		return
	}
	w.started = true
	if _, err := w.conn.Write(b); err != nil {
		w.failed = true
	}
}

// writeMessage sends a complete, encoded answer.
func (w *clientWriter) writeMessage(b []byte) {
	if !w.mayBegin() {
		return
	}
	w.write(b)
	w.ended = true
}

// writeAnswer sends an answer whose whole body is known, in pieces. It does not copy them: large
// ones would take up twice their memory while the client is slow.
func (w *clientWriter) writeAnswer(status int, fields []http1.Field, body ...[]byte) {
	if !w.mayBegin() {
		return
	}
	closes, size := w.fixClose(), 0
	for _, piece := range body {
		size += len(piece)
	}
	buffers := net.Buffers{http1.AppendResponse(make([]byte, 0, headCapacity), status, fields, size, closes)}
	if !w.noBody {
		buffers = append(buffers, body...)
	}
	if !w.failed {
		w.started = true
		if _, err := buffers.WriteTo(w.conn); err != nil {
			w.failed = true
		}
	}
	w.ended = true
}

// headCapacity is the buffer size reserved for the head of an answer.
const headCapacity = 1024

// startStream sends the head of an answer whose length is not known, with its first
// bytes.
func (w *clientWriter) startStream(status int, fields []http1.Field, first []byte) {
	if !w.mayBegin() {
		return
	}
	if w.http10 {
		w.shouldClose = func() bool { return true } // The body ends when the connection closes.
		w.resetOnClose(true)
	}
	closes := w.fixClose()
	var b []byte
	if w.http10 {
		b = http1.AppendUntilCloseResponse(nil, status, fields)
	} else {
		b = http1.AppendResponse(nil, status, fields, http1.NoLength, closes)
	}
	w.write(w.appendChunk(b, first))
}

func (w *clientWriter) appendChunk(b, data []byte) []byte {
	switch {
	case len(data) == 0, w.noBody:
		return b
	case w.http10:
		return append(b, data...)
	default:
		return http1.AppendChunk(b, data)
	}
}

// writeMore sends more of the body.
func (w *clientWriter) writeMore(data []byte) { w.write(w.appendChunk(nil, data)) }

// endStream ends a body whose length was not known.
func (w *clientWriter) endStream() {
	switch {
	case w.http10:
		w.resetOnClose(false)
	case !w.noBody:
		w.write([]byte(http1.LastChunk))
	}
	w.ended = true
}

// resetOnClose sets whether closing the connection resets it. Without chunks, a client takes a body that
// is cut by an orderly close for a whole one.
func (w *clientWriter) resetOnClose(reset bool) {
	linger := -1
	if reset {
		linger = 0
	}
	if tcp, ok := w.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(linger) // It fails only if the connection is closed already.
	}
}

// abort has the connection closed, so that the client can't take the answer for
// complete.
func (w *clientWriter) abort() { w.failed = true }
