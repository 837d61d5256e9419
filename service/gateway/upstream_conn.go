package gateway

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/drumpath/drumpath/pkg/http1"
)

const (
	// upstreamDialTimeout bounds a new connection to a replica, which takes some
	// milliseconds; a lost opening packet is sent again after a second.
	upstreamDialTimeout = 400 * time.Millisecond
	// upstreamAckTimeout ends a connection whose peer acknowledges nothing: it has
	// lost power or the way there is cut. It is longer than a few packets lost
	// in a row take.
	upstreamAckTimeout = 900 * time.Millisecond
	upstreamBufferSize = 8 << 10
	// maxUpstreamHeadBytes bounds the head of a replica's answer.
	maxUpstreamHeadBytes = 64 << 10
	// idleTimeoutShare is the part of a replica's idle time after which a connection
	// is no longer used: the replica may be closing it just then.
	idleTimeoutShare = 0.6
	// defaultIdleTimeout is used where the replica tells none.
	defaultIdleTimeout = 4 * time.Second
)

// upstreamConn is one connection to a replica. It carries one request at a time.
//
//	state     entered by                 left by
//	resting   dial, or a whole answer    a request, a byte, a close, its age
//	sending   a request                  the whole request written
//	waiting   the request written        the head of its answer
//	reading   the head                   the end of the body
//
// Only a connection whose request was written whole and whose answer was framed
// and read to its end goes back to resting. In every other case it is closed:
// what comes next on it could belong to anything.
type upstreamConn struct {
	conn      net.Conn
	r         *bufio.Reader
	maxIdle   time.Duration // After which it is not used again.
	idleSince time.Time     // Resting since.
}

func dialUpstream(addr string) (*upstreamConn, error) {
	conn, err := http1.Dial(addr, upstreamDialTimeout, upstreamAckTimeout)
	if err != nil {
		return nil, err
	}
	return &upstreamConn{
		conn:    conn,
		r:       bufio.NewReaderSize(conn, upstreamBufferSize),
		maxIdle: time.Duration(idleTimeoutShare * float64(defaultIdleTimeout)),
	}, nil
}

// usable says whether a resting connection may carry another request; bytes
// that came while it rested belong to no request.
func (c *upstreamConn) usable(now time.Time, maxIdle time.Duration) bool {
	return now.Sub(c.idleSince) < min(c.maxIdle, maxIdle) && c.r.Buffered() == 0 && http1.Idle(c.conn)
}

// readKeepAlive notes for how long the replica keeps a resting connection.
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

func (c *upstreamConn) close() { _ = c.conn.Close() } // Nothing is left to be done with it.

// errMismatched says that too many answers of other requests came first.
var errMismatched = errors.New("answers of other requests in the place of this one's")

// maxMismatched is how many answers of other requests are read over. A replica
// may send one twice, the second one late; more say that the connection is of no
// use.
const maxMismatched = 2

// readAnswer reads the head of the answer to a request, past surplus answers of
// earlier ones.
func (c *upstreamConn) readAnswer(method, id string, codec Codec) (h *http1.Head, b *http1.Body, mismatched bool, err error) {
	for range maxMismatched + 1 {
		h, err = http1.ReadResponse(c.r, maxUpstreamHeadBytes)
		if err != nil {
			return nil, nil, mismatched, unexpectedEOF(err)
		}
		if h.Status < 200 {
			// Interim answers promise nothing.
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
		if b.Framing() == http1.FramingClose {
			break
		}
		if _, err := io.Copy(io.Discard, b); err != nil {
			return nil, nil, mismatched, err
		}
	}
	return nil, nil, mismatched, errMismatched
}

// unexpectedEOF turns an orderly end in place of an answer into an error.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
