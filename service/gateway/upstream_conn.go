package gateway

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/drumpath/drumpath/pkg/http1"
)

const (
	// upstreamDialTimeout bounds connecting to a replica, which takes some milliseconds;
	// a lost SYN would be sent again after a second.
	upstreamDialTimeout = 400 * time.Millisecond
	// upstreamAckTimeout ends a connection whose peer acknowledges nothing, because it has
	// lost power or the network path is down. It is longer than it takes to recover from
	// the loss of a few packets in a row.
	upstreamAckTimeout = 900 * time.Millisecond
	upstreamBufferSize = 8 << 10
	// maxUpstreamHeadBytes bounds the head of a replica's answer.
	maxUpstreamHeadBytes = 64 << 10
	// idleTimeoutShare is the share of a replica's idle timeout after which a connection
	// is not used any more: the replica may be about to close it.
	idleTimeoutShare = 0.6
	// defaultIdleTimeout is assumed if the replica sends no Keep-Alive header.
	defaultIdleTimeout = 4 * time.Second
	// maxHeadTime is how long a replica may take for the head of an answer from its first byte on, or
	// for an answer to another request that is skipped.
	maxHeadTime = 2500 * time.Millisecond
	// maxSkippedBytes bounds the body of an answer to another request.
	maxSkippedBytes = 1 << 20
)

// upstreamConn is one connection to a replica. It carries one request at a time.
//
//	state     entered on                 left on
//	idle      dial, or a whole answer    a request, a byte, a close, its age
//	sending   a request                  the whole request written
//	waiting   the request written        the head of its answer
//	reading   the head                   the end of the body
//
// Only a connection whose request was written completely and whose answer was framed and
// read to its end becomes idle again. In every other case it is closed, as the next
// bytes on it could belong to any request.
type upstreamConn struct {
	conn net.Conn
	// contact is that of the replica, which all connections to it share; nil in tests.
	contact *contact
	heardAt atomic.Int64 // When a byte last came, or the connection was made; see sinceStart.
	// abortCause is why the connection was aborted while it carried a request, nil unless it was.
	abortCause atomic.Pointer[error]
	// flight is the request that it carries; upstreamConns.begin and end set it.
	flight    *flight
	r         *bufio.Reader
	maxIdle   time.Duration // Longest idle time after which it is used again.
	idleSince time.Time
}

func newUpstreamConn(conn net.Conn) *upstreamConn {
	c := &upstreamConn{
		conn:    conn,
		maxIdle: time.Duration(idleTimeoutShare * float64(defaultIdleTimeout)),
	}
	c.r = bufio.NewReaderSize(c, upstreamBufferSize)
	return c
}

// dialTCP makes a TCP connection to a replica.
func dialTCP(addr netip.AddrPort, timeout time.Duration) (net.Conn, error) {
	return http1.Dial(addr.String(), timeout, upstreamAckTimeout)
}

// Read reads from the connection and records that the replica was heard.
func (c *upstreamConn) Read(b []byte) (int, error) {
	n, err := c.conn.Read(b)
	if n > 0 {
		c.recordHeard()
	}
	if cause := c.abortCause.Load(); err != nil && cause != nil {
		err = *cause
	}
	return n, err
}

// usable reports whether an idle connection may carry another request; bytes that came
// while it was idle belong to no request.
func (c *upstreamConn) usable(now time.Time, maxIdle time.Duration) bool {
	return now.Sub(c.idleSince) < min(c.maxIdle, maxIdle) && !c.silent() && c.r.Buffered() == 0 && http1.Idle(c.conn)
}

// readKeepAlive sets maxIdle from the idle timeout in the Keep-Alive header.
func (c *upstreamConn) readKeepAlive(h *http1.Head) {
	for param := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(param), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n > 0 {
			c.maxIdle = time.Duration(idleTimeoutShare * float64(n) * float64(time.Second))
		}
	}
}

func (c *upstreamConn) close() { _ = c.conn.Close() } // Nothing more is sent or read.

// errMismatched means that too many answers to other requests came first.
var errMismatched = errors.New("received answers to other requests instead of this one")

// maxMismatched is how many answers to other requests are skipped. A replica may send
// one twice, the second time late; more mean that the connection is unusable.
const maxMismatched = 2

// readAnswer reads the head of the answer to a request, skipping answers to other
// requests; mismatched is set if there were any.
func (c *upstreamConn) readAnswer(method, id string, codec Codec) (h *http1.Head, b *http1.Body, mismatched bool, err error) {
	defer c.setReadDeadline(time.Time{})
	for range maxMismatched + 1 {
		if h, err = c.readHead(); err != nil {
			return nil, nil, mismatched, err
		}
		if h.Status < 200 {
			// Interim responses don't mean that the request runs.
			continue
		}
		b, err = http1.ResponseBody(h, method, c.r)
		if err != nil {
			return nil, nil, mismatched, err
		}
		if codec.ResponseInfo(h).RequestID == id {
			return h, b, mismatched, nil
		}
		mismatched = true
		if err = skipBody(b); err != nil {
			return nil, nil, mismatched, err
		}
	}
	return nil, nil, mismatched, errMismatched
}

func (c *upstreamConn) setReadDeadline(t time.Time) {
	_ = c.conn.SetReadDeadline(t) // If it fails, so does the next read.
}

// readHead waits for an answer and reads its head within maxHeadTime, which holds for what is read after it as well
// until the read deadline is set again.
func (c *upstreamConn) readHead() (*http1.Head, error) {
	c.setReadDeadline(time.Time{})
	if _, err := c.r.Peek(1); err != nil {
		return nil, unexpectedEOF(err)
	}
	c.setReadDeadline(time.Now().Add(maxHeadTime))
	h, err := http1.ReadResponse(c.r, maxUpstreamHeadBytes)
	return h, unexpectedEOF(err)
}

// skipBody reads the body of an answer to another request; after an error the connection can't be used.
func skipBody(b *http1.Body) error {
	if b.Framing() == http1.FramingClose {
		return errMismatched
	}
	n, err := io.CopyN(io.Discard, b, maxSkippedBytes+1)
	switch {
	case err == io.EOF:
		return nil
	case err == nil && n > maxSkippedBytes:
		return errMismatched
	default:
		return err
	}
}

// unexpectedEOF turns the end of the connection in place of an answer into an error.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
