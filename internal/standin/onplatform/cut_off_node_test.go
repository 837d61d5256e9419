package onplatform_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/netproxy"
	"github.com/drumpath/drumpath/pkg/config"
)

// A node that reaches neither the store nor any other node misses evacuations and changed
// routes. It stayed ready all the same, so clients went on using it. A node that still
// reaches other nodes learns changes from them and stays ready.
func TestNodeCutOffFromStoreAndPeersIsNotReady(t *testing.T) {
	s := newSite(t)
	s.startReplica(appService, "a")
	other := s.startReadyNode("other")
	s.storeProxy = s.newProxy(s.store.Addr())
	settings := s.settings("apart")
	settings.Evacuation.MaxTime = config.Duration(time.Second)
	n := s.startNodeWith(settings)
	s.waitUntil("ready", n.isReady)
	s.waitUntil("the nodes know each other", func() bool { return len(n.resolve()) > 0 && len(other.resolve()) == len(n.resolve()) })
	held := netproxy.Link{Held: true}
	s.storeProxy.Set(held, held)
	for start := time.Now(); time.Since(start) < 3*time.Second; time.Sleep(50 * time.Millisecond) {
		assert.Assert(t, n.isReady(), "it still learns changes from the other node")
	}
	other.close()
	s.waitUntil("the node is not ready", func() bool { return !n.isReady() })
	assert.Equal(t, n.send(request("GET", "/safe/x", "")).status, 200, "requests that still arrive are served")
	s.storeProxy.Heal()
	s.waitUntil("the node is ready once it reaches the store", n.isReady)
}
