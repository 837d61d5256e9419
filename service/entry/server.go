package entry

import (
	"context"
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/router"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/timer"
)

const (
	disconnectCheckInterval = 100 * time.Millisecond
	idleTimeout             = 30 * time.Second
	drainPollInterval       = 10 * time.Millisecond
	// exportingPolicy is the only policy that exports KV caches; the baselines
	// don't use exported ones.
	exportingPolicy = config.PolicyDrumpath
)

// Server is the HTTP server for clients.
type Server struct {
	deps            *Dependencies
	ln              net.Listener
	http            *fasthttp.Server
	exports         *exporter
	imports         *importGroup
	disconnects     *disconnectWatcher
	disconnectTimer *timer.Subscription
	wg              sync.WaitGroup

	inFlight atomic.Int64
}

// NewServer listens at the settings' entry address.
func NewServer(deps *Dependencies, timers *timer.Service) (s *Server, err error) {
	defer func() { err = eris.Wrap(err, "entry server") }()
	ln, err := net.Listen("tcp", deps.Settings.Entry.Listen.String())
	if err != nil {
		return nil, err
	}
	s = &Server{
		deps:        deps,
		ln:          ln,
		exports:     newExporter(deps),
		imports:     newImportGroup(),
		disconnects: newDisconnectWatcher(),
	}
	s.disconnectTimer = timers.Subscribe(disconnectCheckInterval, s.disconnects.cancelDisconnected)
	s.http = &fasthttp.Server{
		Handler:               limitBody(s.routes().Handler, int64(deps.Settings.Entry.MaxBody)),
		ErrorHandler:          writeParseError,
		NoDefaultServerHeader: true,
		StreamRequestBody:     true,
		IdleTimeout:           idleTimeout,
		CloseOnShutdown:       true,
	}
	return s, nil
}

func (s *Server) routes() *router.Router {
	r := router.New()
	r.POST("/v1/completions", func(c *fasthttp.RequestCtx) { s.handleCompletion(c, false) })
	r.POST("/v1/chat/completions", func(c *fasthttp.RequestCtx) { s.handleCompletion(c, true) })
	r.GET("/v1/entries", s.handleEntries)
	r.ANY("/v1/services/{path}", s.handleService)
	r.ANY("/v1/services/{path}/{rest:*}", s.handleService)
	r.GET("/healthz", s.handleHealth)
	r.HandleMethodNotAllowed = true
	r.MethodNotAllowed = func(c *fasthttp.RequestCtx) {
		clientError(http.StatusMethodNotAllowed, CodeMethodNotAllowed, "%s is not allowed here", c.Method()).write(c)
	}
	r.NotFound = func(c *fasthttp.RequestCtx) {
		clientError(http.StatusNotFound, CodeNotFound, "there is nothing at %s", c.Path()).write(c)
	}
	return r
}

// drainFactor times the body limit is read and discarded before a request with a body
// that is too large is refused: a client that is still sending would see a broken
// connection instead of the answer.
const drainFactor = 8

// limitBody reads the body and refuses one of more than maxBytes.
func limitBody(next fasthttp.RequestHandler, maxBytes int64) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		stream := c.RequestBodyStream()
		if stream == nil {
			next(c)
			return
		}
		body, err := io.ReadAll(io.LimitReader(stream, maxBytes+1))
		if err != nil {
			c.SetConnectionClose()
			clientError(http.StatusBadRequest, CodeBadRequest, "body: %v", err).write(c)
			return
		}
		if int64(len(body)) > maxBytes {
			_, _ = io.CopyN(io.Discard, stream, drainFactor*maxBytes) // The request is refused either way.
			c.SetConnectionClose()
			clientError(http.StatusRequestEntityTooLarge, CodeTooLarge, "the body has more than %d bytes", maxBytes).write(c)
			return
		}
		c.Request.SetBodyRaw(body)
		next(c)
	}
}

// writeParseError answers a request that could not be parsed.
func writeParseError(c *fasthttp.RequestCtx, err error) {
	clientError(http.StatusBadRequest, CodeBadRequest, "%v", err).write(c)
}

// Addr returns the address at which the server listens.
func (s *Server) Addr() netip.AddrPort {
	return s.ln.Addr().(*net.TCPAddr).AddrPort() // It listens on TCP.
}

// Start serves until Close.
func (s *Server) Start() {
	s.wg.Go(func() {
		if err := s.http.Serve(s.ln); err != nil {
			s.deps.Log.Error("entry server failed", "err", err)
		}
	})
}

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Drain waits until no request is being served, or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	for s.inFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPollInterval):
		}
	}
	return nil
}

// Close stops serving; requests being served are finished first.
func (s *Server) Close() {
	_ = s.http.Shutdown() // The listener is closed either way.
	s.wg.Wait()
	s.disconnectTimer.Close()
	s.exports.close()
}

func (s *Server) handleHealth(c *fasthttp.RequestCtx) {
	if s.deps.State.State().Version == 0 {
		refusal(CodeNotReady, noUpstreamRetryAfter, "no configuration yet").write(c)
	}
}

// requestMeta counts a request and reads its headers.
func (s *Server) requestMeta(c *fasthttp.RequestCtx) (RequestMeta, *Failure) {
	s.deps.Metrics.Requests.Add(1)
	id := string(c.Request.Header.Peek(headerRequestID))
	if id == "" || len(id) > maxKeyLength {
		id = rand.Text()
	}
	return parseRequestMeta(c, s.deps.State.State(), id)
}

// fail counts a failure and answers with it.
func (s *Server) fail(c *fasthttp.RequestCtx, f *Failure) {
	switch {
	case f.replay != nil:
		s.deps.Metrics.Replayed.Add(1)
	case f.Ran == NotRun:
		s.deps.Metrics.Refused.Add(1)
	default:
		s.deps.Metrics.Failed.Add(1)
	}
	f.write(c)
}

// callContext returns a context that is canceled when the client disconnects.
func (s *Server) callContext(c *fasthttp.RequestCtx) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	remove := s.disconnects.add(c.Conn(), cancel)
	return ctx, func() {
		remove()
		cancel()
	}
}

func (s *Server) requestDone() { s.inFlight.Add(-1) }

// handleCompletion serves a completion or a chat completion.
func (s *Server) handleCompletion(c *fasthttp.RequestCtx, chat bool) {
	s.inFlight.Add(1)
	call, f := s.parse(c, chat)
	if f != nil {
		s.requestDone()
		s.fail(c, f)
		return
	}
	r := &Run{
		deps:    s.deps,
		call:    call,
		imports: s.imports,
		log:     s.deps.Log.With("request", call.RequestID, "organisation", call.Organisation.Name),
	}
	r.ctx, r.cancel = s.callContext(c)
	if f := r.start(); f != nil {
		r.Close()
		s.requestDone()
		f.RequestID = call.RequestID
		s.fail(c, f)
		return
	}
	c.Response.Header.Set(headerRequestID, call.RequestID)
	if call.Stream {
		s.sendStream(c, r)
		return
	}
	defer s.requestDone()
	defer r.Close()
	s.sendWhole(c, r)
}

func (s *Server) parse(c *fasthttp.RequestCtx, chat bool) (*Call, *Failure) {
	state := s.deps.State.State()
	if state.Version == 0 {
		return nil, refusal(CodeNotReady, noUpstreamRetryAfter, "no configuration yet")
	}
	meta, f := s.requestMeta(c)
	if f != nil {
		return nil, f
	}
	return parseCall(c, state, meta, chat)
}
