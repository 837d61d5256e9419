package gateway

import (
	"time"

	"github.com/drumpath/drumpath/pkg/stall"
)

// newStallMonitor returns a monitor of the locks that requests and the timers have in common.
func newStallMonitor(g *Gateway) *stall.Monitor {
	m := stall.New(g.timer.LongestRun, g.log)
	m.AddLock("upstream list", func() { g.siteState.Revision() })
	m.AddLock("pools", func() {
		for _, p := range g.siteState.Pools() {
			p.Revision()
		}
	})
	m.AddLock("cache index", func() { g.cacheIndex.Tallies() })
	m.AddLock("nodes", func() { g.nodes.hallPeers() })
	m.AddLock("queues", func() {
		for _, q := range g.promptQueues() {
			q.Len()
		}
	})
	return m
}

// maxCollectTime is how long the metrics may take to collect: they need most locks of the node.
const maxCollectTime = time.Second

// partialStatus holds the metrics that need no lock.
type partialStatus struct {
	Partial  bool         `json:"partial"`
	Answered int64        `json:"answered"`
	Sent     int64        `json:"sent"`
	InFlight int64        `json:"in_flight"`
	Stalls   stall.Status `json:"stalls"`
}

// statusInTime collects the metrics, or those that need no lock if the others can't be had in time.
func (g *Gateway) statusInTime() any {
	if g.collecting.CompareAndSwap(false, true) { // Else an earlier collection has not ended yet.
		collected := make(chan metricsStatus, 1)
		go func() {
			defer g.collecting.Store(false)
			collected <- g.status()
		}()
		timer := time.NewTimer(maxCollectTime)
		defer timer.Stop()
		select {
		case s := <-collected:
			return s
		case <-timer.C:
		}
	}
	return partialStatus{
		Partial:  true,
		Answered: g.metrics.answered.Load(),
		Sent:     g.metrics.sent.Load(),
		InFlight: g.inFlight.Load(),
		Stalls:   g.stalls.Status(),
	}
}
