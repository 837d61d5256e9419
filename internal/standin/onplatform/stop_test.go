package onplatform_test

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

// quietTime is how long after the start of a stop a node waits only for requests that it is
// still reading.
const quietTime = 2 * time.Second

// workTime is how long replicas in these tests work on a request.
const workTime = 100 * time.Millisecond

// slowAnswer answers after workTime, unless the caller disconnects.
func slowAnswer(onStart func()) onplatform.Script {
	return func(w io.Writer, r *onplatform.Request) bool {
		onStart()
		select {
		case <-r.Disconnected:
			return false
		case <-time.After(workTime):
		}
		return onplatform.OK("whole")(w, r)
	}
}

// A stopping node checked every 50 ms for requests in flight and ended the stop when it had found
// none for 0.3 s. It counted only requests that it had read whole, so a request whose last bytes
// came after the last check was sent to a replica just before the node closed all connections,
// and the client got no answer. Here the last bytes come 2 s into a grace period of 5 s.
func TestStopWaitsForRequestsThatAreBeingRead(t *testing.T) {
	text := request("POST", "/once/x", "the whole body")
	for name, sent := range map[string]int{
		"first byte": 1,
		"half head":  strings.Index(text, "\r\n\r\n") / 2,
		"head":       strings.Index(text, "\r\n\r\n") + 4,
		"half body":  len(text) - 5,
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			a := s.startReplica(appService, "a")
			n := s.startReadyNode("n1")
			started := make(chan struct{})
			a.Script(slowAnswer(func() { close(started) }))
			c := n.dial()
			c.write(text[:sent])
			time.Sleep(workTime) // The node has read them.
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				n.Drain()
				<-started
				n.close()
			}()
			time.Sleep(quietTime)
			c.write(text[sent:])
			<-started
			got := c.read()
			assert.Assert(t, !got.incomplete, "a replica has started on it")
			assert.Equal(t, got.body, "whole")
			assert.Assert(t, got.closing, "the node announces that it closes the connection")
			<-ended
		})
	}
}

// A stop closes idle connections and refuses new ones after callers have had time to learn of
// it. It must not wait for a request when there is none.
func TestStoppedNodeRefusesConnections(t *testing.T) {
	s := newSite(t)
	a := s.startReplica(appService, "a")
	n := s.startReadyNode("n1")
	idle := n.dial()
	start := time.Now()
	n.Drain()
	assert.Assert(t, time.Since(start) < quietTime)
	assert.Assert(t, idle.read().incomplete)
	_, err := net.Dial("tcp", n.entry)
	assert.ErrorContains(t, err, "refused")
	n.close()
	assert.Equal(t, len(a.Received()), 0)
}

// A request whose rest never comes must not hold up a stop longer than the grace period.
func TestIncompleteRequestDoesNotDelayStopPastGrace(t *testing.T) {
	s := newSite(t)
	s.startReplica(appService, "a")
	n := s.startReadyNode("n1")
	c := n.dial()
	c.write("POST /once/x HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: slow\r\nContent-Length: 9\r\n\r\nabc")
	start := time.Now()
	n.Drain()
	n.close()
	assert.Assert(t, time.Since(start) < 5*time.Second, "its grace period")
	assert.Assert(t, c.read().incomplete)
}

// The load and the stops of TestOverlappingStopsCutNoStartedRequest.
const (
	stoppedNodes   = 3
	clientsPerNode = 24
	stopInterval   = 300 * time.Millisecond
	maxPause       = 250 * time.Millisecond // Before a request, and within one.
	shortWorkTime  = 15 * time.Millisecond
)

// Clients keep sending while several nodes stop at overlapping times, on old and new connections,
// with requests of which a part comes at a random later time. Each request that a replica has
// started must be answered. TestStopWaitsForRequestsThatAreBeingRead sends the late bytes at the
// critical moment; this test leaves that to chance.
func TestOverlappingStopsCutNoStartedRequest(t *testing.T) {
	s := newSite(t)
	a := s.startReplica(appService, "a")
	a.Script(func(w io.Writer, r *onplatform.Request) bool {
		time.Sleep(shortWorkTime)
		return onplatform.OK("whole")(w, r)
	})
	var answered sync.Map
	var clients, stops sync.WaitGroup
	nodes := make([]*node, stoppedNodes)
	for i, name := range []string{"n1", "n2", "n3"} {
		nodes[i] = s.startReadyNode(name)
	}
	for _, n := range nodes {
		for range clientsPerNode {
			clients.Go(func() { n.callUntilStopped(&answered) })
		}
	}
	time.Sleep(stopInterval)
	for _, n := range nodes {
		stops.Go(func() {
			n.Drain()
			n.close()
		})
		time.Sleep(stopInterval)
	}
	stops.Wait()
	clients.Wait()
	for _, in := range a.Received() {
		_, ok := answered.Load(in.ID())
		assert.Check(t, ok, "%s has run without an answer", in.ID())
	}
	t.Logf("%d requests have run", len(a.Received()))
}

// callUntilStopped sends requests, some in two parts, until the node accepts no more connections.
func (n *node) callUntilStopped(answered *sync.Map) {
	for {
		conn, err := net.Dial("tcp", n.entry)
		if err != nil {
			return
		}
		callUntilClosed(conn, answered)
		_ = conn.Close() // The next round dials a new one.
	}
}

// callUntilClosed sends requests on a connection until the node closes it.
func callUntilClosed(conn net.Conn, answered *sync.Map) {
	_ = conn.SetDeadline(time.Now().Add(waitTimeout)) // If it fails, so do the writes below.
	c := &client{conn: conn, r: bufio.NewReader(conn)}
	for {
		time.Sleep(rand.N(maxPause))
		text := request("POST", "/once/x", "the whole body")
		id := text[strings.Index(text, "r-"):]
		id = id[:strings.Index(id, "\r")]
		parts := []string{text}
		if at := rand.N(2 * len(text)); at < len(text) {
			parts = []string{text[:at], text[at:]}
		}
		for i, part := range parts {
			if i > 0 {
				time.Sleep(rand.N(maxPause))
			}
			if _, err := io.WriteString(conn, part); err != nil {
				return
			}
		}
		got := c.read()
		if got.incomplete {
			return
		}
		answered.Store(id, got.status)
		if got.closing {
			return
		}
	}
}
