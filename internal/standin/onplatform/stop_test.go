package onplatform_test

import (
	"io"
	"strings"
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
				n.Leave()
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
