package onplatform_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

func TestRequestIsForwardedUnchanged(t *testing.T) {
	s := newSite(t)
	r := s.startReplica(appService, "a")
	n := s.startReadyNode("n1")
	body := strings.Repeat("x\r\n\x00", 10_000)
	got := n.send(request("POST", "/once/../a//b%2F?q=1&&r=%20", body,
		"X-Other: kept", "Deadline-Ms: 3000", "Tenant: forged", "Kv-From: 1.2.3.4:5/6", "Hold: h", "Pin-Ms: 9", "Kv-Backup: 1.2.3.4:5",
		"Cache-Salt: forged", "Priority: 0", "Expect-Instance: other", "Expect-Version: 9", "Connection: X-Hop", "X-Hop: dropped"))
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.body, "from a")
	assert.Equal(t, got.header.Get("Server-Stamp"), "s")
	seen := r.Received()
	assert.Equal(t, len(seen), 1)
	in := seen[0]
	assert.Equal(t, in.Method, "POST")
	assert.Equal(t, in.Target, "/once/../a//b%2F?q=1&&r=%20")
	assert.Equal(t, in.Body, body)
	assert.Equal(t, in.Header.Get("X-Other"), "kept")
	assert.DeepEqual(t, in.Header["Tenant"], []string{"org-one"})
	assert.DeepEqual(t, in.Header["Expect-Instance"], []string{"a"})
	left, err := strconv.Atoi(in.Header.Get("Deadline-Ms"))
	assert.NilError(t, err)
	assert.Assert(t, left > 0 && left <= 3000)
	for _, name := range []string{"Authorization", "Kv-From", "Hold", "Pin-Ms", "Kv-Backup", "Cache-Salt", "Priority", "Expect-Version", "X-Hop"} {
		assert.Equal(t, in.Header.Get(name), "", name)
	}
}

