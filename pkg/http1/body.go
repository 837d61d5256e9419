package http1

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

// Framing is how the end of a body is found.
type Framing int

// Framings of bodies.
const (
	FramingNone Framing = iota
	FramingLength
	FramingChunked
	// FramingClose: the body ends with the connection. It can't be told from
	// one that was cut by an orderly close.
	FramingClose
)

// Body is the body of one message. Reading it never goes past its end.
type Body struct {
	r       *bufio.Reader
	framing Framing
	left    int64 // Of the length, or of the chunk.
	done    bool
	err     error
	started bool // A chunk has been read, so its line end is due.
}

// RequestBody returns the body of a request whose head was read from r.
func RequestBody(h *Head, r *bufio.Reader) (*Body, error) {
	framing, n, err := framingOf(h)
	if err != nil {
		return nil, err
	}
	return newBody(r, framing, n), nil
}

// ResponseBody returns the body of a response to a request of the given method.
func ResponseBody(h *Head, method string, r *bufio.Reader) (*Body, error) {
	if method == "HEAD" || h.Status < 200 || h.Status == 204 || h.Status == 304 {
		return newBody(r, FramingNone, 0), nil
	}
	framing, n, err := framingOf(h)
	if err != nil {
		return nil, err
	}
	if framing == FramingNone && !h.Has("Content-Length") {
		framing = FramingClose
	}
	return newBody(r, framing, n), nil
}

func newBody(r *bufio.Reader, framing Framing, n int64) *Body {
	return &Body{r: r, framing: framing, left: n, done: framing == FramingNone}
}

// framingOf refuses every head that two readers could frame differently:
// both ways at once, lengths that differ, codings other than chunked.
func framingOf(h *Head) (Framing, int64, error) {
	chunked, length, found := false, int64(0), false
	for _, f := range h.Fields {
		switch {
		case strings.EqualFold(f.Name, "Transfer-Encoding"):
			if chunked || h.Minor == 0 || !strings.EqualFold(f.Value, "chunked") {
				return 0, 0, ErrMalformed
			}
			chunked = true
		case strings.EqualFold(f.Name, "Content-Length"):
			n, ok := decimal(f.Value)
			if !ok || found && n != length {
				return 0, 0, ErrMalformed
			}
			length, found = n, true
		}
	}
	switch {
	case chunked && found:
		return 0, 0, ErrMalformed
	case chunked:
		return FramingChunked, 0, nil
	case length > 0:
		return FramingLength, length, nil
	default:
		return FramingNone, 0, nil
	}
}

// maxDigits keeps a length inside an int64.
const maxDigits = 18

func decimal(s string) (int64, bool) {
	if s == "" || len(s) > maxDigits {
		return 0, false
	}
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return 0, false
		}
	}
	n, err := strconv.ParseInt(s, 10, 64)
	return n, err == nil
}

// Framing returns how the body's end is found.
func (b *Body) Framing() Framing { return b.framing }

// Done says whether the whole body has been read.
func (b *Body) Done() bool { return b.done }

// Read implements io.Reader; the error is ErrBodyTruncated when the connection ends
// inside the body.
func (b *Body) Read(p []byte) (n int, err error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.done {
		return 0, io.EOF
	}
	n, err = b.read(p)
	if err != nil && err != io.EOF {
		b.err = err
	}
	return n, err
}

func (b *Body) read(p []byte) (int, error) {
	switch b.framing {
	case FramingLength:
		return b.readLeft(p, true)
	case FramingChunked:
		return b.readChunk(p)
	default:
		n, err := b.r.Read(p)
		if err == io.EOF {
			b.done = true
		}
		return n, err
	}
}

// readLeft reads from what is left of a length or a chunk.
func (b *Body) readLeft(p []byte, last bool) (int, error) {
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.r.Read(p)
	b.left -= int64(n)
	if err != nil && b.left > 0 {
		return n, cut(err)
	}
	if b.left == 0 && last {
		b.done = true
	}
	return n, nil
}

// readChunk reads from the chunk at hand, or from the next one.
func (b *Body) readChunk(p []byte) (int, error) {
	if b.left == 0 {
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
		if b.done {
			return 0, io.EOF
		}
	}
	return b.readLeft(p, false)
}

// maxChunkLine bounds the line of a chunk's size, with its extensions, and each
// trailer.
const maxChunkLine = 1024

func (b *Body) nextChunk() error {
	if b.started {
		if line, err := readLine(b.r, maxChunkLine); err != nil || line != "" {
			return chunkError(err)
		}
	}
	b.started = true
	line, err := readLine(b.r, maxChunkLine)
	if err != nil {
		return chunkError(err)
	}
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseUint(strings.TrimRight(size, " \t"), 16, 62)
	if err != nil || !isHex(size[:1]) {
		return ErrMalformed
	}
	b.left = int64(n)
	if n == 0 {
		return b.trailers()
	}
	return nil
}

func isHex(s string) bool { return strings.Contains("0123456789abcdefABCDEF", s) }

// trailers reads on to the end of the body; trailers are dropped.
func (b *Body) trailers() error {
	for {
		line, err := readLine(b.r, maxChunkLine)
		if err != nil {
			return chunkError(err)
		}
		if line == "" {
			b.done = true
			return nil
		}
	}
}

func chunkError(err error) error {
	switch {
	case err == nil, errors.Is(err, ErrHeadTooLarge):
		return ErrMalformed
	default:
		return cut(err)
	}
}

// cut turns an orderly end inside a body into ErrBodyTruncated.
func cut(err error) error {
	if err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrBodyTruncated
	}
	return err
}

// ReadAll reads a body of at most limit bytes.
func ReadAll(b *Body, limit int) ([]byte, error) {
	if b.framing == FramingLength && b.left > int64(limit) {
		return nil, ErrBodyTooLarge
	}
	if b.framing == FramingLength {
		all := make([]byte, b.left)
		_, err := io.ReadFull(b, all)
		return all, cut(err)
	}
	all, err := io.ReadAll(io.LimitReader(b, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(all) > limit {
		return nil, ErrBodyTooLarge
	}
	return all, nil
}
