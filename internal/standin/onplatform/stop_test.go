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

// lookedQuiet is when a stop has long had nothing to wait for but a request that
// is still being read.
const lookedQuiet = 2 * time.Second

// workTime is how long replicas of these tests work on a request.
const workTime = 100 * time.Millisecond

// slowly answers after the replica has worked for a while, unless the caller goes.
func slowly(begun func()) onplatform.Script {
	return func(w io.Writer, r *onplatform.Request) bool {
		begun()
		select {
		case <-r.Gone:
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
			a := s.replica(app, "a")
			n := s.node("n1")
			begun := make(chan struct{})
			a.Script(slowly(func() { close(begun) }))
			c := n.dial()
			c.write(text[:sent])
			time.Sleep(workTime) // They have been read.
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				n.Drain()
				<-begun
				n.end()
			}()
			time.Sleep(lookedQuiet)
			c.write(text[sent:])
			<-begun
			got := c.read()
			assert.Assert(t, !got.cut, "a replica has begun on it")
			assert.Equal(t, got.body, "whole")
			assert.Assert(t, got.last, "the connection is not to be used again")
			<-ended
		})
	}
}

// A stop ends rests and takes no connection any more when callers have had the time to
// hear of it; it does not wait for a request where there is none.
func TestStoppedNodeTakesNoConnection(t *testing.T) {
	s := newSite(t)
	a := s.replica(app, "a")
	n := s.node("n1")
	rests := n.dial()
	begun := time.Now()
	n.Drain()
	assert.Assert(t, time.Since(begun) < lookedQuiet)
	assert.Assert(t, rests.read().cut)
	_, err := net.Dial("tcp", n.entry)
	assert.ErrorContains(t, err, "refused")
	n.end()
	assert.Equal(t, len(a.Seen()), 0)
}

// A request of which the rest never comes holds a stop no longer than its time allows.
func TestStopEndsThoughARequestNeverBecomesWhole(t *testing.T) {
	s := newSite(t)
	s.replica(app, "a")
	n := s.node("n1")
	c := n.dial()
	c.write("POST /once/x HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: slow\r\nContent-Length: 9\r\n\r\nabc")
	begun := time.Now()
	n.Drain()
	n.end()
	assert.Assert(t, time.Since(begun) < 5*time.Second, "its grace period")
	assert.Assert(t, c.read().cut)
}

// The stops of a busy site.
const (
	stopNodes   = 3
	stopClients = 24 // Of each node.
	stopApart   = 300 * time.Millisecond
	mostPause   = 250 * time.Millisecond // Before a request, and within one.
	shortWork   = 15 * time.Millisecond
)

// The test above puts the bytes where they did harm; here chance does, over whole stops
// that overlap, while clients go on, on kept connections and on new ones, with requests
// of which a part comes later. Whatever a replica has begun is answered.
func TestStopsCutNothingThatAReplicaHasBegun(t *testing.T) {
	s := newSite(t)
	a := s.replica(app, "a")
	a.Script(func(w io.Writer, r *onplatform.Request) bool {
		time.Sleep(shortWork)
		return onplatform.OK("whole")(w, r)
	})
	var answered sync.Map
	var clients, stops sync.WaitGroup
	nodes := make([]*node, stopNodes)
	for i, name := range []string{"n1", "n2", "n3"} {
		nodes[i] = s.node(name)
	}
	for _, n := range nodes {
		for range stopClients {
			clients.Go(func() { n.callUntilGone(&answered) })
		}
	}
	time.Sleep(stopApart)
	for _, n := range nodes {
		stops.Go(func() {
			n.Drain()
			n.end()
		})
		time.Sleep(stopApart)
	}
	stops.Wait()
	clients.Wait()
	for _, in := range a.Seen() {
		_, ok := answered.Load(in.ID())
		assert.Check(t, ok, "%s has run without an answer", in.ID())
	}
	t.Logf("%d requests have run", len(a.Seen()))
}

// callUntilGone sends requests, some in two parts, until the node listens no more.
func (n *node) callUntilGone(answered *sync.Map) {
	for {
		conn, err := net.Dial("tcp", n.entry)
		if err != nil {
			return
		}
		callUntilLast(conn, answered)
		_ = conn.Close() // A new one is made.
	}
}

// callUntilLast sends requests on a connection as long as the node keeps it.
func callUntilLast(conn net.Conn, answered *sync.Map) {
	_ = conn.SetDeadline(time.Now().Add(waitFor)) // A broken one is seen below.
	c := &client{conn: conn, r: bufio.NewReader(conn)}
	for {
		time.Sleep(rand.N(mostPause))
		text := request("POST", "/once/x", "the whole body")
		id := text[strings.Index(text, "r-"):]
		id = id[:strings.Index(id, "\r")]
		parts := []string{text}
		if at := rand.N(2 * len(text)); at < len(text) {
			parts = []string{text[:at], text[at:]}
		}
		for i, part := range parts {
			if i > 0 {
				time.Sleep(rand.N(mostPause))
			}
			if _, err := io.WriteString(conn, part); err != nil {
				return
			}
		}
		got := c.read()
		if got.cut {
			return
		}
		answered.Store(id, got.status)
		if got.last {
			return
		}
	}
}
