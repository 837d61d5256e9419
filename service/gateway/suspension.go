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
	// minSuspension is from how long on a suspension of the machine has the node hear
	// anew what holds: shorter ones age what it knows by less than news are late.
	minSuspension = 100 * time.Millisecond
	// maxResyncWait bounds for how long a node waits for that. Where nobody tells it, what it
	// knows is as good as where the store is away.
	maxResyncWait = 2 * time.Second
)

// suspension is what a node knows of suspensions of its machine.
type suspension struct {
	count atomic.Int64

	mu      sync.Mutex
	handled atomic.Int64 // Of boottime.Refresh, in nanoseconds.
	// since is when the node found that its machine had been suspended, until it has heard
	// from the store or from other nodes since; zero otherwise.
	since    atomic.Pointer[time.Time]
	answered map[site.Table]time.Time
}

func newSuspension() *suspension {
	s := &suspension{answered: map[site.Table]time.Time{}}
	s.handled.Store(int64(boottime.Refresh()))
	return s
}

// checkSuspension finds out whether the machine has been suspended. Whatever acts on what the node
// knows looks first, so that it is found at the next decision and not at the next tick.
func (g *Gateway) checkSuspension() {
	total := boottime.Refresh()
	s := g.suspension
	if total-time.Duration(s.handled.Load()) < minSuspension {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	suspended := total - time.Duration(s.handled.Load())
	if suspended < minSuspension {
		return // Another has found it meanwhile.
	}
	now := boottime.Now()
	s.since.Store(&now)
	s.count.Add(1)
	g.resetAfterSuspension(suspended)
	s.handled.Store(int64(total))
}

// resetAfterSuspension drops what a suspended machine may have missed. What is only remembered with its age
// is as old as it is by boottime.Now: leases, loads, clocks, budgets.
func (g *Gateway) resetAfterSuspension(suspended time.Duration) {
	closed := g.conns.closeAllIdle()
	for _, f := range g.followers {
		f.pollNow()
	}
	stores := g.stores.restart()
	g.holdings.restart()
	g.log.Warn("machine was suspended", "node", g.conf().Node.Name, "for", suspended, "in_flight", g.inFlight.Load(),
		"resting", closed, "stores", stores)
}

// synced says whether the node has heard what holds since its machine was last suspended.
func (g *Gateway) synced() bool {
	since := g.suspension.since.Load()
	if since == nil {
		return true
	}
	waited := boottime.Since(*since)
	if waited < maxResyncWait && !g.suspension.resyncedSince(*since) {
		return false
	}
	if g.suspension.since.CompareAndSwap(since, nil) {
		g.log.Info("serving resumed after suspension", "node", g.conf().Node.Name, "after", waited)
	}
	return true
}

func (s *suspension) resyncedSince(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered[site.TableOperator].After(since) && s.answered[site.TableUpstreams].After(since)
}

// lastAnswered is when the last call for a table that was answered was begun.
func (s *suspension) lastAnswered(t site.Table) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered[t]
}

// recordAnswer notes that a call for a table, which was begun at a time, was answered.
func (s *suspension) recordAnswer(t site.Table, begun time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered[t] = begun
}

// runEvery has fn called again and again, after a look at the clock.
func (g *Gateway) runEvery(d time.Duration, fn timer.Func) {
	g.timer.Subscribe(d, func(ctx context.Context) {
		g.checkSuspension()
		fn(ctx)
	})
}
