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

// pathFault is where faults are switched.
const pathFault = "/fault"

// host is the HTTP server that each stand-in is built on.
type host struct {
	faults  faults
	router  *router.Router
	server  *fasthttp.Server
	ln      net.Listener
	onFault func(Fault)
	wg      sync.WaitGroup
}

// newHost listens at addr; port 0 picks a free one.
func newHost(addr netip.AddrPort) (*host, error) {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	h := &host{router: router.New(), ln: ln}
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
func (h *host) start() {
	h.wg.Go(func() { _ = h.server.Serve(h.ln) }) // Close ends it.
}

// Addr is where the stand-in listens.
func (h *host) Addr() netip.AddrPort {
	return h.ln.Addr().(*net.TCPAddr).AddrPort() // It listens on TCP.
}

// SetFault switches faults, as POST /fault does.
func (h *host) SetFault(f Fault) {
	h.faults.set(f)
	if h.onFault != nil {
		h.onFault(f)
	}
}

// Close stops serving and waits.
func (h *host) Close() {
	_ = h.server.Shutdown() // Stand-ins keep nothing.
	h.wg.Wait()
}

func (h *host) handle(c *fasthttp.RequestCtx) {
	if string(c.Path()) == pathFault {
		h.router.Handler(c)
		return
	}
	v := h.faults.judge(string(c.Path()))
	time.Sleep(v.wait)
	if v.drop {
		dropConnection(c)
		return
	}
	if !v.lose {
		h.router.Handler(c)
		return
	}
	if v.late == 0 {
		h.router.Handler(c)
		dropConnection(c)
		return
	}
	late := &fasthttp.RequestCtx{}
	c.Request.CopyTo(&late.Request)
	h.wg.Go(func() {
		time.Sleep(v.late)
		h.router.Handler(late)
	})
	dropConnection(c)
}

// dropConnection ends the connection without an answer.
func dropConnection(c *fasthttp.RequestCtx) {
	c.Response.Reset()
	c.HijackSetNoResponse(true)
	c.Hijack(func(conn net.Conn) { _ = conn.Close() }) // It is dropped.
}

func (h *host) handleFault(c *fasthttp.RequestCtx) {
	var f Fault
	if !decode(c, &f) {
		return
	}
	h.SetFault(f)
}

// decode reads a JSON body; if it can't, it answers and returns false.
func decode(c *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(c.PostBody(), v); err != nil {
		c.Error(err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(c *fasthttp.RequestCtx, code int, v any) {
	c.SetStatusCode(code)
	c.SetContentType("application/json")
	_ = json.NewEncoder(c).Encode(v) // The body is memory.
}

// Loopback is a free port of the loopback interface.
var Loopback = netip.MustParseAddrPort("127.0.0.1:0")
