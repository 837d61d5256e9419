package onplatform_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

// uploadBytes is more than the buffers of the kernel hold between a node and a replica.
const uploadBytes = 12 << 20

// answerAndReset answers an upload at once with a part of its answer, which has no length, and resets the connection while
// the upload is still being written.
func answerAndReset(pause time.Duration) onplatform.EarlyScript {
	return func(conn *net.TCPConn, r *onplatform.Request) {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n", r.ID())
		if _, err := io.WriteString(conn, head+events(1, 2)); err == nil {
			time.Sleep(pause)
		}
		_ = conn.SetLinger(0) // Closing it then sends a reset.
		_ = conn.Close()
	}
}

// The part of an answer that a replica had sent before it reset the connection during an upload was passed on as a whole
// answer: the write got the reset, and the read the end of the connection.
func TestAnswerResetDuringAnUploadIsNotWhole(t *testing.T) {
	const tries = 6
	for via, cutOff := range map[string]bool{"direct": false, "through another node": true} {
		t.Run(via, func(t *testing.T) {
			s := newSite(t)
			s.limits["max_body_bytes"] = 2 * uploadBytes
			s.configure()
			replicas := []*onplatform.Replica{s.startReplica(appService, "a"), s.startReplica(llmService, "llm")}
			n := s.startForwarded(cutOff, replicas...)
			body := strings.Repeat("x", uploadBytes)
			for _, path := range []string{"/once/x", "/safe/x", "/resume/x", "/stream/x", "/prompt/x"} {
				for i := range tries {
					for _, r := range replicas {
						r.AnswerEarly(answerAndReset(time.Duration(i) * 2 * time.Millisecond))
					}
					got := n.send(request("POST", path, body, "Model: "+model, "Token-Usage: 100,10", "Prefix-Hash: 1:50,2:50"))
					assert.Check(t, got.incomplete || got.status >= http.StatusBadRequest, "%s: %d, %q looks whole", path, got.status, got.body)
				}
			}
		})
	}
}

// answerAndReadOn answers an upload at once, without a length, ends its side of the connection, and then reads the upload.
func answerAndReadOn(conn *net.TCPConn, r *onplatform.Request) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n", r.ID())
	if _, err := io.WriteString(conn, head+events(1, 2)); err == nil {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn) // Until the node closes.
	}
	_ = conn.Close()
}

// An answer that came whole before its upload had been sent must arrive whole.
func TestAnswerThatEndsBeforeItsUploadIsWhole(t *testing.T) {
	for via, cutOff := range map[string]bool{"direct": false, "through another node": true} {
		t.Run(via, func(t *testing.T) {
			s := newSite(t)
			s.limits["max_body_bytes"] = 2 * uploadBytes
			s.configure()
			r := s.startReplica(appService, "a")
			n := s.startForwarded(cutOff, r)
			r.AnswerEarly(answerAndReadOn)
			for _, path := range []string{"/once/x", "/safe/x", "/resume/x", "/stream/x"} {
				got := n.send(request("POST", path, strings.Repeat("x", uploadBytes)))
				assert.Check(t, got.status == http.StatusOK && !got.incomplete && got.body == events(1, 2), "%s: %d, incomplete %v, %q", path, got.status, got.incomplete, got.body)
			}
		})
	}
}
