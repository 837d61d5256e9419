package httpjson

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/drumpath/drumpath/pkg/http1"
)

const (
	dialTimeout = time.Second
	// ackTimeout is how long sent data may stay unacknowledged before the
	// connection fails.
	ackTimeout      = 1200 * time.Millisecond
	maxConns        = 512
	idleConnTimeout = 5 * time.Second
	maxResponseBody = 64 << 20
	// idleClosedRetries is how often a call is retried if the server had closed its connection
	// while idle. Each retry first closes all idle connections, but calls that end meanwhile
	// can put further closed ones back into the pool.
	idleClosedRetries = 3
	contentType       = "application/json"
)

// Client calls one server. It never repeats a call of which a byte may have been sent.
type Client struct {
	addr      string
	http      *fasthttp.HostClient
	budget    *AnswerBudget             // Nil for no bound but maxResponseBody.
	lastLarge atomic.Pointer[time.Time] // When an answer last reached largeResponseBytes.
}

// NewClient returns a client of the server at addr.
func NewClient(addr netip.AddrPort) *Client { return NewBoundedClient(addr, nil) }

// NewBoundedClient returns a client of the server at addr whose answers keep within a budget, which may be nil.
func NewBoundedClient(addr netip.AddrPort, budget *AnswerBudget) *Client {
	c := &Client{addr: addr.String(), budget: budget}
	c.http = &fasthttp.HostClient{
		Addr:                   addr.String(),
		MaxConns:               maxConns,
		MaxIdleConnDuration:    idleConnTimeout,
		MaxResponseBodySize:    maxResponseBody,
		DisablePathNormalizing: true,
		DialTimeout: func(addr string, left time.Duration) (net.Conn, error) {
			if left <= 0 || left > dialTimeout {
				left = dialTimeout
			}
			conn, err := http1.Dial(addr, left, ackTimeout)
			if err != nil {
				return nil, err
			}
			return newAnswerConn(conn, c), nil
		},
		// Only the caller knows whether a call may be repeated.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	return c
}

// LastLargeResponse returns when the last large answer was recognised as such, zero if
// there was none.
func (c *Client) LastLargeResponse() time.Time {
	if at := c.lastLarge.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Call sends in as JSON, unless it is nil, and decodes the answer into out, unless
// it is nil. The answer must begin by the context's deadline. The error is a
// *StatusError for a status other than 2xx, and a *CallError if there was no usable
// answer.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) error {
	return c.CallWith(ctx, method, path, nil, in, out)
}

// CallWith is Call with additional headers.
func (c *Client) CallWith(ctx context.Context, method, path string, header map[string]string, in, out any) error {
	return c.call(ctx, method, path, header, in, out, func(*fasthttp.ResponseHeader) {})
}

// CallInspect is Call, and passes the header of the answer to inspect, also for a status other than 2xx.
func (c *Client) CallInspect(ctx context.Context, method, path string, in, out any, inspect func(*fasthttp.ResponseHeader)) error {
	return c.call(ctx, method, path, nil, in, out, inspect)
}

func (c *Client) call(ctx context.Context, method, path string, header map[string]string, in, out any, inspect func(*fasthttp.ResponseHeader)) error {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := c.Prepare(req, method, path, in); err != nil {
		return err
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	err := c.Do(ctx, req, resp)
	var status *StatusError
	if err == nil || errors.As(err, &status) {
		inspect(&resp.Header)
	}
	if err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return &CallError{Path: path, Err: err}
	}
	return nil
}

// Prepare fills a request for Do.
func (c *Client) Prepare(req *fasthttp.Request, method, path string, in any) error {
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.addr + path)
	if in == nil {
		return nil
	}
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req.Header.SetContentType(contentType)
	req.SetBodyRaw(body)
	return nil
}

// Do sends a request. Its answer must begin by the context's deadline, and may then
// go on as long as bytes keep arriving. Errors are as for Call.
func (c *Client) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	path := string(req.URI().Path())
	if err := ctx.Err(); err != nil {
		return &CallError{Path: path, NotSent: true, Err: err}
	}
	err := c.do(ctx, req, resp)
	for range idleClosedRetries {
		if !errors.Is(err, errClosedWhileIdle) {
			break
		}
		c.http.CloseIdleConnections() // They are probably closed as well.
		err = c.do(ctx, req, resp)
	}
	if err != nil {
		callErr := &CallError{Path: path, NotSent: neverSent(err), Err: err}
		if !callErr.NotSent && timedOut(err) {
			// All open connections may be dead, for example after a network failure.
			// If kept, each idle one would make another call time out.
			c.http.CloseIdleConnections()
		}
		return callErr
	}
	if code := resp.StatusCode(); code/100 != 2 {
		return &StatusError{Path: path, Code: code, Body: append([]byte(nil), resp.Body()...)}
	}
	return nil
}

func (c *Client) do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	if deadline, ok := ctx.Deadline(); ok {
		return c.http.DoDeadline(req, resp, deadline)
	}
	return c.http.Do(req, resp)
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// timedOut reports whether the server did not answer or acknowledge in time.
func timedOut(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// neverSent reports whether it is certain that no byte of the request was sent.
func neverSent(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return errors.Is(err, errClosedWhileIdle) || errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, fasthttp.ErrDialTimeout)
}
