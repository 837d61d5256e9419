package onplatform_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/netproxy"
	"github.com/drumpath/drumpath/pkg/config"
)

// Operators evacuate a data hall, or change a route, and a node that hears neither the store
// nor any other node does not know. It said that it was ready all the same, and callers went on
// coming to it. One that still hears other nodes is told by them.
func TestNodeThatCannotKnowWhatHoldsIsNotReady(t *testing.T) {
	s := newSite(t)
	s.replica(app, "a")
	other := s.node("other")
	s.way = s.proxy(s.store.Addr())
	settings := s.settings("apart")
	settings.Evacuation.MaxTime = config.Duration(time.Second)
	n := s.startWith(settings)
	s.until("ready", n.isReady)
	s.until("the nodes know each other", func() bool { return len(n.addrs()) > 0 && len(other.addrs()) == len(n.addrs()) })
	held := netproxy.Link{Held: true}
	s.way.Set(held, held)
	for begun := time.Now(); time.Since(begun) < 3*time.Second; time.Sleep(50 * time.Millisecond) {
		assert.Assert(t, n.isReady(), "the other one tells it")
	}
	other.end()
	s.until("it says that it is not ready", func() bool { return !n.isReady() })
	assert.Equal(t, n.send(request("GET", "/safe/x", "")).status, 200, "who comes is served")
	s.way.Heal()
	s.until("it is ready once it hears the store", n.isReady)
}
