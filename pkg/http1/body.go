package http1

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

// Framing is how the end of a body is determined.
type Framing int

// Framings of bodies.
const (
	FramingNone Framing = iota
	FramingLength
	FramingChunked
	// FramingClose: the body ends with the connection. A body truncated by an
	// orderly close can't be detected.
	FramingClose
)

// String names the framing.
func (f Framing) String() string {
	switch f {
	case FramingLength:
		return "length"
	case FramingChunked:
		return "chunked"
	case FramingClose:
		return "close"
	default:
		return "none"
	}
}

// Body is the body of one message. It never reads past its end.
type Body struct {
	r           *bufio.Reader
	framing     Framing
	remaining   int64 // Bytes left of the whole body or of the current chunk.
	done        bool
	err         error
	pendingCRLF bool // The CR LF after the last chunk has not been read yet.
	// chunkBytes are the bytes of the chunks begun so far, lineBytes those of the lines around them.
	chunkBytes, lineBytes int64
}

// RequestBody returns the body of a request whose head was read from r.
func RequestBody(h *Head, r *bufio.Reader) (*Body, error) {
	framing, n, err := parseFraming(h)
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
	framing, n, err := parseFraming(h)
	if err != nil {
		return nil, err
	}
	if framing == FramingNone && !h.Has("Content-Length") {
		framing = FramingClose
	}
	return newBody(r, framing, n), nil
}

func newBody(r *bufio.Reader, framing Framing, n int64) *Body {
	return &Body{r: r, framing: framing, remaining: n, done: framing == FramingNone}
}

// parseFraming returns the framing and the length of a body. It refuses ambiguous
// heads: those with both Content-Length and Transfer-Encoding, different lengths,
// or codings other than chunked.
func parseFraming(h *Head) (Framing, int64, error) {
	chunked, length, hasLength := false, int64(0), false
	for _, f := range h.Fields {
		switch {
		case strings.EqualFold(f.Name, "Transfer-Encoding"):
			if chunked || h.Minor == 0 || !strings.EqualFold(f.Value, "chunked") {
				return 0, 0, ErrMalformed
			}
			chunked = true
		case strings.EqualFold(f.Name, "Content-Length"):
			n, ok := parseLength(f.Value)
			if !ok || hasLength && n != length {
				return 0, 0, ErrMalformed
			}
			length, hasLength = n, true
		}
	}
	switch {
	case chunked && hasLength:
		return 0, 0, ErrMalformed
	case chunked:
		return FramingChunked, 0, nil
	case length > 0:
		return FramingLength, length, nil
	default:
		return FramingNone, 0, nil
	}
}

// maxLengthDigits makes sure that a length fits an int64.
const maxLengthDigits = 18

