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
func TestNodeCutOffFromStoreAndPeersIsNotReady(t *testing.T) {
	s := newSite(t)
	s.startReplica(appService, "a")
	other := s.startReadyNode("other")
	s.storeProxy = s.newProxy(s.store.Addr())
	settings := s.settings("apart")
	settings.Evacuation.Within = config.Duration(time.Second)
	n := s.startNodeWith(settings)
	s.waitUntil("ready", n.isReady)
	s.waitUntil("the nodes know each other", func() bool { return len(n.resolve()) > 0 && len(other.resolve()) == len(n.resolve()) })
	held := netproxy.Link{Held: true}
	s.storeProxy.Set(held, held)
	for start := time.Now(); time.Since(start) < 3*time.Second; time.Sleep(50 * time.Millisecond) {
		assert.Assert(t, n.isReady(), "the other one tells it")
	}
	other.close()
	s.waitUntil("it says that it is not ready", func() bool { return !n.isReady() })
	assert.Equal(t, n.send(request("GET", "/safe/x", "")).status, 200, "who comes is served")
	s.storeProxy.Heal()
	s.waitUntil("it is ready once it hears the store", n.isReady)
}
