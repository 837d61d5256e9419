package httpjson

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"golang.org/x/sync/semaphore"

	"github.com/drumpath/drumpath/pkg/http1"
)

const (
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 64 << 10
	// maxInterimAnswers is how many interim answers may come before an answer.
	maxInterimAnswers = 4
	readBufferBytes   = 4 << 10
)

// AnswerBudget bounds the answers of several servers while they are read: of one, and of all together.
type AnswerBudget struct {
	perAnswer int64
	all       *semaphore.Weighted
}

// NewAnswerBudget returns a budget of numbers of bytes.
func NewAnswerBudget(perAnswer, all int64) *AnswerBudget {
	return &AnswerBudget{perAnswer: perAnswer, all: semaphore.NewWeighted(all)}
}

// uncountedAnswer is the size in bytes up to which an answer is not counted.
const uncountedAnswer = 64 << 10

var errAnswerTooLarge = errors.New("the answer is too large, or there is no memory for it beside others")

// answerConn has answers read by pkg/http1 before fasthttp gets them, which takes heads for answers that are none by the
// grammar. It gets each answer with a new head, and a body without a length in chunks.
type answerConn struct {
	*progressConn
	r *bufio.Reader
	// method is that of the last request. answered means that its answer has been read.
	method   string
	answered bool
	writeErr error
	// body is that of the answer being read, nil before its head; out are bytes that fasthttp has not read yet.
	body *http1.Body
	out  []byte
	buf  []byte
	// read is how much of the body was read, and reserved how much of that is reserved in the client's budget.
	read     int64
	reserved atomic.Int64
}

func newAnswerConn(conn net.Conn, client *Client) *answerConn {
	c := &progressConn{Conn: conn, client: client}
	return &answerConn{progressConn: c, r: bufio.NewReaderSize(c, readBufferBytes), answered: true, buf: make([]byte, readBufferBytes)}
}

// Write implements net.Conn.
func (c *answerConn) Write(b []byte) (n int, err error) {
	if c.answered {
		if c.r.Buffered() > 0 { // Bytes after an answer belong to none.
			return 0, errClosedWhileIdle
		}
		method, _, _ := bytes.Cut(b, []byte(" "))
		c.method, c.answered = string(method), false
	}
	if n, err = c.progressConn.Write(b); err != nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *answerConn) Read(b []byte) (n int, err error) {
	for len(c.out) == 0 {
		if err := c.fill(); err != nil {
			return 0, err
		}
	}
	n = copy(b, c.out)
	c.out = c.out[n:]
	return n, nil
}

// fill reads the head of an answer, or more of its body.
func (c *answerConn) fill() (err error) {
	switch {
	case c.answered:
		if _, err = c.r.Peek(1); err == nil {
			err = http1.ErrMalformed
		}
		return err
	case c.body == nil:
		return c.readHead()
	default:
		return c.readBody()
	}
}

func (c *answerConn) readHead() (err error) {
	var h *http1.Head
	for range maxInterimAnswers + 1 {
		if h, err = http1.ReadResponse(c.r, maxHeadBytes); err != nil {
			return err
		}
		if h.Status >= http.StatusOK {
			break
		}
	}
	if h.Status < http.StatusOK {
		return http1.ErrMalformed
	}
	if c.body, err = http1.ResponseBody(h, c.method, c.r); err != nil {
		return err
	}
	length := int(c.body.Remaining())
	if c.isChunked() {
		length = http1.NoLength
	}
	c.read = 0
	closes := h.Close() || c.body.Framing() == http1.FramingClose
	c.out = http1.AppendResponse(c.out[:0], h.Status, h.EndToEnd(), length, closes)
	c.endIfDone()
	return nil
}

func (c *answerConn) isChunked() bool {
	return c.body.Framing() == http1.FramingChunked || c.body.Framing() == http1.FramingClose
}

func (c *answerConn) readBody() error {
	n, err := c.body.Read(c.buf)
	c.out = c.out[:0]
	if err := c.reserve(int64(n)); err != nil {
		return err
	}
	switch chunked := c.isChunked(); {
	case n > 0 && chunked:
		c.out = http1.AppendChunk(c.out, c.buf[:n])
	case n > 0:
		c.out = append(c.out, c.buf[:n]...)
	}
	switch {
	case err == io.EOF && c.body.Framing() == http1.FramingClose && c.writeErr != nil:
		// The kernel reports a reset once; the write has got it.
		return http1.ErrBodyTruncated
	case err == io.EOF && c.isChunked():
		c.out = append(c.out, http1.LastChunk...)
	case err != nil && n == 0:
		return err
	}
	c.endIfDone()
	return nil
}

// endIfDone ends the answer if its whole body has been read.
func (c *answerConn) endIfDone() {
	if c.body.Done() {
		c.body, c.answered = nil, true
		c.release()
	}
}

// Close implements net.Conn.
func (c *answerConn) Close() error {
	c.release()
	return c.progressConn.Close()
}

// reserve takes more of an answer from the client's budget.
func (c *answerConn) reserve(n int64) error {
	c.read += n
	b := c.client.budget
	if b == nil || c.read <= uncountedAnswer {
		return nil
	}
	if c.read > b.perAnswer || !b.all.TryAcquire(n) {
		return errAnswerTooLarge
	}
	c.reserved.Add(n)
	return nil
}

// release gives back what the answer has taken from the client's budget.
func (c *answerConn) release() {
	if n := c.reserved.Swap(0); n > 0 {
		c.client.budget.all.Release(n)
	}
}
