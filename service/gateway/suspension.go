package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/pkg/timer"
)

const (
	// leastSuspension is from how long on a suspension of the machine has the node hear
	// anew what holds: shorter ones age what it knows by less than news are late.
	leastSuspension = 100 * time.Millisecond
	// wakeMost bounds for how long a node waits for that. Where nobody tells it, what it
	// knows is as good as where the store is away.
	wakeMost = 2 * time.Second
)

// suspension is what a node knows of suspensions of its machine.
type suspension struct {
	count atomic.Int64

	mu      sync.Mutex
	handled atomic.Int64 // Of boottime.Refresh, in nanoseconds.
	// since is when the node found that its machine had been suspended, until it has heard
	// from the store or from other nodes since; zero otherwise.
	since atomic.Pointer[time.Time]
	heard map[site.Table]time.Time
}

func newSuspension() *suspension {
	s := &suspension{heard: map[site.Table]time.Time{}}
	s.handled.Store(int64(boottime.Refresh()))
	return s
}

// look finds out whether the machine has been suspended. Whatever acts on what the node
// knows looks first, so that it is found at the next decision and not at the next tick.
func (g *Gateway) look() {
	total := boottime.Refresh()
	s := g.suspension
	if total-time.Duration(s.handled.Load()) < leastSuspension {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d := total - time.Duration(s.handled.Load())
	if d < leastSuspension {
		return // Another has found it meanwhile.
	}
	now := boottime.Now()
	s.since.Store(&now)
	s.count.Add(1)
	g.wake(d)
	s.handled.Store(int64(total))
}

// wake drops what a suspended machine may have missed. What is only remembered with its age
// is as old as it is by boottime.Now: leases, loads, clocks, budgets.
func (g *Gateway) wake(d time.Duration) {
	resting := g.conns.lostAll()
	for _, f := range g.followers {
		f.wake()
	}
	stores := g.stores.restart()
	g.holdings.restart()
	g.log.Warn("machine was suspended", "node", g.conf().Node.Name, "for", d, "in_flight", g.inFlight.Load(),
		"resting", resting, "stores", stores)
}

// awake says whether the node has heard what holds since its machine was last suspended.
func (g *Gateway) awake() bool {
	since := g.suspension.since.Load()
	if since == nil {
		return true
	}
	took := boottime.Since(*since)
	if took < wakeMost && !g.suspension.heardSince(*since) {
		return false
	}
	if g.suspension.since.CompareAndSwap(since, nil) {
		g.log.Info("serving resumed after suspension", "node", g.conf().Node.Name, "after", took)
	}
	return true
}

func (s *suspension) heardSince(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heard[site.TableOperator].After(since) && s.heard[site.TableUpstreams].After(since)
}

// heardOf is when the last call for a table that was answered was begun.
func (s *suspension) heardOf(t site.Table) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heard[t]
}

// hear notes that a call for a table, which was begun at a time, was answered.
func (s *suspension) hear(t site.Table, begun time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard[t] = begun
}

// every has fn called again and again, after a look at the clock.
func (g *Gateway) every(d time.Duration, fn timer.Func) {
	g.timer.Subscribe(d, func(ctx context.Context) {
		g.look()
		fn(ctx)
	})
}
