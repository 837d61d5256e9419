package gateway

import (
	"net"

	"github.com/drumpath/drumpath/pkg/http1"
)

// clientWriter writes the answer to one request.
type clientWriter struct {
	conn net.Conn
	// noBody answers, to HEAD, have no body.
	noBody bool
	// http10 clients, of HTTP/1.0, know no chunks.
	http10 bool
	// shouldClose says that the connection ends after this answer; it may become
	// true while the request is served.
	shouldClose func() bool
	started     bool
	failed      bool
	ended       bool
}

// closesConn says whether the connection ends after this answer.
func (w *clientWriter) closesConn() bool { return w.shouldClose() || w.failed }

// fixClose fixes what last says from now on: a stop that comes behind the head must
// not close a connection of which the client was told that it may use it again.
func (w *clientWriter) fixClose() bool {
	closes := w.closesConn()
	w.shouldClose = func() bool { return closes }
	return closes
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

// writeMessage sends a whole message.
func (w *clientWriter) writeMessage(b []byte) {
	w.write(b)
	w.ended = true
}

// writeAnswer sends an answer with its whole body.
func (w *clientWriter) writeAnswer(status int, fields []http1.Field, body []byte) {
	closes := w.fixClose()
	b := http1.AppendResponse(make([]byte, 0, headCapacity+len(body)), status, fields, len(body), closes)
	if !w.noBody {
		b = append(b, body...)
	}
	w.writeMessage(b)
}

// headCapacity is room for the head of an answer.
const headCapacity = 1024

// startStream sends the head of an answer whose length is not known, and its first
// bytes.
func (w *clientWriter) startStream(status int, fields []http1.Field, first []byte) {
	if w.http10 {
		w.shouldClose = func() bool { return true } // Its end is the connection's.
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
	case len(data) == 0:
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
	if !w.http10 {
		w.write([]byte(http1.LastChunk))
	}
	w.ended = true
}

// abort breaks the answer off: the connection is closed so that it can't look
// whole.
func (w *clientWriter) abort() { w.failed = true }
