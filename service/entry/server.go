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
	goneEvery   = 100 * time.Millisecond
	idleTimeout = 30 * time.Second
	closeEvery  = 10 * time.Millisecond
	// policyExports is the policy under which state is exported; the baselines
	// have no use for it.
	policyExports = config.PolicyDrumpath
)

// Server serves callers.
type Server struct {
	parts   *Dependencies
	ln      net.Listener
	http    *fasthttp.Server
	exports *exporter
	imports *importGroup
	gone    *goneWatch
	goneSub *timer.Subscription
	wg      sync.WaitGroup

	inFlight atomic.Int64
}

// NewServer listens at the settings' entry address.
func NewServer(p *Dependencies, t *timer.Service) (s *Server, err error) {
	defer func() { err = eris.Wrap(err, "entry server") }()
	ln, err := net.Listen("tcp", p.Settings.Entry.Listen.String())
	if err != nil {
		return nil, err
	}
	s = &Server{
		parts:   p,
		ln:      ln,
		exports: newExporter(p),
		imports: newImportGroup(),
		gone:    newGoneWatch(),
	}
	s.goneSub = t.Subscribe(goneEvery, s.gone.check)
	s.http = &fasthttp.Server{
		Handler:               limitBody(s.routes().Handler, int64(p.Settings.Entry.MaxBody)),
		ErrorHandler:          handleError,
		NoDefaultServerHeader: true,
		StreamRequestBody:     true,
		IdleTimeout:           idleTimeout,
		CloseOnShutdown:       true,
	}
	return s, nil
}

func (s *Server) routes() *router.Router {
	r := router.New()
	r.POST("/v1/completions", func(c *fasthttp.RequestCtx) { s.completion(c, false) })
	r.POST("/v1/chat/completions", func(c *fasthttp.RequestCtx) { s.completion(c, true) })
	r.GET("/v1/entries", s.entries)
	r.ANY("/v1/services/{path}", s.service)
	r.ANY("/v1/services/{path}/{rest:*}", s.service)
	r.GET("/healthz", s.health)
	r.HandleMethodNotAllowed = true
	r.MethodNotAllowed = func(c *fasthttp.RequestCtx) {
		callerFault(http.StatusMethodNotAllowed, CodeMethod, "%s is not allowed here", c.Method()).write(c)
	}
	r.NotFound = func(c *fasthttp.RequestCtx) {
		callerFault(http.StatusNotFound, CodeNotFound, "there is nothing at %s", c.Path()).write(c)
	}
	return r
}

// drainFactor times the largest body is read on before a body that is too large
// is answered: a caller who is still sending would see a broken connection
// instead of the answer.
const drainFactor = 8

// limitBody reads bodies up to a size and refuses larger ones.
func limitBody(next fasthttp.RequestHandler, most int64) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		stream := c.RequestBodyStream()
		if stream == nil {
			next(c)
			return
		}
		body, err := io.ReadAll(io.LimitReader(stream, most+1))
		if err != nil {
			c.SetConnectionClose()
			callerFault(http.StatusBadRequest, CodeBadRequest, "body: %v", err).write(c)
			return
		}
		if int64(len(body)) > most {
			_, _ = io.CopyN(io.Discard, stream, drainFactor*most) // Whatever comes is refused.
			c.SetConnectionClose()
			callerFault(http.StatusRequestEntityTooLarge, CodeTooLarge, "the body has more than %d bytes", most).write(c)
			return
		}
		c.Request.SetBodyRaw(body)
		next(c)
	}
}

// handleError answers what is not a request that could be read.
func handleError(c *fasthttp.RequestCtx, err error) {
	callerFault(http.StatusBadRequest, CodeBadRequest, "%v", err).write(c)
}

// Addr is where the server listens.
func (s *Server) Addr() netip.AddrPort {
	return s.ln.Addr().(*net.TCPAddr).AddrPort() // It listens on TCP.
}

// Start serves until Close.
func (s *Server) Start() {
	s.wg.Go(func() {
		if err := s.http.Serve(s.ln); err != nil {
			s.parts.Log.Error("entry server failed", "err", err)
		}
	})
}

// InFlight is how many requests are being served.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Drain waits until no request is being served, or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	for s.inFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(closeEvery):
		}
	}
	return nil
}

// Close stops serving; requests being served are finished first.
func (s *Server) Close() {
	_ = s.http.Shutdown() // The listener is closed either way.
	s.wg.Wait()
	s.goneSub.Close()
	s.exports.close()
}

func (s *Server) health(c *fasthttp.RequestCtx) {
	if s.parts.State.State().Version == 0 {
		refusal(CodeNotReady, noUpstreamRetry, "no configuration yet").write(c)
	}
}

// terms reads the headers of a request and counts it.
func (s *Server) terms(c *fasthttp.RequestCtx) (Terms, *Failure) {
	s.parts.Metrics.Requests.Add(1)
	id := string(c.Request.Header.Peek(headerRequestID))
	if id == "" || len(id) > maxKeyLength {
		id = rand.Text()
	}
	return parseTerms(c, s.parts.State.State(), id)
}

// fail answers with a failure and counts it.
func (s *Server) fail(c *fasthttp.RequestCtx, f *Failure) {
	switch {
	case f.replay != nil:
		s.parts.Metrics.Replayed.Add(1)
	case f.Ran == NotRun:
		s.parts.Metrics.Refused.Add(1)
	default:
		s.parts.Metrics.Failed.Add(1)
	}
	f.write(c)
}

// callContext returns a context that ends when the caller goes away.
func (s *Server) callContext(c *fasthttp.RequestCtx) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	remove := s.gone.add(c.Conn(), cancel)
	return ctx, func() {
		remove()
		cancel()
	}
}

func (s *Server) leave() { s.inFlight.Add(-1) }

// completion serves one completion.
func (s *Server) completion(c *fasthttp.RequestCtx, chat bool) {
	s.inFlight.Add(1)
	call, f := s.parse(c, chat)
	if f != nil {
		s.leave()
		s.fail(c, f)
		return
	}
	r := &Run{
		parts:   s.parts,
		call:    call,
		imports: s.imports,
		log:     s.parts.Log.With("request", call.RequestID, "organisation", call.Organisation.Name),
	}
	r.ctx, r.cancel = s.callContext(c)
	if f := r.start(); f != nil {
		r.Close()
		s.leave()
		f.RequestID = call.RequestID
		s.fail(c, f)
		return
	}
	c.Response.Header.Set(headerRequestID, call.RequestID)
	if call.Stream {
		s.answerStream(c, r)
		return
	}
	defer s.leave()
	defer r.Close()
	s.answerWhole(c, r)
}

func (s *Server) parse(c *fasthttp.RequestCtx, chat bool) (*Call, *Failure) {
	state := s.parts.State.State()
	if state.Version == 0 {
		return nil, refusal(CodeNotReady, noUpstreamRetry, "no configuration yet")
	}
	terms, f := s.terms(c)
	if f != nil {
		return nil, f
	}
	return parseCall(c, state, terms, chat)
}
