package onplatform_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

// malformedAnswers are answers that are none by the grammar of HTTP. %ID% stands for the request's ID. Their bodies are
// malformedBody, or a promise that the request has not run.
func malformedAnswers() map[string]string {
	const (
		fields  = "Request-Id: %ID%\r\nServer-Stamp: s\r\n"
		length  = "Content-Length: 9\r\n\r\n" + malformedBody
		ok      = "HTTP/1.1 200 OK\r\n" + fields
		chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
		promise = "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	)
	return map[string]string{
		"status 000":              "HTTP/1.1 000 OK\r\n" + fields + length,
		"status 600":              "HTTP/1.1 600 OK\r\n" + fields + length,
		"status of two digits":    "HTTP/1.1 20 OK\r\n" + fields + length,
		"version":                 "HTTP/1.3 200 OK\r\n" + fields + length,
		"blank line before":       "\r\n" + ok + length,
		"control byte in reason":  "HTTP/1.1 200 O\x01K\r\n" + fields + length,
		"switch of protocols":     "HTTP/1.1 101 X\r\n\r\n" + ok + length,
		"blank in a name":         ok + "A b: c\r\n" + length,
		"blank after a name":      ok + "A : c\r\n" + length,
		"control byte in a name":  ok + "A\x01: c\r\n" + length,
		"control byte in a value": ok + "A: \x01\r\n" + length,
		"no colon":                ok + "A\r\n" + length,
		"line that goes on":       ok + "A: b\r\n c\r\n" + length,
		"line without CR":         ok + "A: b\n" + length,
		"lengths that differ":     ok + "Content-Length: 4\r\n" + length,
		"length that is none":     ok + "Content-Length: 9x\r\n\r\n" + malformedBody,
		"interim reason":          "HTTP/1.1 103 \x01\r\n\r\n" + ok + length,
		"interim field":           "HTTP/1.1 103 X\r\nA b: c\r\n\r\n" + ok + length,
		"chunk size":              chunked + "+9\r\n" + malformedBody + "\r\n0\r\n\r\n",
		"blank after chunk size":  chunked + "9 \r\n" + malformedBody + "\r\n0\r\n\r\n",
		"chunk extension":         chunked + "9;\x01\r\n" + malformedBody + "\r\n0\r\n\r\n",
		"end of a chunk":          chunked + "9\r\n" + malformedBody + "xx0\r\n\r\n",
		"trailer":                 chunked + "9\r\n" + malformedBody + "\r\n0\r\nA b: c\r\n\r\n",
		"promise":                 "HTTP/1.1 503 \x01\r\n" + fields + promise,
		"promise with a field":    "HTTP/1.1 503 X\r\nA b: c\r\n" + fields + promise,
	}
}

// promptFields make a request one with a prompt.
var promptFields = []string{"Model: " + model, "Token-Usage: 100,10", "Prefix-Hash: 1:50,2:50"}

// malformedBody is an event, so that it is no reason by itself to cut a stream.
const malformedBody = "data: x\n\n"

// Answers whose heads, chunk lines or trailers are none by the grammar were passed on, with a body that was not the replica's, or
// as a promise that the request had not run.
func TestAnswersThatAreNoneByTheGrammarAreNotPassedOn(t *testing.T) {
	for via, cutOff := range map[string]bool{"direct": false, "through another node": true} {
		for name, text := range malformedAnswers() {
			t.Run(via+"/"+name, func(t *testing.T) {
				t.Parallel()
				testMalformedAnswer(t, text, cutOff)
			})
		}
	}
}

func testMalformedAnswer(t *testing.T, text string, cutOff bool) {
	s := newSite(t)
	var malformed, received atomic.Bool
	script := func(w io.Writer, r *onplatform.Request) bool {
		if !malformed.Load() || strings.HasPrefix(r.Target, "/-/") {
			return onplatform.OK("ok")(w, r)
		}
		received.Store(true)
		_, err := io.WriteString(w, strings.ReplaceAll(text, "%ID%", r.ID()))
		return err == nil
	}
	replicas := []*onplatform.Replica{s.startReplica(appService, "a"), s.startReplica(llmService, "llm")}
	for _, r := range replicas {
		r.Script(script)
	}
	n := s.startForwarded(cutOff, replicas...)
	for path, repeatable := range map[string]bool{"/once/x": false, "/safe/x": true, "/resume/x": true, "/stream/x": false, "/prompt/x": false} {
		s.waitUntil("the replica is reached", func() bool {
			return n.send(request("GET", path, "", promptFields...)).status == http.StatusOK
		})
		received.Store(false)
		malformed.Store(true)
		got := n.send(request("GET", path, "", promptFields...))
		malformed.Store(false)
		assert.Check(t, received.Load(), "%s: not sent, %d", path, got.status)
		assert.Check(t, got.status >= http.StatusBadRequest || got.incomplete, "%s: %d %q looks whole", path, got.status, got.body)
		promises := got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests
		assert.Check(t, repeatable || !promises, "%s: %d promises that it has not run: %q", path, got.status, got.body)
		assert.Check(t, got.header.Get("Server-Stamp") == "" || got.incomplete, "%s: %d has the replica's signature", path, got.status)
	}
}
