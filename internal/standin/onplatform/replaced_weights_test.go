package onplatform_test

import (
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
	"github.com/drumpath/drumpath/pkg/config"
)

// queueingEngine is an engine that begins prompts after a while in its queue, and never swaps its
// weights.
type queueingEngine struct {
	*onplatform.Replica
	queueTime time.Duration
	prompts   atomic.Int64
	begun     atomic.Int64
}

func (s *site) startQueueingEngine(id string, queueTime time.Duration) *queueingEngine {
	e := &queueingEngine{Replica: s.startReplica(llmService, id), queueTime: queueTime}
	e.Script(func(w io.Writer, r *onplatform.Request) bool {
		if strings.HasPrefix(r.Target, "/-/") {
			return onplatform.NotExecuted(503)(w, r)
		}
		e.prompts.Add(1)
		select {
		case <-time.After(e.queueTime):
		case <-r.Disconnected:
			return false
		}
		e.begun.Add(1)
		return onplatform.Events(1, 2, time.Millisecond, true)(w, r)
	})
	return e
}

// A prompt that was sent shortly before the weights of its engine might no longer be used must not
// begin there after that because it waited in the engine's queue.
func TestPromptDoesNotBeginOnReplacedWeightsAfterItsQueue(t *testing.T) {
	const within, queueTime = 3 * time.Second, 3500 * time.Millisecond
	s := newSite(t)
	s.routes = append(s.routes, map[string]any{
		"name": "again", "host": host, "path_prefix": "/again/", "kind": "streaming", "timeout_ms": 10000, "target_latency_ms": 500,
		"service": llmService, "max_attempts": 2, "resumable": true,
	})
	s.configure()
	old := s.startQueueingEngine("old", queueTime)
	settings := s.settings("n1")
	settings.Orders.MaxRolloutTime = config.Duration(within)
	n := s.startNodeWith(settings)
	s.waitUntil("the node is ready", n.isReady)
	named := time.Now()
	s.store.Put(onplatform.TableOperator, "version/"+model, map[string]any{"model": model, "config_version": 2})
	time.Sleep(within / 4)

	once, again := n.dial(), n.dial()
	once.write(prompt("b0"))
	again.write(strings.Replace(prompt("b1"), "/prompt/", "/again/", 1))
	s.waitUntil("both prompts are at the engine", func() bool { return old.prompts.Load() == 2 })
	replacement := s.startReplica(llmService, "new")
	s.listReplica(llmService, replacement, "ready", 2)
	replacement.Script(onplatform.Events(1, 2, time.Millisecond, true))

	got := once.read()
	assert.Assert(t, time.Since(named) < within, "the prompt may still begin %s after the naming", time.Since(named))
	assert.Equal(t, got.status, 502, "it may have begun")
	assert.Equal(t, again.read().body, events(1, 2), "a prompt that may be repeated is repeated")
	assert.Assert(t, time.Since(named) < within+loadAllowance)
	time.Sleep(time.Until(named.Add(within/4 + queueTime + time.Second)))
	assert.Equal(t, old.begun.Load(), int64(0))
}
