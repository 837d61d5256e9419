package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fakeEngine answers each request with the given events and counts the
// connections it has accepted.
type fakeEngine struct {
	ln    net.Listener
	conns atomic.Int64
	// answer writes the events of the body, and returns false to drop the connection.
	answer func(id string, write func(event string)) bool
}

func newFakeEngine(t *testing.T, answer func(id string, write func(string)) bool) (*fakeEngine, *Engine) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &fakeEngine{ln: ln, answer: answer}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			f.conns.Add(1)
			go f.serve(c)
		}
	}()
	e := NewEngine("e", netip.MustParseAddrPort(ln.Addr().String()))
	t.Cleanup(e.Close)
	return f, e
}

func (f *fakeEngine) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		id, length := "", 0
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
			switch {
			case strings.EqualFold(name, HeaderRequestID):
				id = value
			case strings.EqualFold(name, "Content-Length"):
				_, _ = fmt.Sscan(value, &length)
			}
			if strings.TrimSpace(line) == "" {
				break
			}
		}
		if _, err := io.CopyN(io.Discard, r, int64(length)); err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n", HeaderRequestID, id)
		complete := f.answer(id, func(event string) {
			body := "data: " + event + "\n\n"
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(body), body)
		})
		if !complete {
			return
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
}

func token(id string, i int) string { return fmt.Sprintf(`{"id":%q,"index":%d,"text":"t"}`, id, i) }

func done(id string, i int) string { return fmt.Sprintf(`{"id":%q,"index":%d,"done":true}`, id, i) }

func run(t *testing.T, e *Engine, id string) (tokens int, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	s, err := e.Run(ctx, RunRequest{RequestID: id})
	if err != nil {
		return 0, err
	}
	defer s.Close()
	for {
		ev, err := s.Next()
		if errors.Is(err, io.EOF) {
			return tokens, nil
		}
		if err != nil {
			return tokens, err
		}
		if !ev.Done {
			tokens++
		}
	}
}

func TestConnectionIsReusedAfterACompleteAnswer(t *testing.T) {
	f, e := newFakeEngine(t, func(id string, write func(string)) bool {
		write(token(id, 0))
		write(token(id, 1))
		write(done(id, 2))
		return true
	})
	for i := range 3 {
		n, err := run(t, e, fmt.Sprint("r", i))
		assert.NilError(t, err)
		assert.Equal(t, n, 2)
	}
	assert.Equal(t, f.conns.Load(), int64(1))
}

func TestCancelledAnswerNeverReachesTheNextRequest(t *testing.T) {
	f, e := newFakeEngine(t, func(id string, write func(string)) bool {
		for i := range 5 {
			write(token(id, i))
		}
		write(done(id, 5))
		return true
	})
	s, err := e.Run(t.Context(), RunRequest{RequestID: "first"})
	assert.NilError(t, err)
	_, err = s.Next()
	assert.NilError(t, err)
	s.Close()
	n, err := run(t, e, "second")
	assert.NilError(t, err)
	assert.Equal(t, n, 5)
	assert.Equal(t, f.conns.Load(), int64(2), "the connection of a cancelled answer was used again")
}

func TestInvalidAnswerStreamsAreErrors(t *testing.T) {
	var truncated *TruncatedError
	var mismatch *MismatchError
	tests := map[string]struct {
		events func(id string) []string
		whole  bool
		want   any
	}{
		"cut":              {func(id string) []string { return []string{token(id, 0)} }, false, &truncated},
		"ended early":      {func(id string) []string { return []string{token(id, 0)} }, true, &truncated},
		"token missing":    {func(id string) []string { return []string{token(id, 0), token(id, 2)} }, true, &truncated},
		"token twice":      {func(id string) []string { return []string{token(id, 0), token(id, 0)} }, true, &truncated},
		"end too early":    {func(id string) []string { return []string{token(id, 0), done(id, 5)} }, true, &truncated},
		"another's token":  {func(id string) []string { return []string{token(id, 0), token("other", 1)} }, true, &mismatch},
		"another's end":    {func(id string) []string { return []string{token(id, 0), done("other", 1)} }, true, &mismatch},
		"not JSON":         {func(string) []string { return []string{"{"} }, true, &truncated},
		"engine gave up":   {func(id string) []string { return []string{fmt.Sprintf(`{"id":%q,"error":"x"}`, id)} }, true, &truncated},
		"nothing happened": {func(string) []string { return nil }, true, &truncated},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, e := newFakeEngine(t, func(id string, write func(string)) bool {
				for _, ev := range tc.events(id) {
					write(ev)
				}
				return tc.whole
			})
			_, err := run(t, e, "r")
			assert.Assert(t, errors.As(err, tc.want), "%v", err)
		})
	}
}

func TestUnreachableEngineDidNotRun(t *testing.T) {
	f, e := newFakeEngine(t, nil)
	assert.NilError(t, f.ln.Close())
	_, err := run(t, e, "r")
	var notRun *NotRunError
	assert.Assert(t, errors.As(err, &notRun), "%v", err)
	assert.Equal(t, notRun.Reason, ReasonUnreachable)
}

func TestDroppedConnectionIsNotReportedAsNotRun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
		}
	}()
	e := NewEngine("e", netip.MustParseAddrPort(ln.Addr().String()))
	defer e.Close()
	_, err = run(t, e, "r")
	var notRun *NotRunError
	assert.Assert(t, err != nil && !errors.As(err, &notRun), "%v", err)
}

// An engine that goes on sending after the last event, or falls silent there, kept the run and its place from
// ending; one that sends no event at all was read for as long as it sent.
func TestAnswerWithoutEndEndsTheRun(t *testing.T) {
	send := func(write func(string), text string, pause time.Duration) bool {
		for range 100_000 {
			write(text)
			time.Sleep(pause)
		}
		return false
	}
	for name, answer := range map[string]func(id string, write func(string)) bool{
		"no event":      func(_ string, write func(string)) bool { return send(write, "[DONE]", 0) },
		"after the end": func(id string, write func(string)) bool { write(done(id, 0)); return send(write, "x", 0) },
		"pauses after the end": func(id string, write func(string)) bool {
			write(done(id, 0))
			return send(write, "x", 100*time.Millisecond)
		},
		"silence after the end": func(id string, write func(string)) bool {
			write(done(id, 0))
			time.Sleep(20 * time.Second)
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, e := newFakeEngine(t, answer)
			startedAt := time.Now()
			_, err := run(t, e, "r")
			assert.Equal(t, err != nil, name == "no event", "%v", err)
			assert.Assert(t, time.Since(startedAt) < 3*time.Second, "%v", time.Since(startedAt))
		})
	}
}
