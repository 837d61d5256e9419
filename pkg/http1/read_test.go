package http1

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const testLimit = 4096

func reader(text string) *bufio.Reader { return bufio.NewReaderSize(strings.NewReader(text), 64) }

func TestAmbiguousRequestHeadsAreRefused(t *testing.T) {
	for name, text := range map[string]string{
		"bare line feed":             "GET / HTTP/1.1\nHost: a\n\n",
		"line feed in a field":       "GET / HTTP/1.1\r\nHost: a\n\r\n\r\n",
		"carriage return in a field": "GET / HTTP/1.1\r\nHost: a\rb\r\n\r\n",
		"blank before the colon":     "GET / HTTP/1.1\r\nHost : a\r\n\r\n",
		"folded field":               "GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n",
		"no colon":                   "GET / HTTP/1.1\r\nHost\r\n\r\n",
		"blank in the target":        "GET /a b HTTP/1.1\r\n\r\n",
		"target without a slash":     "GET a HTTP/1.1\r\n\r\n",
		"another version":            "GET / HTTP/2.0\r\n\r\n",
		"no version":                 "GET /\r\n\r\n",
		"method not a token":         "G@T / HTTP/1.1\r\n\r\n",
		"zero byte":                  "GET / HTTP/1.1\r\nA: \x00\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ReadRequest(reader(text), testLimit)
			assert.ErrorIs(t, err, ErrMalformed)
		})
	}
}

func TestAmbiguousBodyFramingIsRefused(t *testing.T) {
	for name, fields := range map[string]string{
		"both ways":         "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
		"two lengths":       "Content-Length: 3\r\nContent-Length: 4\r\n",
		"list of lengths":   "Content-Length: 3, 3\r\n",
		"signed length":     "Content-Length: +3\r\n",
		"hexadecimal":       "Content-Length: 0x3\r\n",
		"empty length":      "Content-Length:\r\n",
		"huge length":       "Content-Length: 99999999999999999999\r\n",
		"other coding":      "Transfer-Encoding: gzip, chunked\r\n",
		"chunked twice":     "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"misspelt chunked":  "Transfer-Encoding: xchunked\r\n",
		"identity and more": "Transfer-Encoding: identity\r\nContent-Length: 3\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			r := reader("POST / HTTP/1.1\r\n" + fields + "\r\nabc")
			h, err := ReadRequest(r, testLimit)
			assert.NilError(t, err)
			_, err = RequestBody(h, r)
			assert.ErrorIs(t, err, ErrMalformed)
		})
	}
}

func TestHeadOverTheLimitIsRefused(t *testing.T) {
	text := "GET / HTTP/1.1\r\nA: " + strings.Repeat("x", testLimit) + "\r\n\r\n"
	_, err := ReadRequest(reader(text), testLimit)
	assert.ErrorIs(t, err, ErrHeadTooLarge)
}

func TestEOFBeforeAHeadDiffersFromEOFInsideIt(t *testing.T) {
	_, err := ReadRequest(reader(""), testLimit)
	assert.Assert(t, err == io.EOF)
	_, err = ReadRequest(reader("GET / HT"), testLimit)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	_, err = ReadRequest(reader("GET / HTTP/1.1\r\nHost: a\r\n"), testLimit)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func TestTargetIsNotNormalized(t *testing.T) {
	const target = "/a/../b//c%2f%41?q=%20&&x=/../"
	h, err := ReadRequest(reader("POST "+target+" HTTP/1.1\r\nHost: a\r\n\r\n"), testLimit)
	assert.NilError(t, err)
	assert.Equal(t, h.Target, target)
	assert.Equal(t, h.Path(), "/a/../b//c%2f%41")
}

func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	h, err := ReadRequest(reader("POST / HTTP/1.1\r\nConnection: close, X-Own\r\nX-Own: 1\r\nKeep-Alive: timeout=3\r\n"+
		"TE: trailers\r\nExpect: 100-continue\r\nContent-Length: 0\r\nX-Other: 2\r\n\r\n"), testLimit)
	assert.NilError(t, err)
	assert.DeepEqual(t, h.EndToEnd(), []Field{{Name: "X-Other", Value: "2"}})
	assert.Assert(t, h.Close())
}

func TestBodyIsReadExactlyToItsEnd(t *testing.T) {
	for name, c := range map[string]struct {
		message string
		body    string
		rest    string
	}{
		"length":         {"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcNEXT", "abc", "NEXT"},
		"chunks":         {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\nT: 1\r\n\r\nNEXT", "abc", "NEXT"},
		"none":           {"GET / HTTP/1.1\r\n\r\nNEXT", "", "NEXT"},
		"length of zero": {"POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\nNEXT", "", "NEXT"},
	} {
		t.Run(name, func(t *testing.T) {
			r := reader(c.message)
			h, err := ReadRequest(r, testLimit)
			assert.NilError(t, err)
			b, err := RequestBody(h, r)
			assert.NilError(t, err)
			all, err := ReadAll(b, testLimit)
			assert.NilError(t, err)
			assert.Equal(t, string(all), c.body)
			assert.Assert(t, b.Done())
			rest, err := io.ReadAll(r)
			assert.NilError(t, err)
			assert.Equal(t, string(rest), c.rest)
		})
	}
}

func TestTruncatedBodyIsNeverReportedComplete(t *testing.T) {
	for name, message := range map[string]string{
		"length":             "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc",
		"before a chunk":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"in a chunk":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
		"in the last chunk":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
		"in a chunk's size":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3",
		"no body at all":     "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
		"in a chunk's break": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			r := reader(message)
			h, err := ReadResponse(r, testLimit)
			assert.NilError(t, err)
			b, err := ResponseBody(h, "GET", r)
			assert.NilError(t, err)
			_, err = ReadAll(b, testLimit)
			assert.ErrorIs(t, err, ErrBodyTruncated)
			assert.Assert(t, !b.Done())
		})
	}
}

