package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/route"
)

// simulateSuspension simulates a suspension of the machine and its detection.
func simulateSuspension(d time.Duration) {
	boottime.SimulateSuspend(d)
	boottime.Refresh()
}

func TestLoadsFromBeforeSuspensionExpire(t *testing.T) {
	n := newTestNodes(3)
	n.loads.byNode["a-1"] = receivedLoads{from: "a-1", receivedAt: boottime.Now()}
	n.refreshPeerLoads(boottime.Now())
	assert.Equal(t, len(n.loads.byNode), 1)
	simulateSuspension(2 * time.Second)
	n.refreshPeerLoads(boottime.Now())
	assert.Equal(t, len(n.loads.byNode), 0)
}

// A connection that was idle during a suspension may have ended without notice, so the
// suspension counts as idle time.
func TestIdleTimeOfConnectionsIncludesSuspension(t *testing.T) {
	c := &upstreamConn{maxIdle: 10 * time.Second, idleSince: boottime.Now()}
	simulateSuspension(8 * time.Second)
	assert.Assert(t, boottime.Now().Sub(c.idleSince) >= maxIdleOnce)
}

// The window of the retry budget includes the time of a suspension: attempts from before
// it leave the window accordingly.
func TestRetryWindowAdvancesDuringSuspension(t *testing.T) {
	b := route.NewRetryShare(0.2, 10*time.Second)
	b.SetSlack(2)
	take := func() (n int) {
		for b.Take(boottime.Now()) {
			n++
		}
		return n
	}
	first := take()
	assert.Assert(t, first > 0)
	simulateSuspension(8 * time.Second)
	assert.Equal(t, take(), 0, "they are still in the window")
	simulateSuspension(30 * time.Second)
	assert.Equal(t, take(), first)
}

// The replicas' clock advances while the node's machine is suspended.
func TestReplicaClockAdvancesDuringSuspension(t *testing.T) {
	c := new(replicaClock)
	c.update(time.Minute, boottime.Now())
	simulateSuspension(8 * time.Second)
	clock, ok := c.read(boottime.Now())
	assert.Assert(t, ok && clock >= time.Minute+8*time.Second)
}
