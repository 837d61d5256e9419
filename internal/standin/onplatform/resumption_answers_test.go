package onplatform_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

// streamEnd is how a stream ended for a client that judges it by its bytes.
type streamEnd string

const (
	endWhole streamEnd = "whole" // The last chunk came.
	endCut   streamEnd = "cut"   // The connection closed before it.
)

// readStreamBytes reads the connection to its end and returns the events of a chunked stream, how it
// ended, and an error if the bytes are no answer, hold other than whole events, or go on after it.
func (c *client) readStreamBytes() (list []string, end streamEnd, err error) {
	raw, readErr := io.ReadAll(c.conn)
	if readErr != nil && !strings.Contains(readErr.Error(), "reset") {
		return nil, "", fmt.Errorf("the connection stays open after %q: %w", raw, readErr)
	}
	r := bufio.NewReader(bytes.NewReader(raw))
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return nil, "", fmt.Errorf("%q: %w", raw, err)
	}
	defer closeBody(resp)
	body, err := io.ReadAll(resp.Body)
	switch {
	case err == nil:
		end = endWhole
	case errors.Is(err, io.ErrUnexpectedEOF):
		end = endCut
	default:
		return nil, "", fmt.Errorf("%q: %w", raw, err)
	}
	if rest, _ := io.ReadAll(r); len(rest) > 0 {
		return nil, "", fmt.Errorf("bytes after the answer: %q", rest)
	}
	for text := string(body); text != ""; {
		event, rest, whole := strings.Cut(text, "\n\n")
		if !whole || !strings.HasPrefix(event, "id: ") {
			return nil, "", fmt.Errorf("not an event: %q", text)
		}
		list, text = append(list, event), rest
	}
	return list, end, nil
}

// checkStream checks that a client got the events from 1 on without a gap, and all of them if the stream
// looks whole.
func checkStream(t *testing.T, c *client, last int) streamEnd {
	t.Helper()
	list, end, err := c.readStreamBytes()
	assert.NilError(t, err)
	for i, event := range list {
		assert.Equal(t, event, strings.TrimSuffix(events(i+1, i+1), "\n\n"))
	}
	assert.Assert(t, end == endCut || len(list) == last, "%d of %d events look like a whole stream", len(list), last)
	return end
}

// resumptionAnswers are answers to a resumption that are not the rest of the stream.
func resumptionAnswers() map[string]onplatform.Script {
	answers := map[string]onplatform.Script{
		"200 json":          onplatform.Raw("HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nServer-Stamp: s\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}", true),
		"200 json, chunked": onplatform.Raw("HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nServer-Stamp: s\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", true),
		"200 without type":  onplatform.Raw("HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok", true),
	}
	for _, status := range []int{201, 202, 203, 204, 206, 301, 304, 307, 400, 401, 403, 404, 409, 410, 412, 416, 421, 429, 451, 499, 500, 502, 503, 504} {
		answers[strconv.Itoa(status)] = func(w io.Writer, r *onplatform.Request) bool {
			text := onplatform.Head(r, status, 5) + "again"
			if status == http.StatusNoContent || status == http.StatusNotModified {
				text = strings.Replace(onplatform.Head(r, status, 0), "Content-Length: 0\r\n", "", 1)
			}
			_, err := io.WriteString(w, text)
			return err == nil
		}
	}
	return answers
}

// A second answer, or bytes that are no event, were written into a stream that the client was reading, and
// streams without their rest looked whole.
func TestAnswerThatIsNotTheRestOfAStreamCutsIt(t *testing.T) {
	for via, cutOff := range map[string]bool{"direct": false, "through another node": true} {
		for name, answer := range resumptionAnswers() {
			t.Run(via+"/"+name, func(t *testing.T) {
				t.Parallel()
				n := startResumptionSite(t, cutOff, answer)
				c := n.dial()
				c.write(request("POST", "/resume/x", "body"))
				assert.Equal(t, checkStream(t, c, 4), endCut)
			})
		}
	}
}

// breakAfterTwoEvents breaks off each new stream after two of its four events, and answers a resumption as given.
func breakAfterTwoEvents(resumption onplatform.Script) onplatform.Script {
	return func(w io.Writer, r *onplatform.Request) bool {
		switch {
		case !strings.HasPrefix(r.Target, "/resume/"):
			return onplatform.OK("ok")(w, r)
		case r.Header.Get("Last-Event-Id") == "":
			return onplatform.Events(1, 2, time.Millisecond, false)(w, r)
		default:
			return resumption(w, r)
		}
	}
}

// startResumptionSite starts a node with two replicas, which break off each new stream after two of its four
// events and answer a resumption as given. If the node is cut off from them, another one forwards its requests.
func startResumptionSite(t *testing.T, cutOff bool, answer onplatform.Script) *node {
	s := newSite(t)
	replicas := []*onplatform.Replica{s.startReplica(appService, "a"), s.startReplica(appService, "b")}
	for _, r := range replicas {
		r.Script(breakAfterTwoEvents(answer))
	}
	return s.startForwarded(cutOff, replicas...)
}

