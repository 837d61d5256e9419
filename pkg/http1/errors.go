package http1

import "errors"

// Errors of reading messages. Any other error comes from the connection.
var (
	// ErrMalformed means that the message is not valid HTTP/1, or that its
	// framing is ambiguous.
	ErrMalformed = errors.New("malformed HTTP message")
	// ErrHeadTooLarge means that the head exceeds the limit.
	ErrHeadTooLarge = errors.New("HTTP head too large")
	// ErrBodyTooLarge means that the body exceeds the limit.
	ErrBodyTooLarge = errors.New("HTTP body too large")
	// ErrBodyTruncated means that the connection ended inside a body.
	ErrBodyTruncated = errors.New("HTTP body cut short")
)
