// Package http1 reads and writes HTTP/1.1 messages for forwarding.
//
// General clients and servers do not meet the needs of a proxy: the request
// target and the body must be forwarded byte for byte, it must be known whether
// any byte of a request was sent, nothing may be retried implicitly, surplus
// bytes must not be taken for an answer, and a truncated body must never look
// complete. So this package parses strictly and has no redirects, retries,
// default headers or connection pooling.
package http1
