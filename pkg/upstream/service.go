package upstream

import (
	"context"
	"net/netip"

	"github.com/valyala/fasthttp"

	"github.com/drumpath/drumpath/pkg/httpjson"
)

// ServiceCall is one call to a plain service.
type ServiceCall struct {
	RequestID   string
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// ServiceAnswer is the complete answer of a plain service.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Service is a client of one plain service.
type Service struct {
	name string
	http *httpjson.Client
}

// NewService returns a client of the plain service at addr.
func NewService(name string, addr netip.AddrPort) *Service {
	return &Service{name: name, http: httpjson.NewClient(addr)}
}

// Call forwards a call and returns the answer, whatever its status. Errors are as
// for Engine.Run.
func (s *Service) Call(ctx context.Context, c ServiceCall) (a ServiceAnswer, err error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := s.http.Prepare(req, c.Method, c.Path, nil); err != nil {
		return ServiceAnswer{}, &NotRunError{Upstream: s.name, Reason: err.Error()}
	}
	req.Header.Set(HeaderRequestID, c.RequestID)
	req.Header.SetContentType(c.ContentType)
	req.SetBodyRaw(c.Body)
	err = classify(s.name, s.http.Do(ctx, req, resp))
	answered := resp.StatusCode() != 0 && len(resp.Header.Peek(HeaderRequestID)) > 0
	if err != nil && (!answered || isNotRun(err)) {
		return ServiceAnswer{}, err
	}
	if id := string(resp.Header.Peek(HeaderRequestID)); id != c.RequestID {
		return ServiceAnswer{}, &MismatchError{Upstream: s.name, Want: c.RequestID, Found: id}
	}
	return ServiceAnswer{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        append([]byte(nil), resp.Body()...),
	}, nil
}

func isNotRun(err error) bool {
	_, ok := err.(*NotRunError) // classify does not wrap it.
	return ok
}

// Close drops idle connections.
func (s *Service) Close() { s.http.Close() }