func TestChunkedBodyArrivesWhole(t *testing.T) {
	s := newSite(t)
	r := s.startReplica(appService, "a")
	n := s.startReadyNode("n1")
	c := n.dial()
	c.write("POST /once/x HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: chunked-1\r\nAuthorization: Bearer " + key +
		"\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n")
	assert.Equal(t, c.read().status, 100)
	c.write("3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	assert.Equal(t, c.read().status, 200)
	assert.Equal(t, r.Received()[0].Body, "abcde")
}

func TestSmuggledRequestsReachNoReplica(t *testing.T) {
	s := newSite(t)
	r := s.startReplica(appService, "a")
	n := s.startReadyNode("n1")
	inner := request("POST", "/once/smuggled", "")
	for _, fields := range []string{
		"Content-Length: 4\r\nTransfer-Encoding: chunked",
		"Content-Length: 0\r\nContent-Length: 4",
		"Transfer-Encoding: xchunked",
		"Transfer-Encoding : chunked",
		"X: a\nContent-Length: 0",
	} {
		got := n.send("POST /once/x HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: outer\r\nAuthorization: Bearer " + key + "\r\n" + fields + "\r\n\r\n0\r\n\r\n" + inner)
		assert.Equal(t, got.status, 400, fields)
	}
	assert.Equal(t, len(r.Received()), 0)
}

func TestOneConnectionCarriesManyRequests(t *testing.T) {
	s := newSite(t)
	s.startReplica(appService, "a")
	n := s.startReadyNode("n1")
	c := n.dial()
	c.write(request("GET", "/safe/1", "") + request("POST", "/once/2", "body")) // Pipelined.
	assert.Equal(t, c.read().status, 200)
	assert.Equal(t, c.read().status, 200)
	c.write(request("HEAD", "/safe/3", ""))
	resp, err := http.ReadResponse(c.r, &http.Request{Method: "HEAD"})
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	c.write(request("GET", "/safe/4", ""))
	assert.Equal(t, c.read().body, "from a")
}

func TestUnauthenticatedRequestsAreRefused(t *testing.T) {
	s := newSite(t)
	s.routes = append(s.routes, map[string]any{
		"name": "open", "host": host, "path_prefix": "/open/", "kind": "idempotent", "timeout_ms": 1000, "service": appService, "max_attempts": 1, "allow_anonymous": true,
	})
	s.configure()
	r := s.startReplica(appService, "a")
	n := s.startReadyNode("n1")
	s.waitUntil("the open route is in force", func() bool { return n.send(request("GET", "/open/0", "")).status == 200 })
	bare := func(target, auth string) reply {
		return n.send("GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: who\r\nTenant: forged\r\n" + auth + "\r\n")
	}
	assert.Equal(t, bare("/safe/x", "").status, 401)
	assert.Equal(t, bare("/safe/x", "Authorization: Bearer wrong\r\n").status, 401)
	assert.Equal(t, bare("/safe/x", "Authorization: Basic "+key+"\r\n").status, 401)
	assert.Equal(t, bare("/nowhere/x", "Authorization: Bearer "+key+"\r\n").status, 404)
	before := len(r.Received())
	assert.Equal(t, bare("/open/x", "").status, 200)
	assert.Equal(t, r.Received()[before].Header.Get("Tenant"), "")
}

func TestOversizedOrMalformedRequestsAreRefused(t *testing.T) {
	s := newSite(t)
	r := s.startReplica(appService, "a")
	n := s.startReadyNode("n1")
	assert.Equal(t, n.send(request("POST", "/once/x", strings.Repeat("x", 1<<20+1))).status, 413)
	assert.Equal(t, n.send(request("POST", "/once/x", "", "X: "+strings.Repeat("x", 5000))).status, 431)
	assert.Equal(t, n.send("GARBAGE\r\n\r\n").status, 400)
	assert.Equal(t, n.send("GET /safe/x HTTP/1.1\r\nHost: "+host+"\r\n\r\n").status, 400) // No id.
	assert.Equal(t, len(r.Received()), 0)
}

func TestRequestNotExecutedIsSentToAnotherReplica(t *testing.T) {
	for _, status := range []int{503, 429, 421} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			s := newSite(t)
			a, b := s.startReplica(appService, "a"), s.startReplica(appService, "b")
			n := s.startReadyNode("n1")
			a.Script(onplatform.NotExecuted(status))
			for range 10 {
				got := n.send(request("POST", "/once/x", "body"))
				assert.Equal(t, got.status, 200)
				assert.Equal(t, got.body, "from b")
			}
			assert.Equal(t, len(b.Received()), 10)
		})
	}
}

func TestRefusalByAllReplicasHasRetryAfter(t *testing.T) {
	s := newSite(t)
	for _, id := range []string{"a", "b"} {
		s.startReplica(appService, id).Script(onplatform.NotExecuted(503))
	}
	n := s.startReadyNode("n1")
	got := n.send(request("POST", "/once/x", "body"))
	assert.Equal(t, got.status, 503)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 0)
	assert.Equal(t, got.header.Get("Server-Stamp"), "")
}

// After a lost answer nobody knows whether the request ran. One that is not idempotent must
// not be sent again, and the answer must not invite a retry.
func TestNonIdempotentRequestIsNotRetriedAfterLostAnswer(t *testing.T) {
	for name, script := range map[string]onplatform.Script{
		"closed":        onplatform.CloseUnanswered,
		"cut in head":   onplatform.Raw("HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\n", false),
		"cut in body":   onplatform.Raw("HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\nabc", false),
		"not an answer": onplatform.Raw("\x00\x01\x02 what\r\n\r\n", false),
		"no request ID": onplatform.Raw("HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 3\r\n\r\nabc", false),
		"two framings":  onplatform.Raw("HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc", false),
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			a, b := s.startReplica(appService, "a"), s.startReplica(appService, "b")
			n := s.startReadyNode("n1")
			a.Script(script)
			b.Script(script)
			got := n.send(request("POST", "/once/x", "body"))
			assert.Equal(t, got.status, 502)
			assert.Equal(t, got.header.Get("Retry-After"), "")
			assert.Equal(t, len(a.Received())+len(b.Received()), 1)
		})
	}
}

