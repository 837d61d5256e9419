package peer

import (
	"bufio"
	"bytes"
	"crypto/subtle"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/http1"
)

// A connection whose first byte is streamMarker is a stream: after the marker and the peer key,
// preceded by its length, it carries bytes that the handler of streams interprets. No JSON-RPC
// message has the length 0, so a node of a release without streams closes the connection.
const (
	streamMarker = 0
	// streamAckTimeout ends a stream whose peer acknowledges nothing, maxKeySize bounds the key.
	streamAckTimeout = 900 * time.Millisecond
	maxKeySize       = 1 << 10
	// streamHelloTimeout is how long a connection may take to send its key.
	streamHelloTimeout = 2 * time.Second
)

// StreamFunc serves a stream and returns when it has ended; the caller closes the connection.
type StreamFunc func(conn net.Conn, r *bufio.Reader)

// HandleStreams sets the function that serves streams; it must be called before Start.
func (s *Server) HandleStreams(fn StreamFunc) { s.streams = fn }

// DialStream opens a stream to the node at addr. A key that the node does not accept shows in that
// it closes the connection.
func (c *Client) DialStream(addr netip.AddrPort, timeout time.Duration) (conn net.Conn, err error) {
	defer func() { err = eris.Wrapf(err, "open stream to %s", addr) }()
	if conn, err = http1.Dial(addr.String(), timeout, streamAckTimeout); err != nil {
		return nil, err
	}
	hello := append(binary.AppendUvarint([]byte{streamMarker}, uint64(len(c.key))), c.key...)
	if _, err = conn.Write(hello); err != nil {
		_ = conn.Close() // The error of writing is returned.
		return nil, err
	}
	return conn, nil
}

// serveStream serves a connection whose marker has been read.
func (s *Server) serveStream(conn net.Conn) {
	r := bufio.NewReader(conn)
	if err := s.readKey(conn, r); err != nil {
		s.log.Warn("stream refused", "peer", conn.RemoteAddr(), "err", err)
		return
	}
	s.streams(conn, r)
}

// readKey reads the peer key and checks it.
func (s *Server) readKey(conn net.Conn, r *bufio.Reader) error {
	_ = conn.SetReadDeadline(time.Now().Add(streamHelloTimeout)) // If it fails, so does the next read.
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > maxKeySize {
		return eris.Errorf("key of %d bytes", size)
	}
	key := make([]byte, size)
	if _, err := io.ReadFull(r, key); err != nil {
		return err
	}
	want := s.secrets[RolePeer]
	if want == "" || s.streams == nil || subtle.ConstantTimeCompare([]byte(want), key) != 1 {
		return eris.New("wrong key, or streams are not served")
	}
	return conn.SetReadDeadline(time.Time{})
}

// unreadConn is a connection of which some bytes have been read already.
type unreadConn struct {
	net.Conn

	unread *bytes.Reader
}

// Read implements net.Conn.
func (c *unreadConn) Read(b []byte) (int, error) {
	if c.unread.Len() > 0 {
		return c.unread.Read(b)
	}
	return c.Conn.Read(b)
}
