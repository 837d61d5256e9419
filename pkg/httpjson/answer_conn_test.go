package httpjson

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// startRawServer starts a server that hands each request to serve, of which only the head has been read, with its connection.
func startRawServer(t *testing.T, serve func(conn *net.TCPConn, r *bufio.Reader, in *http.Request)) *Client {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r := bufio.NewReader(conn)
				for {
					in, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					serve(conn.(*net.TCPConn), r, in)
				}
			}()
		}
	}()
	c := NewClient(netip.MustParseAddrPort(ln.Addr().String()))
	t.Cleanup(func() {
		c.Close()
		_ = ln.Close()
	})
	return c
}

// answerWith returns a server's function that reads a request and writes a text.
func answerWith(text string) func(conn *net.TCPConn, r *bufio.Reader, in *http.Request) {
	return func(conn *net.TCPConn, _ *bufio.Reader, in *http.Request) {
		_, _ = io.Copy(io.Discard, in.Body)
		_, _ = io.WriteString(conn, text)
		if !strings.Contains(text, "Content-Length") && !strings.Contains(text, "chunked") {
			_ = conn.Close()
		}
	}
}

// do calls a server and returns the answer's body.
func do(t *testing.T, c *Client, method, body string) (got string, err error) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	assert.NilError(t, c.Prepare(req, method, "/", nil))
	if body != "" {
		req.SetBodyString(body)
	}
	err = c.Do(ctx, req, resp)
	return string(resp.Body()), err
}

// The part of an answer that a server had sent before it reset the connection during an upload was taken for the whole
// answer: the write got the reset, and the read the end of the connection.
func TestAnswerResetDuringAnUploadIsNotWhole(t *testing.T) {
	pause := make(chan time.Duration, 1)
	c := startRawServer(t, func(conn *net.TCPConn, _ *bufio.Reader, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(<-pause)
		_ = conn.SetLinger(0) // Closing it then sends a reset.
		_ = conn.Close()
	})
	for i := range 20 {
		pause <- time.Duration(i) * time.Millisecond
		got, err := do(t, c, http.MethodPost, strings.Repeat("x", 12<<20))
		assert.Check(t, err != nil, "%q looks whole", got)
	}
}

// Answers that are none by the grammar were taken for answers.
func TestMalformedAnswersAreNoAnswers(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, text := range map[string]string{
		"status 000":              "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nnull",
		"status 600":              "HTTP/1.1 600 OK\r\nContent-Length: 4\r\n\r\nnull",
		"version":                 "HTTP/3.1 200 OK\r\nContent-Length: 4\r\n\r\nnull",
		"control byte in reason":  "HTTP/1.1 200 O\x00K\r\nContent-Length: 4\r\n\r\nnull",
		"blank in a field's name": "HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 4\r\n\r\nnull",
		"control byte in a name":  "HTTP/1.1 200 OK\r\nA\x01b: c\r\nContent-Length: 4\r\n\r\nnull",
		"control byte in a value": "HTTP/1.1 200 OK\r\nA: \x01\r\nContent-Length: 4\r\n\r\nnull",
		"line without colon":      "HTTP/1.1 200 OK\r\nA\r\nContent-Length: 4\r\n\r\nnull",
		"two lengths":             "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\nnull",
		"length and chunks":       "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nnull\r\n0\r\n\r\n",
		"chunk extension":         chunked + "4;\x01\r\nnull\r\n0\r\n\r\n",
		"chunk size":              chunked + "0x4\r\nnull\r\n0\r\n\r\n",
		"trailer":                 chunked + "4\r\nnull\r\n0\r\nA\x01: b\r\n\r\n",
		"interim answer":          "HTTP/1.1 103 \x01\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnull",
		"only interim answers":    strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 20) + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnull",
	} {
		t.Run(name, func(t *testing.T) {
			got, err := do(t, startRawServer(t, answerWith(text)), http.MethodGet, "")
			assert.Assert(t, err != nil, "%q was taken for the body", got)
			assert.Equal(t, StatusCode(err), 0)
			assert.Assert(t, !NotSent(err))
		})
	}
}

// Answers of each framing must be read whole, one after the other, on one connection where that stays open.
func TestAnswersOfAllFramingsAreReadWhole(t *testing.T) {
	large := strings.Repeat("x", 100_000)
	for name, tc := range map[string]struct{ method, text, want string }{
		"length":                 {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "body"},
		"chunks":                 {http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nbo\r\n2\r\ndy\r\n0\r\nT: x\r\n\r\n", "body"},
		"until close":            {http.MethodGet, "HTTP/1.1 200 OK\r\n\r\nbody", "body"},
		"empty until close":      {http.MethodPost, "HTTP/1.1 200 OK\r\n\r\n", ""},
		"HTTP/1.0":               {http.MethodGet, "HTTP/1.0 200 OK\r\n\r\nbody", "body"},
		"large until close":      {http.MethodGet, "HTTP/1.1 200 OK\r\n\r\n" + large, large},
		"large":                  {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + large, large},
		"no content":             {http.MethodPut, "HTTP/1.1 204 No Content\r\nX: Content-Length\r\n\r\n", ""},
		"answer to HEAD":         {http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", ""},
		"after interim answers":  {http.MethodPost, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "body"},
		"nothing, with a length": {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			c := startRawServer(t, answerWith(tc.text))
			for range 5 {
				got, err := do(t, c, tc.method, "")
				assert.NilError(t, err)
				assert.Equal(t, got, tc.want)
			}
		})
	}
}

// Calls of several faulty servers read up to the bound of an answer from each of them.
func TestAnswersKeepWithinTheirBudget(t *testing.T) {
	const perAnswer, all = 1 << 20, 3 << 20
	budget := NewAnswerBudget(perAnswer, all)
	text := strings.Repeat("x", perAnswer/2)
	c := startRawServer(t, func(conn *net.TCPConn, _ *bufio.Reader, in *http.Request) {
		size := len(text)
		if in.Method == http.MethodPut {
			size = 10 * perAnswer
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, text)
		if in.Method == http.MethodPut {
			_, _ = io.WriteString(conn, strings.Repeat(text, 20)) // The client closes before the end.
		}
	})
	c.budget = budget
	for range 10 {
		_, err := do(t, c, http.MethodGet, "")
		assert.NilError(t, err)
		_, err = do(t, c, http.MethodPut, "")
		assert.ErrorIs(t, err, errAnswerTooLarge)
	}
	assert.Assert(t, budget.all.TryAcquire(all), "what answers have taken is given back")
	_, err := do(t, c, http.MethodGet, "")
	assert.ErrorIs(t, err, errAnswerTooLarge)
	budget.all.Release(all)
	_, err = do(t, c, http.MethodGet, "")
	assert.NilError(t, err)
}

// Bytes after an answer were taken for the answer to the next call.
func TestBytesAfterAnAnswerBelongToNoCall(t *testing.T) {
	first := true
	c := startRawServer(t, func(conn *net.TCPConn, _ *bufio.Reader, _ *http.Request) {
		text := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
		if first {
			text += "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
			first = false
		}
		_, _ = io.WriteString(conn, text)
	})
	for range 3 {
		got, err := do(t, c, http.MethodGet, "")
		assert.NilError(t, err)
		assert.Equal(t, got, "body")
		time.Sleep(20 * time.Millisecond)
	}
}
