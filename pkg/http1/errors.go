package http1

import "errors"

// Errors of reading messages. Anything else is an error of the connection.
var (
	// ErrMalformed says that the bytes are not a message of HTTP/1.1, or one
	// whose end two readers could see at different places.
	ErrMalformed = errors.New("malformed HTTP message")
	// ErrHeadTooLarge says that the head is over the limit.
	ErrHeadTooLarge = errors.New("HTTP head too large")
	// ErrBodyTooLarge says that the body is over the limit.
	ErrBodyTooLarge = errors.New("HTTP body too large")
	// ErrBodyTruncated says that the connection ended inside a body.
	ErrBodyTruncated = errors.New("HTTP body cut short")
)
