package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

const (
	// graceCallers is how many clients call a node that stops. Each sends one request, the last at the end of the grace.
	graceCallers = 120
	// shortestWork and longestWork bound how long a replica works on a request.
	shortestWork = 300 * time.Millisecond
	longestWork  = 4 * time.Second
)

// graceCall is one request to a node that stops, and what came of it.
type graceCall struct {
	id   string
	kind string
	// how is when its connection was made and its bytes were sent: "kept" and "new" connections, or "half" sent before.
	how      string
	sentAt   time.Duration // After the signal.
	work     time.Duration
	status   int // 0 without a whole answer.
	promised bool
}

// send makes a call at a time after the signal.
func (c *graceCall) send(n *node, signalled time.Time) {
	text := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 10000\r\nContent-Length: 4\r\n\r\n%04d",
		c.kind, host, c.id, key, c.work.Milliseconds())
	var conn net.Conn
	var err error
	if c.how != "new" {
		if conn, err = net.Dial("tcp", n.entry()); err != nil {
			return
		}
	}
	if c.how == "half" {
		_, _ = io.WriteString(conn, text[:len(text)-2]) // The rest is sent below.
		text = text[len(text)-2:]
	}
	time.Sleep(time.Until(signalled.Add(c.sentAt)))
	if conn == nil {
		if conn, err = net.Dial("tcp", n.entry()); err != nil {
			return
		}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second)) // Cannot fail on an open connection.
	if _, err := io.WriteString(conn, text); err != nil {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	if _, err = io.ReadAll(resp.Body); err == nil {
		c.status, c.promised = resp.StatusCode, resp.StatusCode == http.StatusServiceUnavailable
	}
	_ = resp.Body.Close() // It has been read to its end, or is of no use.
}

// Requests that came late in the grace of a planned stop were passed on, and cut at its end without an answer.
func TestRequestsThatANodePassesOnInItsGraceAreAnswered(t *testing.T) {
	s, err := start(Config{Program: build(t), Seed: 6, Nodes: 2, Replicas: 2, Engines: 1, Dir: t.TempDir(), RouteTimeout: 2 * grace})
	assert.NilError(t, err)
	defer s.stopAll()
	var ran sync.Map
	for _, r := range s.replicas {
		r.Script(func(w io.Writer, q *onplatform.Request) bool {
			if !strings.HasPrefix(q.ID(), "grace-") {
				return onplatform.OK("ok")(w, q)
			}
			ran.Store(q.ID(), true)
			ms, _ := strconv.Atoi(q.Body) // The test's own requests have a number.
			select {
			case <-time.After(time.Duration(ms) * time.Millisecond):
			case <-q.Disconnected:
				return false
			}
			return onplatform.OK("whole")(w, q)
		})
	}
	n := s.nodes[0]
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 0))
	signalled := time.Now().Add(2 * time.Second)
	var wg sync.WaitGroup
	calls := make([]*graceCall, graceCallers)
	for i := range calls {
		c := &graceCall{
			id: fmt.Sprintf("grace-%d", i), kind: []string{kindOnce, kindSafe}[rng.IntN(2)], how: []string{"kept", "new", "half", "half"}[i%4],
			sentAt: time.Duration(rng.Int64N(int64(grace+time.Second))) - time.Second,
			work:   shortestWork + time.Duration(rng.Int64N(int64(longestWork-shortestWork))),
		}
		calls[i] = c
		wg.Go(func() { c.send(n, signalled) })
	}
	time.Sleep(time.Until(signalled))
	n.signal(syscall.SIGTERM, true)
	<-n.exited
	took := time.Since(signalled)
	wg.Wait()
	s.recordStartError(n.start())
	assert.Check(t, took < grace, "the process ended after %v", took)
	begun, refused := 0, 0
	for _, c := range calls {
		_, began := ran.Load(c.id)
		if began {
			begun++
		} else if c.promised {
			refused++
		}
		assert.Check(t, !began || c.status > 0, "%s, %s, sent after %v, took %v, was cut without an answer", c.kind, c.how, c.sentAt, c.work)
		assert.Check(t, !began || !c.promised || c.kind == kindSafe, "%s was refused though it had run", c.id)
	}
	for _, c := range calls {
		_, b := ran.Load(c.id)
		t.Log(c.how, c.kind, c.sentAt.Round(10*time.Millisecond), c.work.Round(10*time.Millisecond), "begun", b, c.status)
	}
	t.Logf("%d of %d requests were begun, %d refused", begun, len(calls), refused)
}