// startForwarded starts a node. If it is cut off from the replicas, which are those of the site, another node forwards its
// requests.
func (s *site) startForwarded(cutOff bool, replicas ...*onplatform.Replica) *node {
	if !cutOff {
		return s.startReadyNode("n1")
	}
	links := s.newReplicaLinks()
	n := s.startNodeDialing(s.settings("n1"), links.dial)
	other := s.startNode("n2")
	s.waitUntil("the nodes know each other and the replicas", func() bool {
		known := replicaCount(n, appService) + replicaCount(n, llmService)
		return n.isReady() && other.isReady() && known == len(replicas) && nodeCount(n) == 2 && nodeCount(other) == 2
	})
	links.cutOff(cutReset, replicas...)
	s.waitUntil("requests are forwarded", func() bool {
		return n.send(request("GET", "/safe/x", "")).status == http.StatusOK
	})
	return n
}

// awaitRetries waits until the retry budget allows some retries: a node that does not know whether it had an
// earlier process has few in its first second.
func (n *node) awaitRetries() {
	n.site.waitUntil("retries are allowed", func() bool {
		n.send(request("GET", "/safe/x", ""))
		var status struct {
			Retries map[string]struct {
				Allowed float64 `json:"allowed"`
			} `json:"retries"`
		}
		n.readMetrics(&status)
		return status.Retries[appService].Allowed >= fewRetries
	})
}

// fewRetries is more than a test makes.
const fewRetries = 10

// Another replica is tried if one declines or fails to take a stream up.
func TestStreamGoesOnAtReplicaThatTakesItUp(t *testing.T) {
	for name, answer := range resumptionAnswers() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.routes[2]["max_attempts"] = 8
			s.configure()
			tried := make(chan struct{}, 1)
			script := breakAfterTwoEvents(func(w io.Writer, r *onplatform.Request) bool {
				select {
				case tried <- struct{}{}:
					return answer(w, r)
				default:
					return onplatform.Events(3, 4, time.Millisecond, true)(w, r)
				}
			})
			for _, id := range []string{"a", "b", "c"} {
				s.startReplica(appService, id).Script(script)
			}
			n := s.startReadyNode("n1")
			s.waitUntil("all replicas are known", func() bool { return replicaCount(n, appService) == 3 })
			n.awaitRetries()
			c := n.dial()
			c.write(request("POST", "/resume/x", "body", "Connection: close"))
			assert.Equal(t, checkStream(t, c, 4), endWhole)
		})
	}
}

// A stream whose body ended, by its length or its chunks, inside an event looked whole.
func TestStreamThatEndsInsideAnEventIsCut(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\n"
	part := events(3, 3) + "id: 4\ndata: pi"
	ends := map[string]string{
		"length":   fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(part), part),
		"chunks":   fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(part), part),
		"no event": head + "Content-Length: 9\r\n\r\nnot found",
	}
	for name, text := range ends {
		for via, cutOff := range map[string]bool{"direct": false, "through another node": true} {
			t.Run(name+"/"+via, func(t *testing.T) {
				t.Parallel()
				n := startResumptionSite(t, cutOff, onplatform.Raw(text, true))
				c := n.dial()
				c.write(request("POST", "/resume/x", "body"))
				assert.Equal(t, checkStream(t, c, 4), endCut)
			})
		}
		t.Run(name+"/first answer", func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.startReplica(appService, "a").Script(onplatform.Raw(strings.ReplaceAll(text, events(3, 3), events(1, 1)), true))
			got := s.startReadyNode("n1").send(request("POST", "/stream/x", "body"))
			assert.Assert(t, got.incomplete || got.status == http.StatusBadGateway, "%d %q", got.status, got.body)
		})
	}
}

// An answer of another type than events on a route of streams is passed on as it is.
func TestAnswerWithoutEventsOnStreamingRouteIsPassedOn(t *testing.T) {
	s := newSite(t)
	s.startReplica(appService, "a").Script(onplatform.Raw("HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nServer-Stamp: s\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}", true))
	got := s.startReadyNode("n1").send(request("POST", "/stream/x", "body"))
	assert.Assert(t, !got.incomplete && got.body == "{}", "%d %q", got.status, got.body)
}

// A client of HTTP/1.0 takes the close of its connection for the end of the body, so a cut must reset it.
func TestCutStreamIsResetForClientWithoutChunks(t *testing.T) {
	for complete, name := range map[bool]string{true: "whole", false: "cut"} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.startReplica(appService, "a").Script(onplatform.Events(1, 2, 20*time.Millisecond, complete))
			c := s.startReadyNode("n1").dial()
			c.write(strings.Replace(request("POST", "/stream/x", "body"), "HTTP/1.1", "HTTP/1.0", 1))
			raw, err := io.ReadAll(c.conn)
			if complete {
				assert.NilError(t, err)
				assert.Assert(t, strings.HasSuffix(string(raw), events(1, 2)), "%q", raw)
				return
			}
			assert.ErrorContains(t, err, "reset")
		})
	}
}

// The end of a stream was written as a chunk after the answer to HEAD, which has no body.
func TestAnswerToHeadOnStreamingRouteHasNoBody(t *testing.T) {
	s := newSite(t)
	s.startReplica(appService, "a").Script(onplatform.Raw("HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n", true))
	c := s.startReadyNode("n1").dial()
	c.write(request("HEAD", "/stream/x", "", "Connection: close"))
	raw, err := io.ReadAll(c.conn)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(raw), "HTTP/1.1 200 OK\r\n") && strings.HasSuffix(string(raw), "\r\n\r\n"), "%q", raw)
	assert.Equal(t, strings.Count(string(raw), "\r\n\r\n"), 1, "%q", raw)
}
