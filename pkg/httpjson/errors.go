package httpjson

import (
	"errors"
	"fmt"
)

// StatusError is an answer other than 2xx.
type StatusError struct {
	Path string
	Code int
	Body []byte
}

// Error gives path, status code and body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: status %d: %.200s", e.Path, e.Code, e.Body)
}

// CallError is a call that brought no usable answer.
type CallError struct {
	Path string
	// NotSent says that no byte of the request can have reached the server.
	NotSent bool
	Err     error
}

// Error gives path and cause.
func (e *CallError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// NotSent says whether err shows that the request never reached the server.
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