func TestIdempotentRequestIsRetriedAfterLostAnswer(t *testing.T) {
	s := newSite(t)
	a, b := s.startReplica(appService, "a"), s.startReplica(appService, "b")
	n := s.startReadyNode("n1")
	a.Script(onplatform.CloseUnanswered)
	for range 6 {
		assert.Equal(t, n.send(request("GET", "/safe/x", "")).body, "from b")
	}
	assert.Equal(t, len(b.Received()), 6)
}

func TestReplicaErrorIsDeliveredIfNoOtherReplicaSucceeds(t *testing.T) {
	s := newSite(t)
	a, b := s.startReplica(appService, "a"), s.startReplica(appService, "b")
	n := s.startReadyNode("n1")
	a.Script(onplatform.Failed)
	b.Script(onplatform.Failed)
	got := n.send(request("GET", "/safe/x", ""))
	assert.Equal(t, got.status, 500)
	assert.Equal(t, got.body, "oops")
	assert.Equal(t, got.header.Get("Server-Stamp"), "s")
	assert.Equal(t, len(a.Received())+len(b.Received()), 2)
	assert.Equal(t, n.send(request("POST", "/once/x", "body")).status, 500)
	assert.Equal(t, len(a.Received())+len(b.Received()), 3)
}

// A health endpoint may report a working replica as failed or a failed one as working, also to
// some callers only. Nodes must not call it, and judge a replica by its answers.
func TestHealthEndpointIsIgnored(t *testing.T) {
	s := newSite(t)
	well := s.startReplica(appService, "well") // Its health endpoint reports a failure.
	well.Script(func(w io.Writer, r *onplatform.Request) bool {
		if r.Target == "/healthz" {
			return onplatform.NotExecuted(503)(w, r)
		}
		return onplatform.OK("from well")(w, r)
	})
	ill := s.startReplica(appService, "ill") // Its health endpoint reports success.
	ill.Script(func(w io.Writer, r *onplatform.Request) bool {
		if r.Target == "/healthz" {
			return onplatform.OK("")(w, r)
		}
		return onplatform.Failed(w, r)
	})
	n := s.startReadyNode("n1")
	for range 40 {
		assert.Equal(t, n.send(request("POST", "/safe/x", "body")).body, "from well", "another replica is tried")
	}
	for _, r := range append(well.Received(), ill.Received()...) {
		assert.Assert(t, r.Target != "/healthz", "health probes cost replicas work")
	}
	assert.Assert(t, len(ill.Received()) < 20, "a failing replica is avoided, it got %d requests", len(ill.Received()))
}

func TestUnreachableReplicaIsReplaced(t *testing.T) {
	s := newSite(t)
	a := s.startReplica(appService, "a")
	s.startReplica(appService, "b")
	n := s.startReadyNode("n1")
	a.Close() // Its row stays in the store.
	for range 10 {
		assert.Equal(t, n.send(request("POST", "/once/x", "body")).body, "from b")
	}
}

// A replica sends a surplus answer. The node must not take it for the answer to the next request
// on the connection.
func TestAnswerToAnotherRequestIsNotDelivered(t *testing.T) {
	s := newSite(t)
	r := s.startReplica(appService, "a")
	n := s.startReadyNode("n1")
	surplus := "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: s\r\nContent-Length: 5\r\n\r\nother"
	own := "HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nServer-Stamp: s\r\nContent-Length: 3\r\n\r\nown"
	r.Script(onplatform.Raw(surplus+own, true))
	for range 5 {
		assert.Equal(t, n.send(request("POST", "/once/x", "body")).body, "own")
	}
	r.Script(onplatform.Raw(own+surplus, true))
	for range 5 {
		assert.Equal(t, n.send(request("POST", "/once/x", "body")).body, "own")
	}
	r.Script(onplatform.Raw(surplus+surplus+surplus+surplus, true))
	assert.Equal(t, n.send(request("POST", "/once/x", "body")).status, 502)
}

