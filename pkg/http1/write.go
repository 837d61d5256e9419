package http1

import (
	"net/http"
	"strconv"
)

// NoLength as a body length means a chunked body for a response, and no body for a
// request.
const NoLength = -1

// AppendRequest appends the head of a request with a body of bodyLen bytes, or
// without a body if that is NoLength.
func AppendRequest(b []byte, method, target string, fields []Field, bodyLen int) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendFields(b, fields)
	if bodyLen != NoLength {
		b = appendLength(b, bodyLen)
	}
	return append(b, "\r\n"...)
}

// AppendResponse appends the head of a response with a body of bodyLen bytes, or a
// chunked body if that is NoLength. closeAfter announces that the connection is
// closed after it.
func AppendResponse(b []byte, status int, fields []Field, bodyLen int, closeAfter bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	b = append(b, "\r\n"...)
	b = appendFields(b, fields)
	switch {
	case bodyLen == NoLength:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified:
		b = appendLength(b, bodyLen)
	}
	if closeAfter {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, "\r\n"...)
}

func appendFields(b []byte, fields []Field) []byte {
	for _, f := range fields {
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, f.Value...)
		b = append(b, "\r\n"...)
	}
	return b
}

func appendLength(b []byte, n int) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(n), 10)
	return append(b, "\r\n"...)
}

// AppendChunk appends one chunk of a body; data must not be empty.
func AppendChunk(b, data []byte) []byte {
	b = strconv.AppendInt(b, int64(len(data)), 16)
	b = append(b, "\r\n"...)
	b = append(b, data...)
	return append(b, "\r\n"...)
}

// LastChunk ends a chunked body.
const LastChunk = "0\r\n\r\n"

// AppendUntilCloseResponse appends the head of a response whose body ends with the
// connection, for HTTP/1.0 clients.
func AppendUntilCloseResponse(b []byte, status int, fields []Field) []byte {
	b = append(b, "HTTP/1.0 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	b = append(b, "\r\n"...)
	b = appendFields(b, fields)
	return append(b, "Connection: close\r\n\r\n"...)
}
