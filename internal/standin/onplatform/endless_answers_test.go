package onplatform_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

const (
	// maxEndlessBytes is the most that a replica may get rid of for one request: the bound of an answer, and the
	// buffers of the kernel on both sides.
	maxEndlessBytes = 48 << 20
	// endlessTimeout is the timeout of the routes, and endlessSlack how much later an answer may come on a busy
	// machine.
	endlessTimeout = 4 * time.Second
	endlessSlack   = 1500 * time.Millisecond
	tricklePause   = 20 * time.Millisecond
	trickleBytes   = 200
)

// endlessAnswer is an answer that begins with head and goes on with filler until its connection closes.
type endlessAnswer struct {
	head, filler string
	// streams is set if only routes of streams read it as something else than a body.
	streams bool
}

const (
	okHead     = "HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nServer-Stamp: s\r\n"
	chunked    = "Transfer-Encoding: chunked\r\n\r\n"
	oneChunk   = "2\r\n{}\r\n"
	otherID    = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: s\r\n"
	streamHead = okHead + "Content-Type: text/event-stream\r\n"
)

// filler repeats a text to some KB.
func filler(text string) string { return strings.Repeat(text, 1+8000/len(text)) }

var endlessAnswers = map[string]endlessAnswer{
	"start line":                  {"", filler("x"), false},
	"reason":                      {"HTTP/1.1 200 ", filler("x"), false},
	"blank lines":                 {"", filler("\r\n"), false},
	"fields":                      {okHead, filler("A: b\r\n"), false},
	"one field":                   {okHead + "A: ", filler("x"), false},
	"interim answers":             {"", filler("HTTP/1.1 102 Processing\r\n\r\n"), false},
	"fields of an interim answer": {"HTTP/1.1 103 Early Hints\r\n", filler("Link: x\r\n"), false},
	"body with a length":          {okHead + "Content-Length: 900000000000\r\n\r\n", filler("x"), false},
	"body in chunks":              {okHead + chunked, "1f40\r\n" + strings.Repeat("x", 0x1f40) + "\r\n", false},
	"body until close":            {okHead + "\r\n", filler("x"), false},
	"body of a failure":           {"HTTP/1.1 500 X\r\nRequest-Id: %ID%\r\nServer-Stamp: s\r\n" + chunked, "1f40\r\n" + strings.Repeat("x", 0x1f40) + "\r\n", false},
	"chunk line":                  {okHead + chunked + "1;", filler("x"), false},
	"chunk extensions":            {okHead + chunked, "1;" + strings.Repeat("e", 1000) + "\r\nx\r\n", false},
	"trailers":                    {okHead + chunked + oneChunk + "0\r\n", filler("T: x\r\n"), false},
	"answer to another request":   {otherID + "Content-Length: 900000000000\r\n\r\n", filler("x"), false},
	"chunks to another request":   {otherID + chunked, "1f40\r\n" + strings.Repeat("x", 0x1f40) + "\r\n", false},
	"event without end":           {streamHead + "\r\ndata: ", filler("x"), true},
	"comments":                    {streamHead + "\r\n", filler(": wait\n\n"), true},
	"blocks without fields":       {streamHead + "\r\n", filler("xxxx\n\n"), true},
}

// send writes the answer until the connection is closed and returns the number of bytes written.
func (a *endlessAnswer) send(w io.Writer, id string, pauses bool) (written int64) {
	next, pause := strings.ReplaceAll(a.head, "%ID%", id), time.Duration(0)
	rest := a.filler
	for {
		n, err := io.WriteString(w, next)
		written += int64(n)
		if err != nil {
			return written
		}
		time.Sleep(pause)
		if !pauses {
			next = a.filler
			continue
		}
		pause = tricklePause
		if len(rest) < trickleBytes {
			rest += a.filler
		}
		next, rest = rest[:trickleBytes], rest[trickleBytes:]
	}
}

