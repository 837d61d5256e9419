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
	// upstreamDial bounds a new connection to a replica, which takes some
	// milliseconds; a lost opening packet is sent again after a second.
	upstreamDial = 400 * time.Millisecond
	// upstreamUnacked ends a connection whose peer acknowledges nothing: it has
	// lost power or the way there is cut. It is longer than a few packets lost
	// in a row take.
	upstreamUnacked = 900 * time.Millisecond
	upstreamBuffer  = 8 << 10
	// upstreamHead bounds the head of a replica's answer.
	upstreamHead = 64 << 10
	// idleShare is the part of a replica's idle time after which a connection
	// is no longer used: the replica may be closing it just then.
	idleShare = 0.6
	// idleDefault is used where the replica tells none.
	idleDefault = 4 * time.Second
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
	conn net.Conn
	r    *bufio.Reader
	idle time.Duration // After which it is not used again.
	at   time.Time     // Resting since.
}

func dialUpstream(addr string) (*upstreamConn, error) {
	conn, err := http1.Dial(addr, upstreamDial, upstreamUnacked)
	if err != nil {
		return nil, err
	}
	return &upstreamConn{
		conn: conn,
		r:    bufio.NewReaderSize(conn, upstreamBuffer),
		idle: time.Duration(idleShare * float64(idleDefault)),
	}, nil
}

// usable says whether a resting connection may carry another request; bytes
// that came while it rested belong to no request.
func (c *upstreamConn) usable(now time.Time, most time.Duration) bool {
	return now.Sub(c.at) < min(c.idle, most) && c.r.Buffered() == 0 && http1.Idle(c.conn)
}

// keepFrom notes for how long the replica keeps a resting connection.
func (c *upstreamConn) keepFrom(h *http1.Head) {
	for param := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(param), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n > 0 {
			c.idle = time.Duration(idleShare * float64(n) * float64(time.Second))
		}
	}
}

func (c *upstreamConn) close() { _ = c.conn.Close() } // Nothing is left to be done with it.

// errCrossed says that too many answers of other requests came first.
var errCrossed = errors.New("answers of other requests in the place of this one's")

// surplusAnswers is how many answers of other requests are read over. A replica
// may send one twice, the second one late; more say that the connection is of no
// use.
const surplusAnswers = 2

// readAnswer reads the head of the answer to a request, past surplus answers of
// earlier ones.
func (c *upstreamConn) readAnswer(method, id string, codec Codec) (h *http1.Head, b *http1.Body, crossed bool, err error) {
	for range surplusAnswers + 1 {
		h, err = http1.ReadResponse(c.r, upstreamHead)
		if err != nil {
			return nil, nil, crossed, noAnswer(err)
		}
		if h.Status < 200 {
			// Interim answers promise nothing.
			continue
		}
		b, err = http1.ResponseBody(h, method, c.r)
		if err != nil {
			return nil, nil, crossed, err
		}
		if codec.ResponseInfo(h).RequestID == id {
			return h, b, crossed, nil
		}
		crossed = true
		if b.Framing() == http1.FramingClose {
			break
		}
		if _, err := io.Copy(io.Discard, b); err != nil {
			return nil, nil, crossed, err
		}
	}
	return nil, nil, crossed, errCrossed
}

// noAnswer turns an orderly end in place of an answer into an error.
func noAnswer(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
