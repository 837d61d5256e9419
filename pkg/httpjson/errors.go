package httpjson

import (
	"errors"
	"fmt"
)

// StatusError is an answer with a status other than 2xx.
type StatusError struct {
	Path string
	Code int
	Body []byte
}

// Error returns path, status code and the beginning of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: status %d: %.200s", e.Path, e.Code, e.Body)
}

// CallError is a call without a usable answer.
type CallError struct {
	Path string
	// NotSent means that no byte of the request reached the server.
	NotSent bool
	Err     error
}

// Error returns path and cause.
func (e *CallError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// NotSent reports whether err is a *CallError whose request never reached the server.
func NotSent(err error) bool {
	var call *CallError
	return errors.As(err, &call) && call.NotSent
}

// StatusCode returns the status of a *StatusError, 0 for other errors.
func StatusCode(err error) int {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Code
	}
	return 0
}
