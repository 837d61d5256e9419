package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/pkg/timer"
)

const (
	// maxResyncWait bounds how long a node waits to be synced again. If nothing answers,
	// its state is as good as while the platform's store is unreachable.
	maxResyncWait = 2 * time.Second
)

// suspension tracks suspensions of the node's machine.
type suspension struct {
	count atomic.Int64 // For metrics.

	mu      locks.Mutex
	handled atomic.Int64 // Total of boottime.Refresh that has been handled, in nanoseconds.
	// since is when a suspension was detected. synced resets it to nil once the node has
	// read the tables again, from the store or from other nodes, or has waited long enough.
	since    atomic.Pointer[time.Time]
	answered map[site.Table]time.Time // Start of the last call that was answered.
}

func newSuspension() *suspension {
	s := &suspension{answered: map[site.Table]time.Time{}}
	s.handled.Store(int64(boottime.Refresh()))
	return s
}

// checkSuspension detects whether the machine has been suspended. It is called before
// every decision by the node's state, so that a suspension is noticed then and not at
// the next timer tick.
func (g *Gateway) checkSuspension() {
	total := boottime.Refresh()
	s := g.suspension
	if total-time.Duration(s.handled.Load()) < boottime.MinSuspension {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	suspended := total - time.Duration(s.handled.Load())
	if suspended < boottime.MinSuspension {
		return // Another goroutine has handled it.
	}
	now := boottime.Now()
	s.since.Store(&now)
	s.count.Add(1)
	g.resetAfterSuspension(suspended)
	s.handled.Store(int64(total))
}

// resetAfterSuspension drops state that a suspended machine may have missed changes of.
// State that is kept with its age, such as leases, loads, clocks and budgets, ages by
// boottime.Now, which includes the suspension.
func (g *Gateway) resetAfterSuspension(suspended time.Duration) {
	g.origins.HandleSuspension(suspended)
	closed := g.conns.closeAllIdle()
	for _, f := range g.tableFollowers {
		f.PollNow()
	}
	stores := g.kvStores.restart()
	g.engineCaches.restart()
	g.log.Warn("machine was suspended", "node", g.conf().Node.Name, "for", suspended, "in_flight", g.inFlight.Load(),
		"resting", closed, "stores", stores)
}

// synced reports whether the node has read the current state since its machine was last
// suspended, or has waited for it long enough.
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

// lastAnswered is when the last answered call for a table was started.
func (s *suspension) lastAnswered(t site.Table) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered[t]
}

// recordAnswer records that a call for a table was answered, and when it was started.
func (s *suspension) recordAnswer(t site.Table, startedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered[t] = startedAt
}

// runEvery calls fn periodically, each time after checking for a suspension.
func (g *Gateway) runEvery(d time.Duration, fn timer.Func) {
	g.timer.Subscribe(d, func(ctx context.Context) {
		g.checkSuspension()
		fn(ctx)
	})
}