// Bytes that are no answer and don't end were read until the route's timeout, hundreds of MB for a request, and
// the request was not tried elsewhere.
func TestAnswerWithoutEndIsCutOff(t *testing.T) {
	for name, answer := range endlessAnswers {
		for pace, pauses := range map[string]bool{"at once": false, "with pauses": true} {
			t.Run(name+"/"+pace, func(t *testing.T) {
				t.Parallel()
				testEndlessAnswer(t, &answer, pauses)
			})
		}
	}
}

func testEndlessAnswer(t *testing.T, answer *endlessAnswer, pauses bool) {
	s := newSite(t)
	for _, r := range s.routes {
		r["timeout_ms"] = endlessTimeout.Milliseconds()
	}
	s.configure()
	var endless atomic.Bool // The next request gets the answer without end.
	var sent atomic.Int64
	script := func(w io.Writer, r *onplatform.Request) bool {
		if !endless.CompareAndSwap(true, false) {
			return onplatform.Events(1, 2, 0, true)(w, r)
		}
		sent.Store(answer.send(w, r.ID(), pauses))
		return false
	}
	for _, id := range []string{"a", "b"} {
		s.startReplica(appService, id).Script(script)
		s.startReplica(llmService, "llm-"+id).Script(script)
	}
	n := s.startReadyNode("n1")
	s.waitUntil("all replicas are known", func() bool { return replicaCount(n, appService) == 2 && replicaCount(n, llmService) == 2 })
	n.awaitRetries()
	for _, path := range []string{"/once/x", "/safe/x", "/resume/x", "/stream/x", "/prompt/x"} {
		if answer.streams && (path == "/once/x" || path == "/safe/x") {
			continue // There it is a body like any other.
		}
		sent.Store(-1)
		endless.Store(true)
		startedAt := time.Now()
		c := n.dial()
		c.write(request("GET", path, "", "Connection: close", "Model: "+model, "Token-Usage: 100,10", "Prefix-Hash: 1:50,2:50"))
		raw, _ := io.ReadAll(c.conn) // A cut may reset the connection.
		took := time.Since(startedAt)
		assert.Check(t, took < endlessTimeout+endlessSlack, "%s: %v", path, took)
		assert.Check(t, !strings.Contains(string(raw), "xxxx") && !strings.Contains(string(raw), "T: x"), "%s: bytes of the answer reached the client: %.200q", path, raw)
		s.waitUntil("the replica's connection is closed", func() bool { return sent.Load() >= 0 })
		assert.Check(t, sent.Load() < maxEndlessBytes, "%s: %d MB", path, sent.Load()>>20)
		repeatable := path == "/safe/x" || path == "/resume/x"
		if repeatable && !pauses {
			assert.Check(t, strings.HasPrefix(string(raw), "HTTP/1.1 200 ") && strings.Contains(string(raw), events(2, 2)),
				"%s: not tried at the other replica: %.200q", path, raw)
		}
		assert.Equal(t, n.metrics().ResponseMemory.Held, int64(0))
	}
}

// maxUnreadTime is less than the time after which an idle connection is closed for its age.
const maxUnreadTime = 2 * time.Second

// Bytes that came on an idle connection were noticed only when it was used again.
func TestIdleConnectionWithUnreadBytesIsClosed(t *testing.T) {
	s := newSite(t)
	closed := make(chan struct{})
	s.startReplica(appService, "a").Script(func(w io.Writer, r *onplatform.Request) bool {
		onplatform.OK("whole")(w, r)
		go func() {
			defer close(closed)
			time.Sleep(50 * time.Millisecond) // The node has read the answer by then.
			for {
				if _, err := io.WriteString(w, filler("x")); err != nil {
					return
				}
			}
		}()
		return true
	})
	n := s.startReadyNode("n1")
	got := n.send(request("GET", "/once/x", ""))
	assert.Assert(t, got.status == http.StatusOK && got.body == "whole")
	select {
	case <-closed:
	case <-time.After(maxUnreadTime):
		t.Fatal("the connection stays open")
	}
}
