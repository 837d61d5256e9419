package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// pathFault is the path of the calls that set faults.
const pathFault = "/fault"

// httpServer is the HTTP server that each stand-in embeds.
type httpServer struct {
	fault   currentFault
	router  *router.Router
	server  *fasthttp.Server
	ln      net.Listener
	onFault func(Fault)
	wg      sync.WaitGroup
}

// newHTTPServer listens at addr; port 0 selects a free port.
func newHTTPServer(addr netip.AddrPort) (*httpServer, error) {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	h := &httpServer{router: router.New(), ln: ln}
	h.router.POST(pathFault, h.handleFault)
	h.server = &fasthttp.Server{
		Handler:               h.handle,
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    64 << 20,
		IdleTimeout:           time.Minute,
		Concurrency:           fasthttp.DefaultConcurrency,
		CloseOnShutdown:       true,
	}
	return h, nil
}

// start serves until Close.
func (h *httpServer) start() {
	h.wg.Go(func() { _ = h.server.Serve(h.ln) }) // Close stops it.
}

// Addr returns the address that the stand-in listens at.
func (h *httpServer) Addr() netip.AddrPort {
	return h.ln.Addr().(*net.TCPAddr).AddrPort() // The listener is a TCP listener.
}

// SetFault replaces the current fault, as POST /fault does.
func (h *httpServer) SetFault(f Fault) {
	h.fault.set(f)
	if h.onFault != nil {
		h.onFault(f)
	}
}

// Close stops serving and waits for the calls in progress.
func (h *httpServer) Close() {
	_ = h.server.Shutdown() // Stand-ins persist nothing that an unclean stop could lose.
	h.wg.Wait()
}

func (h *httpServer) handle(c *fasthttp.RequestCtx) {
	if string(c.Path()) == pathFault {
		h.router.Handler(c)
		return
	}
	effect := h.fault.applyTo(string(c.Path()))
	time.Sleep(effect.latency)
	if effect.dropCall {
		dropConnection(c)
		return
	}
	if !effect.loseAnswer {
		h.router.Handler(c)
		return
	}
	if effect.executionDelay == 0 {
		h.router.Handler(c)
		dropConnection(c)
		return
	}
	unanswered := &fasthttp.RequestCtx{}
	c.Request.CopyTo(&unanswered.Request)
	h.wg.Go(func() {
		time.Sleep(effect.executionDelay)
		h.router.Handler(unanswered)
	})
	dropConnection(c)
}

// dropConnection closes the connection without an answer.
func dropConnection(c *fasthttp.RequestCtx) {
	c.Response.Reset()
	c.HijackSetNoResponse(true)
	c.Hijack(func(conn net.Conn) { _ = conn.Close() }) // The connection is of no further use.
}

func (h *httpServer) handleFault(c *fasthttp.RequestCtx) {
	var f Fault
	if !decode(c, &f) {
		return
	}
	h.SetFault(f)
}

// decode parses a JSON body; if that fails, it answers with an error and
// returns false.
func decode(c *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(c.PostBody(), v); err != nil {
		c.Error(err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// reply answers with a status code and v as JSON.
func reply(c *fasthttp.RequestCtx, code int, v any) {
	c.SetStatusCode(code)
	c.SetContentType("application/json")
	_ = json.NewEncoder(c).Encode(v) // Writing to the buffered body does not fail.
}

// Loopback selects a free port of the loopback interface.
var Loopback = netip.MustParseAddrPort("127.0.0.1:0")
