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
)

// maxConcurrent bounds the calls served at once on one connection.
const maxConcurrent = 64

// HandlerFunc serves one method; params are the call's, the result is encoded
// as JSON.
type HandlerFunc func(ctx context.Context, params json.RawMessage) (any, error)

// Handle makes a HandlerFunc of a function with a typed request.
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

	mu     sync.Mutex
	conns  map[*jsonrpc2.Conn]struct{}
	closed bool
}

// NewServer listens at addr; secrets has one for each role that may call.
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
		conns:    map[*jsonrpc2.Conn]struct{}{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s, nil
}

// Addr is where the server listens.
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
	_ = s.ln.Close() // Serving ends all the same.
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close() // The peer sees it.
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
			time.Sleep(acceptPause)
			continue
		}
		s.wg.Go(func() { s.serve(conn) })
	}
}

const acceptPause = 10 * time.Millisecond

func (s *Server) serve(conn net.Conn) {
	h := &connHandler{server: s, slots: make(chan struct{}, maxConcurrent)}
	c := jsonrpc2.NewConn(s.ctx, newStream(newTimedConn(conn)), h, jsonrpc2.SetLogger(rpcLog{s.log}))
	s.mu.Lock()
	if s.closed {
		_ = c.Close() // The peer sees it.
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	<-c.DisconnectNotify()
	h.end()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// rpcLog takes what the library logs of broken connections, which are ordinary
// here, into the debug log.
type rpcLog struct{ log *slog.Logger }

// Printf implements jsonrpc2.Logger.
func (l rpcLog) Printf(format string, v ...any) { l.log.Debug(fmt.Sprintf(format, v...)) }

// newStream frames JSON-RPC objects by a length.
func newStream(conn *timedConn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(conn, limitedCodec{conn: conn})
}

// maxObject bounds one message, so that a peer can't have a node allocate
// without end.
const maxObject = 64 << 20

// limitedCodec is the library's varint framing with a bound on length.
type limitedCodec struct {
	conn *timedConn
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c limitedCodec) ReadObject(r *bufio.Reader, v any) error {
	const maxVarint = 5
	head, err := r.Peek(1)
	for n := 1; err == nil && n < maxVarint && head[n-1] >= 0x80; n++ {
		head, err = r.Peek(n + 1)
	}
	if err != nil {
		return err
	}
	if size, ok := uvarint(head); !ok || size > maxObject {
		return eris.Errorf("message of %d bytes is too long", size)
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
	defer c.conn.decodes(size >= largeAnswer)()
	if u, ok := v.(json.Unmarshaler); ok {
		// It checks the whole by itself: called through the library that is done twice.
		return u.UnmarshalJSON(message.Bytes())
	}
	return json.Unmarshal(message.Bytes(), v)
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (c limitedCodec) WriteObject(w io.Writer, v any) (err error) {
	var message []byte
	if m, ok := v.(json.Marshaler); ok {
		message, err = m.MarshalJSON() // As above.
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

func uvarint(b []byte) (size uint64, ok bool) {
	for i, x := range b {
		size |= uint64(x&0x7f) << (7 * i)
		if x < 0x80 {
			return size, true
		}
	}
	return size, false
}

// connHandler serves one connection; its role is set by the first call.
type connHandler struct {
	server *Server
	slots  chan struct{}
	role   Role // Only touched by the reading goroutine.

	mu    sync.Mutex
	ended bool
	wg    sync.WaitGroup
}

// end waits for the calls that are being served; what is still read from the
// connection starts none, which nobody would wait for.
func (h *connHandler) end() {
	h.mu.Lock()
	h.ended = true
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
		_ = c.Reply(ctx, req.ID, struct{}{}) // The caller sees it.
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
	if h.ended {
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
	_ = c.Reply(ctx, req.ID, struct{}{}) // The caller sees it.
}

func (h *connHandler) refuse(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	e := &jsonrpc2.Error{Code: errUnauthorised, Message: "not authorised for " + req.Method}
	if h.role != "" {
		e = &jsonrpc2.Error{Code: errUnknownMethod, Message: "unknown method " + req.Method}
	}
	_ = c.ReplyWithError(ctx, req.ID, e) // The caller sees it.
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
		_ = c.ReplyWithError(ctx, req.ID, rpcError(err)) // The caller sees it.
		return
	}
	reply(ctx, c, req.ID, result)
}

// reply sends an answer, and says so before if it is large: it takes long to be put into its
// message on a busy machine, and its caller, who hears nothing meanwhile, would give up and ask
// for it again.
func reply(ctx context.Context, c *jsonrpc2.Conn, id jsonrpc2.ID, result any) {
	raw, packed := result.(json.RawMessage)
	if !packed {
		var err error
		if raw, err = json.Marshal(result); err != nil {
			_ = c.ReplyWithError(ctx, id, rpcError(err)) // The caller sees it.
			return
		}
	}
	if len(raw) >= largeAnswer {
		_ = c.Notify(ctx, methodComing, nil) // The answer shows if the connection has ended.
	}
	_ = c.SendResponse(ctx, &jsonrpc2.Response{ID: id, Result: &raw}) // The caller sees it.
}

// largeAnswer is from how many bytes on an answer is told of before.
const largeAnswer = 64 << 10

// Coded is an error that tells callers its kind; the data can be decoded into
// the same type.
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

// UnknownMethod says whether a call failed as the node does not know the method: it may
// be of another version.
func UnknownMethod(err error) bool {
	var e *jsonrpc2.Error
	return errors.As(err, &e) && e.Code == errUnknownMethod
}
