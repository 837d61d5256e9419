// Package http1 reads and writes HTTP/1.1 messages for forwarding.
//
// A forwarder has needs that general clients and servers do not meet: the
// request target and the body must arrive byte for byte, it must be known
// whether any byte of a request has left, nothing may be repeated unasked, an
// answer must be told from surplus bytes, and a body that breaks off must never
// look whole. So this package is strict in what it reads and does nothing by
// itself: no redirects, no retries, no default headers, no pooling.
package http1
