package entry

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/drumpath/drumpath/pkg/control"
)

// Ran is what is certain about whether a request ran.
type Ran string

// Values of Ran.
const (
	// NotRun: no byte of it reached an upstream, or the upstream said so.
	NotRun Ran = "not_run"
	// OutcomeUnknown: it may have run, and must not be repeated automatically.
	OutcomeUnknown Ran = "outcome_unknown"
	// Failed: it ran at least in part, and may be repeated.
	Failed Ran = "failed"
)

// Failure is an error answer, or the replayed answer of an earlier run.
type Failure struct {
	Status     int           `json:"-"`
	Code       string        `json:"code"`
	Ran        Ran           `json:"ran"`
	Message    string        `json:"message"`
	RequestID  string        `json:"request_id,omitempty"`
	RetryAfter time.Duration `json:"-"`
	// RetryAfterMillis is RetryAfter in the JSON answer.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`

	// replay is the recorded answer of an earlier run of the same request.
	replay *control.Result
}

// Error returns the code, whether the request ran, and the message.
func (f *Failure) Error() string { return fmt.Sprintf("%s (%s): %s", f.Code, f.Ran, f.Message) }

// failureBody is the JSON form of a failure.
type failureBody struct {
	Error *Failure `json:"error"`
}

// Failure codes.
const (
	CodeBadRequest       = "bad_request"
	CodeTooLarge         = "too_large"
	CodeUnauthorised     = "unauthorised"
	CodeUnknownModel     = "unknown_model"
	CodeUnknownAdapter   = "unknown_adapter"
	CodeUnknownService   = "unknown_service"
	CodeNotFound         = "not_found"
	CodeMethodNotAllowed = "method_not_allowed"
	CodeOverloaded       = "overloaded"
	CodeRateLimited      = "rate_limited"
	CodeNoUpstream       = "no_upstream"
	CodeNoClaim          = "no_claim"
	CodeClaimedBefore    = "claimed_before"
	CodeUpstreamFailed   = "upstream_failed"
	CodeCutOff           = "cut_off"
	CodeNotReady         = "not_ready"
	CodeDeadline         = "deadline"
	CodeCallerGone       = "caller_gone"
	CodeEndsEngines      = "ends_engines"
	CodeSuspected        = "suspected"
)

// clientError returns a failure caused by the request itself.
func clientError(status int, code, format string, args ...any) *Failure {
	return &Failure{Status: status, Code: code, Ran: NotRun, Message: fmt.Sprintf(format, args...)}
}

// refusal returns a failure of a request that did not run and may be retried later.
func refusal(code string, after time.Duration, format string, args ...any) *Failure {
	status := http.StatusServiceUnavailable
	if code == CodeRateLimited || code == CodeOverloaded {
		status = http.StatusTooManyRequests
	}
	return &Failure{
		Status:     status,
		Code:       code,
		Ran:        NotRun,
		Message:    fmt.Sprintf(format, args...),
		RetryAfter: after,
	}
}

// write answers a request with the failure.
func (f *Failure) write(c *fasthttp.RequestCtx) {
	closing := c.Response.ConnectionClose()
	c.Response.Reset()
	if closing {
		c.SetConnectionClose()
	}
	if f.replay != nil {
		c.Response.Header.Set(headerReplayed, "true")
		c.SetStatusCode(f.replay.Status)
		c.SetContentType(f.replay.ContentType)
		c.SetBody(f.replay.Body)
		return
	}
	c.SetStatusCode(f.Status)
	c.SetContentType(jsonType)
	if f.RetryAfter > 0 {
		f.RetryAfterMillis = f.RetryAfter.Milliseconds()
		seconds := int(math.Ceil(f.RetryAfter.Seconds()))
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	if f.RequestID != "" {
		c.Response.Header.Set(headerRequestID, f.RequestID)
	}
	_ = json.NewEncoder(c).Encode(failureBody{Error: f}) // The body is in memory.
}

const jsonType = "application/json"
