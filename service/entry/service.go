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

// defaultServiceTimeout bounds a call to a plain service without a deadline.
const defaultServiceTimeout = 30 * time.Second

// handleService forwards a call to a plain service.
func (s *Server) handleService(c *fasthttp.RequestCtx) {
	s.inFlight.Add(1)
	defer s.requestDone()
	meta, f := s.requestMeta(c)
	if f != nil {
		s.fail(c, f)
		return
	}
	ctx, cancel := s.callContext(c)
	defer cancel()
	path, _ := c.UserValue("path").(string) // Always set by the route.
	rest, _ := c.UserValue("rest").(string) // It may be absent.
	answer, f := s.callService(ctx, meta, path, upstream.ServiceCall{
		RequestID:   meta.RequestID,
		Method:      string(c.Method()),
		Path:        "/" + rest,
		ContentType: string(c.Request.Header.ContentType()),
		Body:        c.PostBody(),
	})
	if f != nil {
		f.RequestID = meta.RequestID
		s.fail(c, f)
		return
	}
	s.deps.Metrics.Answered.Add(1)
	c.Response.Header.Set(headerRequestID, meta.RequestID)
	c.SetStatusCode(answer.Status)
	c.SetContentType(answer.ContentType)
	c.SetBody(answer.Body)
}

// callService claims the call if it must not run twice, and makes it. A call that
// certainly did not run is retried on another replica of the service.
func (s *Server) callService(ctx context.Context, meta RequestMeta, path string, call upstream.ServiceCall) (a upstream.ServiceAnswer, f *Failure) {
	if _, ok := s.deps.Upstreams.ServiceAt(path, func(int) int { return 0 }); !ok {
		return a, clientError(http.StatusNotFound, CodeUnknownService, "service %q does not exist", path)
	}
	var claim *control.Claim
	if meta.Once {
		if claim, f = acquireClaim(ctx, s.deps, meta); f != nil {
			return a, f
		}
	}
	deadline := meta.Received.Add(defaultServiceTimeout)
	if !meta.Deadline.IsZero() {
		deadline = meta.Deadline
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	offset := rand.IntN(1 << 16)
	for {
		service, ok := s.deps.Upstreams.ServiceAt(path, func(n int) int { return offset % n })
		if !ok {
			return a, s.serviceNotRun(claim, "the service is gone")
		}
		answer, err := service.Call(ctx, call)
		if err == nil {
			if claim != nil {
				s.deps.Claims.Finish(claim, control.Result{
					Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body,
				})
			}
			return answer, nil
		}
		var notRun *upstream.NotRunError
		if !errors.As(err, &notRun) {
			return a, serviceFailed(meta, err)
		}
		if ctx.Err() != nil || !s.deps.Retries.Take() {
			return a, s.serviceNotRun(claim, err.Error())
		}
		s.deps.Metrics.Retries.Add(1)
		offset++
	}
}

// serviceFailed answers a call that may have run.
func serviceFailed(meta RequestMeta, err error) *Failure {
	f := &Failure{Status: statusBadGateway, Code: CodeUpstreamFailed, Ran: Failed, Message: err.Error()}
	if meta.Once {
		f.Ran = OutcomeUnknown
	}
	return f
}

// serviceNotRun answers a call that certainly did not run.
func (s *Server) serviceNotRun(claim *control.Claim, reason string) *Failure {
	if claim != nil {
		voidClaim(s.deps, claim)
	}
	return refusal(CodeNoUpstream, noUpstreamRetryAfter, "%s", reason)
}
