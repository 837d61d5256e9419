package peer

import (
	"bufio"
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/drumpath/drumpath/pkg/locks"
)

// maxConcurrent is how many calls are served at once on one connection.
const maxConcurrent = 64

// HandlerFunc serves one method. Its result is encoded as JSON.
type HandlerFunc func(ctx context.Context, params json.RawMessage) (any, error)

// Handle returns a HandlerFunc that decodes the parameters for fn.
func Handle[In, Out any](fn func(ctx context.Context, in In) (Out, error)) HandlerFunc {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var in In
		if err := json.Unmarshal(params, &in); err != nil {
			return nil, eris.Wrap(err, "bad parameters")
		}
		return fn(ctx, in)
	}
}

// Server serves the calls of peers and operators.
type Server struct {
	ln       net.Listener
	log      *slog.Logger
	secrets  map[Role]string
	handlers map[Role]map[string]HandlerFunc
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	streams StreamFunc // Nil if streams are not served.

	mu     locks.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// NewServer listens at addr; secrets has one entry for each role that may call.
func NewServer(addr netip.AddrPort, secrets map[Role]string, log *slog.Logger) (s *Server, err error) {
	defer func() { err = eris.Wrap(err, "peer server") }()
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	s = &Server{
		ln:       ln,
		log:      log,
		secrets:  secrets,
		handlers: map[Role]map[string]HandlerFunc{RolePeer: {}, RoleOperator: {}},
		conns:    map[net.Conn]struct{}{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s, nil
}

// Addr returns the address at which the server listens.
func (s *Server) Addr() netip.AddrPort {
	return s.ln.Addr().(*net.TCPAddr).AddrPort() // It listens on TCP.
}

// Handle sets the function that serves a method for a role; it must be called
// before Start.
func (s *Server) Handle(role Role, method string, fn HandlerFunc) { s.handlers[role][method] = fn }

// Start serves until Close.
func (s *Server) Start() { s.wg.Go(s.accept) }

// Close ends all connections and waits.
func (s *Server) Close() {
	s.cancel()
	_ = s.ln.Close() // Serving ends even if this fails.
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close() // The connection is dropped in any case.
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) accept() {
	for {
		conn, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn("accept failed", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.wg.Go(func() { s.serve(conn) })
	}
}

const acceptRetryDelay = 10 * time.Millisecond

// serve serves a connection until it ends.
func (s *Server) serve(conn net.Conn) {
	s.mu.Lock()
	if s.closed {
		_ = conn.Close() // Reading fails.
	}
	s.conns[conn] = struct{}{}
	s.mu.Unlock()
	defer func() {
		_ = conn.Close() // Nothing more is sent or read.
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	}()
	var first [1]byte
	if _, err := io.ReadFull(conn, first[:]); err != nil {
		return
	}
	if first[0] == streamMarker {
		s.serveStream(conn)
		return
	}
	s.serveCalls(&unreadConn{conn, bytes.NewReader(first[:])})
}

// serveCalls serves the JSON-RPC calls of a connection.
func (s *Server) serveCalls(conn net.Conn) {
	h := &connHandler{server: s, slots: make(chan struct{}, maxConcurrent)}
	c := jsonrpc2.NewConn(s.ctx, newStream(newTimedConn(conn)), h, jsonrpc2.SetLogger(rpcLog{s.log}))
	<-c.DisconnectNotify()
	h.stop()
}

// rpcLog writes the log messages of the JSON-RPC library at debug level: they are about
// broken connections, which are expected here.
type rpcLog struct{ log *slog.Logger }

// Printf implements jsonrpc2.Logger.
func (l rpcLog) Printf(format string, v ...any) { l.log.Debug(fmt.Sprintf(format, v...)) }

// newStream frames JSON-RPC messages with a length prefix.
func newStream(conn *timedConn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(conn, limitedCodec{conn: conn})
}

// maxMessageSize limits the memory that a peer's message can make a node allocate.
const maxMessageSize = 64 << 20

// limitedCodec is the library's varint framing with a limit on the message size.
type limitedCodec struct {
	conn *timedConn
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c limitedCodec) ReadObject(r *bufio.Reader, v any) error {
	const maxVarint = 5
	prefix, err := r.Peek(1)
	for n := 1; err == nil && n < maxVarint && prefix[n-1] >= 0x80; n++ {
		prefix, err = r.Peek(n + 1)
	}
	if err != nil {
		return err
	}
	if size, ok := uvarint(prefix); !ok || size > maxMessageSize {
		return eris.Errorf("message length %d is malformed or exceeds the limit of %d", size, maxMessageSize)
	}
	c.conn.receiving.Store(true)
	defer c.conn.receiving.Store(false)
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	var message bytes.Buffer
	if _, err := io.CopyN(&message, r, int64(size)); err != nil {
		return err
	}
	defer c.conn.startDecoding(size >= largeAnswerSize)()
	if u, ok := v.(json.Unmarshaler); ok {
		// UnmarshalJSON validates its input itself; json.Unmarshal would validate it again.
		return u.UnmarshalJSON(message.Bytes())
	}
	return json.Unmarshal(message.Bytes(), v)
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (c limitedCodec) WriteObject(w io.Writer, v any) (err error) {
	var message []byte
	if m, ok := v.(json.Marshaler); ok {
		message, err = m.MarshalJSON() // json.Marshal would validate the output again.
	} else {
		message, err = json.Marshal(v)
	}
	if err != nil {
		return err
	}
	if _, err := w.Write(binary.AppendUvarint(nil, uint64(len(message)))); err != nil {
		return err
	}
	_, err = w.Write(message)
	return err
}

// uvarint decodes a varint; ok is false if it is incomplete.
func uvarint(b []byte) (size uint64, ok bool) {
	for i, x := range b {
		size |= uint64(x&0x7f) << (7 * i)
		if x < 0x80 {
			return size, true
		}
	}
	return size, false
}

// connHandler serves one connection; the hello call sets its role.
type connHandler struct {
	server *Server
	slots  chan struct{}
	role   Role // Only touched by the reading goroutine.

	mu      locks.Mutex
	stopped bool
	wg      sync.WaitGroup
}

// stop waits for the calls that are being served. Calls that are read from the connection
// later are not started, as nothing would wait for them.
func (h *connHandler) stop() {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	h.wg.Wait()
}

// Handle implements jsonrpc2.Handler; it is called in order of arrival.
func (h *connHandler) Handle(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Method == MethodHello {
		h.hello(ctx, c, req)
		return
	}
	if req.Method == methodPing {
		_ = c.Reply(ctx, req.ID, struct{}{}) // It fails only if the connection has ended.
		return
	}
	fn, ok := h.server.handlers[h.role][req.Method]
	if !ok {
		h.refuse(ctx, c, req)
		return
	}
	h.slots <- struct{}{}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return
	}
	h.wg.Go(func() {
		defer func() { <-h.slots }()
		h.call(ctx, c, req, fn)
	})
}

func (h *connHandler) hello(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var hello Hello
	if req.Params == nil || json.Unmarshal(*req.Params, &hello) != nil {
		h.refuse(ctx, c, req)
		return
	}
	want, known := h.server.secrets[hello.Role]
	if !known || want == "" || subtle.ConstantTimeCompare([]byte(want), []byte(hello.Secret)) != 1 {
		h.server.log.Warn("hello refused", "role", hello.Role)
		h.refuse(ctx, c, req)
		return
	}
	h.role = hello.Role
	_ = c.Reply(ctx, req.ID, struct{}{}) // It fails only if the connection has ended.
}

func (h *connHandler) refuse(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	e := &jsonrpc2.Error{Code: errUnauthorised, Message: "not authorised for " + req.Method}
	if h.role != "" {
		e = &jsonrpc2.Error{Code: errUnknownMethod, Message: "unknown method " + req.Method}
	}
	_ = c.ReplyWithError(ctx, req.ID, e) // It fails only if the connection has ended.
}

func (h *connHandler) call(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request, fn HandlerFunc) {
	params := json.RawMessage("null")
	if req.Params != nil {
		params = *req.Params
	}
	result, err := fn(ctx, params)
	if req.Notif {
		if err != nil {
			h.server.log.Debug("notification failed", "method", req.Method, "err", err)
		}
		return
	}
	if err != nil {
		_ = c.ReplyWithError(ctx, req.ID, rpcError(err)) // It fails only if the connection has ended.
		return
	}
	reply(ctx, c, req.ID, result)
}

// reply sends an answer. A large one is announced first: encoding it takes long on a busy
// machine, and a node that receives nothing meanwhile would give up and ask again.
func reply(ctx context.Context, c *jsonrpc2.Conn, id jsonrpc2.ID, result any) {
	raw, encoded := result.(json.RawMessage)
	if !encoded {
		var err error
		if raw, err = json.Marshal(result); err != nil {
			_ = c.ReplyWithError(ctx, id, rpcError(err)) // It fails only if the connection has ended.
			return
		}
	}
	if len(raw) >= largeAnswerSize {
		_ = c.Notify(ctx, methodLargeAnswer, nil) // If the connection has ended, the answer fails as well.
	}
	_ = c.SendResponse(ctx, &jsonrpc2.Response{ID: id, Result: &raw}) // It fails only if the connection has ended.
}

// largeAnswerSize is the size in bytes from which an answer is announced before it is sent.
const largeAnswerSize = 64 << 10

// Coded is an error with a code by which the calling node can distinguish it. It is sent as the
// data of the JSON-RPC error, and the calling node can decode it into the same type.
type Coded interface {
	error
	Code() int64
}

func rpcError(err error) *jsonrpc2.Error {
	e := &jsonrpc2.Error{Code: errInternal, Message: err.Error()}
	var coded Coded
	if errors.As(err, &coded) {
		e.Code = coded.Code()
		e.Message = coded.Error()
		e.SetError(coded)
	}
	return e
}

// Answered reports whether a call failed by the other node's answer, which is an error.
func Answered(err error) bool {
	var e *jsonrpc2.Error
	return errors.As(err, &e)
}

// UnknownMethod reports whether a call failed because the node does not know the method; it
// may run another version.
func UnknownMethod(err error) bool {
	var e *jsonrpc2.Error
	return errors.As(err, &e) && e.Code == errUnknownMethod
}
