package standin

import (
	"net/netip"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/drumpath/drumpath/pkg/upstream"
)

// Service stands in for a plain service; it echoes each request's body and
// counts how often it received it.
type Service struct {
	*httpServer

	mu   sync.Mutex
	runs map[string]int
}

// StartService starts a plain service.
func StartService(addr netip.AddrPort) (*Service, error) {
	h, err := newHTTPServer(addr)
	if err != nil {
		return nil, err
	}
	s := &Service{httpServer: h, runs: map[string]int{}}
	h.router.ANY("/{path:*}", s.serve)
	h.router.GET("/runs", s.report)
	h.start()
	return s, nil
}

// Runs returns how often a body was received.
func (s *Service) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

func (s *Service) report(c *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(c, fasthttp.StatusOK, s.runs)
}

func (s *Service) serve(c *fasthttp.RequestCtx) {
	s.mu.Lock()
	s.runs[string(c.PostBody())]++
	s.mu.Unlock()
	time.Sleep(time.Duration(s.fault.get().HoldMillis) * time.Millisecond)
	c.Response.Header.SetBytesV(upstream.HeaderRequestID, c.Request.Header.Peek(upstream.HeaderRequestID))
	c.SetContentTypeBytes(c.Request.Header.ContentType())
	c.SetBody(c.PostBody())
}
