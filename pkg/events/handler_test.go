package events

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedOutput blocks every write until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	h := NewHandler(out, slog.LevelInfo, 1_000_000)
	log := slog.New(h)
	for i := range 3 * queueSize {
		log.Info("answered", "request", i)
	}
	for i := range 100 {
		log.Info("refused", "request", i)
	}
	assert.Assert(t, h.Dropped(Routine) > 0)
	assert.Equal(t, h.Dropped(Failure), int64(0), "failures have reserved room")
	close(out.release)
	h.Close(time.Minute)
	text := out.buf.String()
	assert.Equal(t, strings.Count(text, `"msg":"refused"`), 100)
	assert.Assert(t, strings.Contains(text, `"msg":"log lines dropped"`))
	assert.Assert(t, strings.Contains(text, fmt.Sprintf(`"routine":%d`, h.Dropped(Routine))))
}

func TestOnlyRoutineLinesAreRateLimited(t *testing.T) {
	var out bytes.Buffer
	h := NewHandler(&out, slog.LevelInfo, 10)
	log := slog.New(h).With("node", "n1")
	for range 500 {
		log.Info("answered")
		log.Info("refused")
	}
	h.Close(time.Minute)
	assert.Assert(t, strings.Count(out.String(), `"msg":"answered"`) <= 20)
	assert.Equal(t, strings.Count(out.String(), `"msg":"refused"`), 500)
	assert.Equal(t, strings.Count(out.String(), `"node":"n1"`) > 500, true)
}

func BenchmarkLine(b *testing.B) {
	h := NewHandler(io.Discard, slog.LevelInfo, 1_000_000_000)
	defer h.Close(time.Minute)
	log := slog.New(h)
	b.ReportAllocs()
	for b.Loop() {
		log.Info("answered", "request", "9c41d07be2a35f68", "route", "r-1", "replica", "i-1", "first_ms", int64(12), "all_ms", int64(40))
	}
}

func BenchmarkDroppedLine(b *testing.B) {
	h := NewHandler(io.Discard, slog.LevelInfo, 0)
	defer h.Close(time.Minute)
	log := slog.New(h)
	b.ReportAllocs()
	for b.Loop() {
		log.Info("answered", "request", "9c41d07be2a35f68", "first_ms", int64(12))
	}
}