func TestChunkSizesAreStrict(t *testing.T) {
	for _, size := range []string{"-1", "+1", "0x1", "", " 1", "g", "ffffffffffffffffff"} {
		r := reader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + size + "\r\na\r\n0\r\n\r\n")
		h, err := ReadResponse(r, testLimit)
		assert.NilError(t, err)
		b, err := ResponseBody(h, "GET", r)
		assert.NilError(t, err)
		_, err = ReadAll(b, testLimit)
		assert.ErrorIs(t, err, ErrMalformed, "size %q", size)
	}
}

func TestBodyOverTheLimitIsRefused(t *testing.T) {
	for _, message := range []string{
		"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcde",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
	} {
		r := reader(message)
		h, err := ReadRequest(r, testLimit)
		assert.NilError(t, err)
		b, err := RequestBody(h, r)
		assert.NilError(t, err)
		_, err = ReadAll(b, 4)
		assert.ErrorIs(t, err, ErrBodyTooLarge)
	}
}

func TestResponsesThatNeverHaveABody(t *testing.T) {
	for _, c := range []struct{ head, method string }{
		{"HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n\r\n", "GET"},
		{"HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n", "GET"},
		{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "HEAD"},
	} {
		r := reader(c.head)
		h, err := ReadResponse(r, testLimit)
		assert.NilError(t, err)
		b, err := ResponseBody(h, c.method, r)
		assert.NilError(t, err)
		assert.Assert(t, b.Done())
	}
}

func TestResponseWithoutLengthEndsWithItsConnection(t *testing.T) {
	r := reader("HTTP/1.1 200 OK\r\n\r\nabc")
	h, err := ReadResponse(r, testLimit)
	assert.NilError(t, err)
	b, err := ResponseBody(h, "GET", r)
	assert.NilError(t, err)
	all, err := ReadAll(b, testLimit)
	assert.NilError(t, err)
	assert.Equal(t, string(all), "abc")
	assert.Equal(t, b.Framing(), FramingClose)
}

// An accepted request must be unchanged after it is written and read again, and its
// body must not be read past its end.
func FuzzRequest(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /a?b HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		r := reader(text)
		h, err := ReadRequest(r, testLimit)
		if err != nil {
			return
		}
		b, err := RequestBody(h, r)
		if err != nil {
			return
		}
		all, err := ReadAll(b, testLimit)
		if err != nil {
			return
		}
		out := AppendRequest(nil, h.Method, h.Target, h.EndToEnd(), len(all))
		r = reader(string(out) + string(all) + "NEXT")
		h2, err := ReadRequest(r, 2*testLimit)
		assert.NilError(t, err, "%q", out)
		assert.Equal(t, h2.Method, h.Method)
		assert.Equal(t, h2.Target, h.Target)
		b2, err := RequestBody(h2, r)
		assert.NilError(t, err, "%q", out)
		all2, err := ReadAll(b2, testLimit)
		assert.NilError(t, err)
		assert.Equal(t, string(all2), string(all))
		rest, err := io.ReadAll(r)
		assert.NilError(t, err)
		assert.Equal(t, string(rest), "NEXT")
	})
}

// Reading any response must end with a complete body or an expected error.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 200\r\n\r\nabc",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		r := reader(text)
		h, err := ReadResponse(r, testLimit)
		if err != nil {
			return
		}
		b, err := ResponseBody(h, "GET", r)
		if err != nil {
			assert.ErrorIs(t, err, ErrMalformed)
			return
		}
		all, err := ReadAll(b, testLimit)
		switch {
		case err == nil:
			assert.Assert(t, b.Done() && len(all) <= testLimit)
		case errors.Is(err, ErrBodyTruncated), errors.Is(err, ErrMalformed), errors.Is(err, ErrBodyTooLarge):
		default:
			t.Fatalf("unexpected error %v", err)
		}
	})
}

// A head of 64 KiB with fields of four bytes took up a megabyte.
func TestHeadWithTooManyFieldsIsRefused(t *testing.T) {
	head := func(fields int) string { return "HTTP/1.1 200 OK\r\n" + strings.Repeat("A:\r\n", fields) + "\r\n" }
	_, err := ReadResponse(reader(head(maxFields)), 64<<10)
	assert.NilError(t, err)
	_, err = ReadResponse(reader(head(maxFields+1)), 64<<10)
	assert.ErrorIs(t, err, ErrHeadTooLarge)
}
