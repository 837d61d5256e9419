package http1

import "errors"

// Errors of reading messages. Any other error comes from the connection.
var (
	// ErrMalformed says that the message is not valid HTTP/1, or that its
	// framing is ambiguous.
	ErrMalformed = errors.New("malformed HTTP message")
	// ErrHeadTooLarge says that the head exceeds the limit.
	ErrHeadTooLarge = errors.New("HTTP head too large")
	// ErrBodyTooLarge says that the body exceeds the limit.
	ErrBodyTooLarge = errors.New("HTTP body too large")
	// ErrBodyTruncated says that the connection ended inside a body.
	ErrBodyTruncated = errors.New("HTTP body cut short")
)
