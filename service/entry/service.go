package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/upstream"
)

// serviceWait bounds a call to a plain service without a deadline.
const serviceWait = 30 * time.Second

// service passes a call on to a plain service.
func (s *Server) service(c *fasthttp.RequestCtx) {
	s.inFlight.Add(1)
	defer s.leave()
	terms, f := s.terms(c)
	if f != nil {
		s.fail(c, f)
		return
	}
	ctx, cancel := s.callContext(c)
	defer cancel()
	path, _ := c.UserValue("path").(string) // The route has it.
	rest, _ := c.UserValue("rest").(string) // It may be absent.
	answer, f := s.callService(ctx, terms, path, upstream.ServiceCall{
		RequestID:   terms.RequestID,
		Method:      string(c.Method()),
		Path:        "/" + rest,
		ContentType: string(c.Request.Header.ContentType()),
		Body:        c.PostBody(),
	})
	if f != nil {
		f.RequestID = terms.RequestID
		s.fail(c, f)
		return
	}
	s.parts.Metrics.Answered.Add(1)
	c.Response.Header.Set(headerRequestID, terms.RequestID)
	c.SetStatusCode(answer.Status)
	c.SetContentType(answer.ContentType)
	c.SetBody(answer.Body)
}

// callService claims the call if it must not be repeated, and makes it. A call
// that certainly did not run goes to another replica of the service.
func (s *Server) callService(ctx context.Context, t Terms, path string, call upstream.ServiceCall) (a upstream.ServiceAnswer, f *Failure) {
	if _, ok := s.parts.Upstreams.ServiceAt(path, func(int) int { return 0 }); !ok {
		return a, callerFault(http.StatusNotFound, CodeNoService, "service %q does not exist", path)
	}
	var claim *control.Claim
	if t.Once {
		if claim, f = acquireClaim(ctx, s.parts, t); f != nil {
			return a, f
		}
	}
	deadline := t.Received.Add(serviceWait)
	if !t.Deadline.IsZero() {
		deadline = t.Deadline
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	offset := rand.IntN(1 << 16)
	for {
		service, ok := s.parts.Upstreams.ServiceAt(path, func(n int) int { return offset % n })
		if !ok {
			return a, s.serviceNotRun(claim, "the service is gone")
		}
		answer, err := service.Call(ctx, call)
		if err == nil {
			if claim != nil {
				s.parts.Claims.Finish(claim, control.Result{
					Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body,
				})
			}
			return answer, nil
		}
		var notRun *upstream.NotRunError
		if !errors.As(err, &notRun) {
			return a, serviceFailed(t, err)
		}
		if ctx.Err() != nil || !s.parts.Retries.Take() {
			return a, s.serviceNotRun(claim, err.Error())
		}
		s.parts.Metrics.Retries.Add(1)
		offset++
	}
}

// serviceFailed answers a call that may have run.
func serviceFailed(t Terms, err error) *Failure {
	f := &Failure{Status: statusBadGateway, Code: CodeUpstream, Ran: Failed, Message: err.Error()}
	if t.Once {
		f.Ran = OutcomeUnknown
	}
	return f
}

// serviceNotRun answers a call that certainly did not run.
func (s *Server) serviceNotRun(claim *control.Claim, reason string) *Failure {
	if claim != nil {
		voidClaim(s.parts, claim)
	}
	return refusal(CodeNoUpstream, noUpstreamRetry, "%s", reason)
}