func TestSurplusBytesOnIdleConnectionAreNotDelivered(t *testing.T) {
	s := newSite(t)
	r := s.startReplica(appService, "a")
	n := s.startReadyNode("n1")
	late := make(chan struct{})
	r.Script(func(w io.Writer, in *onplatform.Request) bool {
		onplatform.OK("own")(w, in)
		_, err := io.WriteString(w, onplatform.Head(in, 200, 4)+"late")
		if err == nil {
			late <- struct{}{}
		}
		return true
	})
	for range 4 {
		assert.Equal(t, n.send(request("POST", "/once/x", "body")).body, "own")
		<-late
	}
}

// A replica that answers before it has read a long body and reads on later got the bytes of
// another request where the rest of the body was due.
func TestEarlyAnswerToALongBody(t *testing.T) {
	s := newSite(t)
	body := strings.Repeat("x", 4<<20)
	s.limits["max_body_bytes"] = 2 * len(body)
	s.configure()
	r := startEarlyReplica(t, len(body))
	s.store.Put(onplatform.TableUpstreams, "early", onplatform.UpstreamRow(appService, r.ln.Addr().(*net.TCPAddr).AddrPort(), 8, "ready"))
	n := s.startReadyNode("n1")
	for range 3 {
		assert.Equal(t, n.send(request("POST", "/once/x", body)).body, "early")
	}
	s.waitUntil("the replica has read the bodies, or their connections have closed", func() bool { return r.ended.Load() == 3 })
	assert.Equal(t, r.otherBytes.Load(), int64(0), "bytes of another request in place of the body")
}

// earlyReplica answers as soon as it has read a head, and reads the body afterwards.
type earlyReplica struct {
	ln         net.Listener
	bodySize   int
	ended      atomic.Int64 // Requests whose body was read or whose connection has closed.
	otherBytes atomic.Int64 // Bytes other than the body's where that was due.
}

func startEarlyReplica(t *testing.T, bodySize int) *earlyReplica {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &earlyReplica{ln: ln, bodySize: bodySize}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return r
}

func (r *earlyReplica) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	b := bufio.NewReader(conn)
	for {
		in, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		head := &onplatform.Request{Header: in.Header}
		_, _ = io.WriteString(conn, onplatform.Head(head, 200, 5)+"early") // The node may have disconnected.
		time.Sleep(50 * time.Millisecond)
		rest := make([]byte, r.bodySize)
		size, err := io.ReadFull(b, rest)
		r.otherBytes.Add(int64(size - bytes.Count(rest[:size], []byte("x"))))
		r.ended.Add(1)
		if err != nil {
			return
		}
	}
}

func TestRouteTimeoutBoundsWaitForSilentReplica(t *testing.T) {
	s := newSite(t)
	a := s.startReplica(appService, "a")
	n := s.startReadyNode("n1")
	a.Script(onplatform.Hang)
	got := n.send(request("GET", "/short/x", ""))
	assert.Equal(t, got.status, 504) // It may have run, so no Retry-After.
	assert.Equal(t, got.header.Get("Retry-After"), "")
	in := a.Received()[0]
	s.waitUntil("the connection to the replica is closed", func() bool {
		select {
		case <-in.Disconnected:
			return true
		default:
			return false
		}
	})
}

func TestClientDisconnectStopsReplica(t *testing.T) {
	s := newSite(t)
	a := s.startReplica(appService, "a")
	n := s.startReadyNode("n1")
	a.Script(onplatform.Hang)
	c := n.dial()
	c.write(request("POST", "/once/x", "body"))
	s.waitUntil("the request is at the replica", func() bool { return len(a.Received()) == 1 })
	assert.NilError(t, c.conn.Close())
	<-a.Received()[0].Disconnected
}

