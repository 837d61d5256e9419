package upstream

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/drumpath/drumpath/pkg/httpjson"
)

// NotRunError reports that an upstream did not run a request: either its answer
// states that, or no byte of the request reached it.
type NotRunError struct {
	Upstream string
	Reason   string
}

// Error names the upstream and its reason.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("upstream %s did not run it: %s", e.Upstream, e.Reason)
}

// MismatchError reports an answer that belongs to another request.
type MismatchError struct {
	Upstream string
	Want     string
	Found    string
}

// Error names both requests.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("upstream %s answered request %s with the answer to %s", e.Upstream, e.Want, e.Found)
}

// TruncatedError reports an answer that ended before its last event.
type TruncatedError struct {
	Upstream string
	Tokens   int // Tokens received before it ended.
	Reason   string
}

// Error names the upstream, the number of tokens received and the reason.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("upstream %s broke off after %d tokens: %s", e.Upstream, e.Tokens, e.Reason)
}

// classify turns a call's error into a *NotRunError if it is certain that the
// request did not run, and into a *TruncatedError otherwise.
func classify(name string, err error) error {
	if err == nil {
		return nil
	}
	if httpjson.NotSent(err) {
		return &NotRunError{Upstream: name, Reason: ReasonUnreachable}
	}
	var status *httpjson.StatusError
	if !errors.As(err, &status) {
		return &TruncatedError{Upstream: name, Reason: err.Error()}
	}
	var refusal Refusal
	refused := status.Code == http.StatusConflict || status.Code == http.StatusServiceUnavailable
	if refused && json.Unmarshal(status.Body, &refusal) == nil && refusal.NotRun {
		return &NotRunError{Upstream: name, Reason: refusal.Reason}
	}
	return &TruncatedError{Upstream: name, Reason: status.Error()}
}
