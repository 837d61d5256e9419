package gateway

import (
	"encoding/json"
	"net"
	"net/http"

	"github.com/fasthttp/router"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/route"
)

// auxServer serves HTTP other than clients' requests: readiness, the directory and
// metrics.
type auxServer struct {
	ln   net.Listener
	http *fasthttp.Server
	done chan struct{}
}

func newAuxServer(addr string, r *router.Router) (s *auxServer, err error) {
	defer func() { err = eris.Wrap(err, "auxiliary HTTP server") }()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &auxServer{
		ln:   ln,
		http: &fasthttp.Server{Handler: r.Handler, NoDefaultServerHeader: true, CloseOnShutdown: true},
		done: make(chan struct{}),
	}, nil
}

func (s *auxServer) start(g *Gateway) {
	go func() {
		defer close(s.done)
		if err := s.http.Serve(&listener{Listener: s.ln, log: g.log}); err != nil {
			g.log.Error("auxiliary HTTP server failed", "err", err)
		}
	}()
}

// close stops serving. It does not wait for open connections.
func (s *auxServer) close() {
	_ = s.ln.Close() // Serving ends even if this fails.
	<-s.done
}

// readyRoutes serves the platform's readiness check.
func (g *Gateway) readyRoutes() *router.Router {
	r := router.New()
	r.GET(g.platform.Paths.Ready, func(c *fasthttp.RequestCtx) {
		if !g.ready() {
			c.SetStatusCode(http.StatusServiceUnavailable)
		}
	})
	return r
}

// directoryRoutes serves clients that ask which nodes to use.
func (g *Gateway) directoryRoutes() *router.Router {
	r := router.New()
	r.GET(g.platform.Paths.Resolve, func(c *fasthttp.RequestCtx) {
		q := c.QueryArgs()
		hall, region := string(q.Peek(g.platform.Paths.DataHall)), string(q.Peek(g.platform.Paths.Region))
		addrs := g.nodes.entryAddrs(hall, region, g.homesOf(string(q.Peek(g.platform.Paths.Host))))
		g.checkSuspension()
		if len(addrs) == 0 || !g.synced() {
			c.SetStatusCode(http.StatusServiceUnavailable)
			return
		}
		writeJSON(c, g.codec.Addresses(addrs, g.conf().Entry.MaxAge.Std()))
	})
	return r
}

// homesOf returns the regions in which requests to a host may run, nil if the host has no
// routes or one of them allows all regions.
func (g *Gateway) homesOf(host string) (homes []string) {
	s := g.siteState.Snapshot()
	if s == nil {
		return nil
	}
	return s.HostHomes(host)
}

// metricsRoutes serves the node's metrics and a dump of the state of each replica.
func (g *Gateway) metricsRoutes() *router.Router {
	r := router.New()
	r.GET("/metrics", func(c *fasthttp.RequestCtx) { writeJSON(c, g.statusInTime()) })
	r.GET("/state", func(c *fasthttp.RequestCtx) {
		state := map[string][]route.PoolReplicaStatus{}
		g.nodes.refreshPeerLoads(boottime.Now())
		for service, p := range g.siteState.Pools() {
			state[service] = p.Status(boottime.Now())
		}
		writeJSON(c, state)
	})
	return r
}

func writeJSON(c *fasthttp.RequestCtx, v any) {
	body, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		c.SetStatusCode(http.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}
