package onplatform_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/netproxy"
	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

// A replica that falls silent for a second and goes on was taken for gone, and the runs there were
// ended, once another request had not reached it.
func TestRunSurvivesShortSilenceOfItsReplica(t *testing.T) {
	const silence, events = 1300 * time.Millisecond, 40
	s := newSite(t)
	a, p := s.startProxiedReplica(appService, "a")
	a.Script(onplatform.Events(1, events, 50*time.Millisecond, true))
	n := s.startReadyNode("n1")
	other := s.startReadyNode("n2")
	s.waitUntil("the nodes know each other", func() bool { return nodeCount(n) == 2 && nodeCount(other) == 2 })
	c := n.dial()
	c.write(request("POST", "/stream/x", "run"))
	_, err := c.r.Peek(1)
	assert.NilError(t, err)
	s.startReplica(appService, "b")
	s.waitUntil("the second replica is known and used by the other node", func() bool {
		return replicaCount(n, appService) == 2 && other.send(request("POST", "/safe/x", "body")).status == 200
	})
	held := netproxy.Link{Held: true}
	p.Set(held, held)
	assert.NilError(t, p.MakeUnreachable())
	for range 3 { // Their connections are not made.
		go n.send(request("POST", "/safe/x", "body", "Deadline-Ms: 900"))
	}
	time.Sleep(silence)
	p.Heal()
	assert.NilError(t, p.MakeReachable())
	got := c.read()
	assert.Assert(t, !got.incomplete, "the run was ended: %q", got.body)
	assert.Equal(t, strings.Count(got.body, "id: "), events)
	a.Script(onplatform.OK("done"))
	back := time.Now()
	s.waitUntil("the replica is used again", func() bool {
		return n.send(request("POST", "/safe/x", "body", "Deadline-Ms: 400")).status == 200
	})
	assert.Assert(t, time.Since(back) < loadAllowance, fmt.Sprint(time.Since(back)))
}