func parseLength(s string) (int64, bool) {
	if s == "" || len(s) > maxLengthDigits {
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

// Framing returns how the end of the body is determined.
func (b *Body) Framing() Framing { return b.framing }

// Done reports whether the whole body has been read.
func (b *Body) Done() bool { return b.done }

// Read implements io.Reader; the error is ErrBodyTruncated if the connection ends
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
		return b.readRemaining(p, true)
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

// readRemaining reads from the rest of the body or chunk; endsBody means that the
// body ends there.
func (b *Body) readRemaining(p []byte, endsBody bool) (int, error) {
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.r.Read(p)
	b.remaining -= int64(n)
	if err != nil && b.remaining > 0 {
		return n, eofAsTruncated(err)
	}
	if b.remaining == 0 && endsBody {
		b.done = true
	}
	return n, nil
}

// readChunk reads from the current chunk, or from the next one if that is used up.
func (b *Body) readChunk(p []byte) (int, error) {
	if b.remaining == 0 {
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
		if b.done {
			return 0, io.EOF
		}
	}
	return b.readRemaining(p, false)
}

const (
	// maxChunkLine limits the length of chunk size lines, including extensions, and of
	// trailer lines.
	maxChunkLine = 1024
	// maxTrailerBytes limits all trailer lines together.
	maxTrailerBytes = 16 << 10
	// The lines around chunks may take up lineBytesSlack, plus lineBytesPerByte for each byte of the
	// body: a chunk of one byte without extensions has six.
	lineBytesSlack   = 64 << 10
	lineBytesPerByte = 8
	// lineEnd is the length of the end of a line.
	lineEnd = 2
)

func (b *Body) nextChunk() error {
	if b.pendingCRLF {
		if line, err := readLine(b.r, maxChunkLine); err != nil || line != "" {
			return chunkLineError(err)
		}
	}
	b.pendingCRLF = true
	line, err := readLine(b.r, maxChunkLine)
	if err != nil {
		return chunkLineError(err)
	}
	size := line[:hexDigits(line)]
	n, err := strconv.ParseUint(size, 16, 62)
	if err != nil || !isChunkExtension(line[len(size):]) {
		return ErrMalformed
	}
	b.remaining = int64(n)
	b.lineBytes += int64(len(line)) + 2*lineEnd
	if b.lineBytes > lineBytesSlack+lineBytesPerByte*b.chunkBytes {
		return ErrMalformed
	}
	b.chunkBytes += min(b.remaining, maxCountedChunk)
	if n == 0 {
		return b.skipTrailers()
	}
	return nil
}

// maxCountedChunk keeps the sum of announced sizes within an int64.
const maxCountedChunk = 1 << 30

// hexDigits returns how many hexadecimal digits a string begins with.
func hexDigits(s string) int {
	return len(s) - len(strings.TrimLeft(s, "0123456789abcdefABCDEF"))
}

// isChunkExtension reports whether a string is a list of chunk extensions (RFC 9112, 7.1.1), which may be empty.
func isChunkExtension(s string) bool {
	for s != "" {
		rest, ok := strings.CutPrefix(skipBlanks(s), ";")
		if !ok {
			return false
		}
		name := tokenPrefix(skipBlanks(rest))
		if name == "" {
			return false
		}
		s = skipBlanks(rest)[len(name):]
		value, ok := strings.CutPrefix(skipBlanks(s), "=")
		if !ok {
			continue
		}
		value = skipBlanks(value)
		n := len(tokenPrefix(value))
		if n == 0 {
			n = quotedLength(value)
		}
		if n == 0 {
			return false
		}
		s = value[n:]
	}
	return true
}

func skipBlanks(s string) string { return strings.TrimLeft(s, " \t") }

// tokenPrefix returns the token that a string begins with, "" for none.
func tokenPrefix(s string) string {
	n := 0
	for n < len(s) && isToken(s[n:n+1]) {
		n++
	}
	return s[:n]
}

// quotedLength returns the length of the quoted string that a string begins with, 0 for none.
func quotedLength(s string) int {
	if !strings.HasPrefix(s, `"`) {
		return 0
	}
	for i := 1; i < len(s); i++ {
		switch {
		case s[i] == '"':
			return i + 1
		case s[i] == '\\':
			i++
		}
		if i < len(s) && !isValue(s[i:i+1]) {
			return 0
		}
	}
	return 0
}

// skipTrailers reads and drops the trailers after the last chunk.
func (b *Body) skipTrailers() error {
	for total := 0; total <= maxTrailerBytes; {
		line, err := readLine(b.r, maxChunkLine)
		if err != nil {
			return chunkLineError(err)
		}
		if line == "" {
			b.done = true
			return nil
		}
		if _, ok := parseField(line); !ok {
			return ErrMalformed
		}
		total += len(line) + lineEnd
	}
	return ErrMalformed
}

func chunkLineError(err error) error {
	switch {
	case err == nil, errors.Is(err, ErrHeadTooLarge):
		return ErrMalformed
	default:
		return eofAsTruncated(err)
	}
}

// eofAsTruncated turns the end of the connection into ErrBodyTruncated.
func eofAsTruncated(err error) error {
	if err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrBodyTruncated
	}
	return err
}

// Remaining returns how many bytes of a body with a length have not been read yet.
func (b *Body) Remaining() int64 { return b.remaining }

// ReadAll reads a body of at most limit bytes.
func ReadAll(b *Body, limit int) ([]byte, error) {
	if b.framing == FramingLength && b.remaining > int64(limit) {
		return nil, ErrBodyTooLarge
	}
	if b.framing == FramingLength {
		all := make([]byte, b.remaining)
		_, err := io.ReadFull(b, all)
		return all, eofAsTruncated(err)
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
