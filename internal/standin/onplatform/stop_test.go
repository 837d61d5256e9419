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

// quietTime is when a stop has long had nothing to wait for but a request that
// is still being read.
const quietTime = 2 * time.Second

// workTime is how long replicas of these tests work on a request.
const workTime = 100 * time.Millisecond

// slowAnswer answers after the replica has worked for a while, unless the caller goes.
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

// Symptom: some 1.2 s after a node was told to stop, a replica had begun on a request
// when the node closed both connections; the client got no answer.
// Sequence: the request's bytes were coming while the node looked a last time; it found
// nothing in flight, ended its stop, passed the request on as its last bytes came, and
// closed all connections.
// Cause: a stop ended when looks 50 ms apart had counted no request for 0.3 s. Only
// requests that were read whole were counted, and nothing kept one from becoming whole
// between the last look and the closing.
// What settled it: with the last bytes held back until the wait had ended, "requests cut
// by a stop" told serving=1 and "cut by a stop" a request 0.9 ms old with attempts=1,
// 2.0 s after "stopping" had told in_flight=0, of a grace period of 5 s.
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
			time.Sleep(workTime) // They have been read.
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
			assert.Assert(t, got.closing, "the connection is not to be used again")
			<-ended
		})
	}
}

// A stop ends rests and takes no connection any more when callers have had the time to
// hear of it; it does not wait for a request where there is none.
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

// A request of which the rest never comes holds a stop no longer than its time allows.
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

// The stops of a busy site.
const (
	stoppedNodes   = 3
	clientsPerNode = 24 // Of each node.
	stopInterval   = 300 * time.Millisecond
	maxPause       = 250 * time.Millisecond // Before a request, and within one.
	shortWorkTime  = 15 * time.Millisecond
)

// The test above puts the bytes where they did harm; here chance does, over whole stops
// that overlap, while clients go on, on kept connections and on new ones, with requests
// of which a part comes later. Whatever a replica has begun is answered.
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

// callUntilStopped sends requests, some in two parts, until the node listens no more.
func (n *node) callUntilStopped(answered *sync.Map) {
	for {
		conn, err := net.Dial("tcp", n.entry)
		if err != nil {
			return
		}
		callUntilClosed(conn, answered)
		_ = conn.Close() // A new one is made.
	}
}

// callUntilClosed sends requests on a connection as long as the node keeps it.
func callUntilClosed(conn net.Conn, answered *sync.Map) {
	_ = conn.SetDeadline(time.Now().Add(waitTimeout)) // A broken one is seen below.
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
