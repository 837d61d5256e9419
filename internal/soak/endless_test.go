package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

const (
	// endlessMemoryMB is the limit of the memory of a node, as on the users' sites.
	endlessMemoryMB = 284
	// endlessCalls is how many requests are in flight at once that get answers without an end.
	endlessCalls = 1000
)

// endlessAnswers begin with a text, in which %ID% stands for the request's ID, and go on with another one until their
// connection closes.
var endlessAnswers = map[string][2]string{
	"fields":            {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	"short fields":      {"HTTP/1.1 200 OK\r\n", "A:\r\n"},
	"one field":         {"HTTP/1.1 200 OK\r\nA: ", "x"},
	"reason":            {"HTTP/1.1 200 ", "x"},
	"interim answers":   {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	"body":              {"HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nServer-Stamp: s\r\n\r\n", "x"},
	"short chunks":      {"HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"trailers":          {"HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n", "T: x\r\n"},
	"event without end": {"HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "x"},
	"comments":          {"HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n", ": x\n\n"},
}

// endless returns a script that sends an answer without an end, in pieces with a pause between two.
func endless(answer [2]string, piece int, pause time.Duration) onplatform.Script {
	rest := []byte(strings.Repeat(answer[1], 1+piece/len(answer[1])))
	return func(w io.Writer, r *onplatform.Request) bool {
		_, err := io.WriteString(w, strings.ReplaceAll(answer[0], "%ID%", r.ID()))
		for err == nil {
			_, err = w.Write(rest)
			time.Sleep(pause)
		}
		return false
	}
}

// peakMemory returns the largest memory that a node's process has had so far.
func (n *node) peakMemory(t *testing.T) (megabytes int) {
	t.Helper()
	n.mu.Lock()
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(t, err)
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.Fields(text)[0])
			assert.NilError(t, err)
			return kilobytes / 1024
		}
	}
	t.Fatal("no peak memory in the process's status")
	return 0
}

// callAll sends requests at the same time and waits until all have ended.
func callAll(n *node, kind string, calls int) {
	var wg sync.WaitGroup
	for i := range calls {
		wg.Go(func() {
			conn, err := net.Dial("tcp", n.entry())
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(readTimeout)) // Cannot fail on an open connection.
			_, _ = fmt.Fprintf(conn, "POST /%s/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: endless-%d-%d\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 2000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
				kind, host, time.Now().UnixNano(), i, key)
			_, _ = io.Copy(io.Discard, conn) // The answer doesn't matter.
		})
	}
	wg.Wait()
}

// Machines ran out of memory that had called faulty replicas, which sent bytes without end.
func TestMemoryIsBoundedWhileManyAnswersHaveNoEnd(t *testing.T) {
	program, seed := build(t), uint64(100) // Each node has addresses of its own.
	for name, answer := range endlessAnswers {
		for pace, pause := range map[string]time.Duration{"at once": 0, "with pauses": 20 * time.Millisecond} {
			seed++
			seed := seed
			t.Run(name+"/"+pace, func(t *testing.T) {
				t.Parallel()
				s, err := start(Config{Program: program, Seed: seed, Nodes: 1, Replicas: 3, Engines: 1, Dir: t.TempDir(), MemoryMB: endlessMemoryMB})
				assert.NilError(t, err)
				defer s.stopAll()
				script := endless(answer, 16<<10, pause)
				for _, r := range s.replicas {
					r.Script(script)
				}
				for _, kind := range []string{kindOnce, kindStream} {
					callAll(s.nodes[0], kind, endlessCalls)
				}
				peak := s.nodes[0].peakMemory(t)
				t.Logf("%d MB", peak)
				assert.Check(t, peak < endlessMemoryMB)
			})
		}
	}
}

// The same for the calls of engines.
func TestMemoryIsBoundedWhileEnginesAnswerCallsWithoutEnd(t *testing.T) {
	const engines = 12
	s, err := start(Config{Program: build(t), Seed: 10, Nodes: 1, Replicas: 1, Engines: engines, Dir: t.TempDir(), MemoryMB: endlessMemoryMB})
	assert.NilError(t, err)
	defer s.stopAll()
	script := endless([2]string{"HTTP/1.1 200 OK\r\n\r\n[", "1,"}, 64<<10, 0)
	var calls atomic.Int64
	for _, e := range s.engines {
		e.Script(func(w io.Writer, r *onplatform.Request) bool {
			if strings.HasPrefix(r.Target, "/-/") {
				calls.Add(1)
				return script(w, r)
			}
			return onplatform.NotExecuted(http.StatusServiceUnavailable)(w, r)
		})
	}
	s.nameWeights() // The node reads the engines' reports and orders them to load the weights.
	time.Sleep(8 * time.Second)
	peak := s.nodes[0].peakMemory(t)
	t.Logf("%d MB, %d calls", peak, calls.Load())
	assert.Assert(t, calls.Load() > 0)
	assert.Check(t, peak < endlessMemoryMB)
}
