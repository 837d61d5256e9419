package gateway

import (
	"net"

	"github.com/drumpath/drumpath/pkg/http1"
)

// clientWriter writes the answer to one request.
type clientWriter struct {
	conn net.Conn
	// headless answers, to HEAD, have no body.
	headless bool
	// old clients, of HTTP/1.0, know no chunks.
	old bool
	// closing says that the connection ends after this answer; it may become
	// true while the request is served.
	closing func() bool
	begun   bool
	failed  bool
	ended   bool
}

// last says whether the connection ends after this answer.
func (w *clientWriter) last() bool { return w.closing() || w.failed }

// settle fixes what last says from now on: a stop that comes behind the head must
// not close a connection of which the client was told that it may use it again.
func (w *clientWriter) settle() bool {
	last := w.last()
	w.closing = func() bool { return last }
	return last
}

// write sends bytes; after an error nothing more is sent.
func (w *clientWriter) write(b []byte) {
	if w.failed {
		return
	}
	w.begun = true
	if _, err := w.conn.Write(b); err != nil {
		w.failed = true
	}
}

// raw sends a whole message.
func (w *clientWriter) raw(b []byte) {
	w.write(b)
	w.ended = true
}

// whole sends an answer with its whole body.
func (w *clientWriter) whole(status int, fields []http1.Field, body []byte) {
	last := w.settle()
	b := http1.AppendResponse(make([]byte, 0, headRoom+len(body)), status, fields, len(body), last)
	if !w.headless {
		b = append(b, body...)
	}
	w.raw(b)
}

// headRoom is room for the head of an answer.
const headRoom = 1024

// begin sends the head of an answer whose length is not known, and its first
// bytes.
func (w *clientWriter) begin(status int, fields []http1.Field, first []byte) {
	if w.old {
		w.closing = func() bool { return true } // Its end is the connection's.
	}
	last := w.settle()
	var b []byte
	if w.old {
		b = http1.AppendUntilCloseResponse(nil, status, fields)
	} else {
		b = http1.AppendResponse(nil, status, fields, http1.NoLength, last)
	}
	w.write(w.chunk(b, first))
}

func (w *clientWriter) chunk(b, data []byte) []byte {
	switch {
	case len(data) == 0:
		return b
	case w.old:
		return append(b, data...)
	default:
		return http1.AppendChunk(b, data)
	}
}

// more sends more of the body.
func (w *clientWriter) more(data []byte) { w.write(w.chunk(nil, data)) }

// end ends a body whose length was not known.
func (w *clientWriter) end() {
	if !w.old {
		w.write([]byte(http1.LastChunk))
	}
	w.ended = true
}

// fail breaks the answer off: the connection is closed so that it can't look
// whole.
func (w *clientWriter) fail() { w.failed = true }