func TestStreamArrivesWhole(t *testing.T) {
	s := newSite(t)
	a := s.startReplica(appService, "a")
	n := s.startReadyNode("n1")
	a.Script(onplatform.Events(1, 5, time.Millisecond, true))
	got := n.send(request("POST", "/stream/x", "body"))
	assert.Assert(t, !got.incomplete)
	assert.Equal(t, got.body, events(1, 5))
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

func TestInterruptedStreamDoesNotLookComplete(t *testing.T) {
	s := newSite(t)
	a, b := s.startReplica(appService, "a"), s.startReplica(appService, "b")
	n := s.startReadyNode("n1")
	a.Script(onplatform.Events(1, 3, time.Millisecond, false))
	b.Script(onplatform.Events(1, 3, time.Millisecond, false))
	got := n.send(request("POST", "/stream/x", "body"))
	assert.Assert(t, got.incomplete)
	assert.Equal(t, got.body, events(1, 3))
	assert.Equal(t, len(a.Received())+len(b.Received()), 1)
}

func TestUnframedStreamCutInsideAnEventDoesNotLookComplete(t *testing.T) {
	s := newSite(t)
	a := s.startReplica(appService, "a")
	n := s.startReadyNode("n1")
	a.Script(onplatform.Raw("HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n"+events(1, 2)+"id: 3\nda", false))
	got := n.send(request("POST", "/stream/x", "body"))
	assert.Assert(t, got.incomplete)
	assert.Equal(t, got.body, events(1, 2))
}

// A resumable stream that breaks off inside an event is continued at another replica after
// the last complete event.
func TestInterruptedStreamResumesAtAnotherReplica(t *testing.T) {
	s := newSite(t)
	a, b := s.startReplica(appService, "a"), s.startReplica(appService, "b")
	n := s.startReadyNode("n1")
	script := func(w io.Writer, in *onplatform.Request) bool {
		if in.Header.Get("Last-Event-Id") == "" {
			onplatform.Events(1, 3, time.Millisecond, false)(w, in)
			_, _ = io.WriteString(w, "8\r\nid: 4\nda\r\n") // Breaks off inside an event.
			return false
		}
		assert.Check(t, in.Header.Get("Last-Event-Id") == "3")
		return onplatform.Events(3, 6, time.Millisecond, true)(w, in) // Repeats event 3.
	}
	a.Script(script)
	b.Script(script)
	got := n.send(request("POST", "/resume/x", "body"))
	assert.Assert(t, !got.incomplete)
	assert.Equal(t, got.body, events(1, 6))
	assert.Equal(t, len(a.Received()), 1)
	assert.Equal(t, len(b.Received()), 1)
}

func TestSlowClientsAreTimedOut(t *testing.T) {
	s := newSite(t)
	s.limits["header_timeout_ms"] = 200
	s.limits["idle_timeout_ms"] = 300
	s.configure()
	r := s.startReplica(appService, "a")
	n := s.startReadyNode("n1")
	head := n.dial()
	head.write("POST /once/x HTTP/1.1\r\nHost: " + host + "\r\n") // The rest never comes.
	got := head.read()
	assert.Equal(t, got.status, 408)
	assert.Assert(t, got.closing)
	body := n.dial()
	body.write("POST /once/x HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: slow\r\nDeadline-Ms: 200\r\nContent-Length: 9\r\n\r\nabc")
	assert.Equal(t, body.read().status, 408)
	rest := n.dial()
	rest.write(request("GET", "/safe/x", ""))
	assert.Equal(t, rest.read().status, 200)
	_, err := rest.r.ReadByte()
	assert.Assert(t, err == io.EOF, "a connection that is idle too long is closed without an answer")
	assert.Equal(t, len(r.Received()), 1)
}
