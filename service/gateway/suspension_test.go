package gateway

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
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

// An answer of the store from before a suspension must not count as fresh after it, or
// other nodes would trust this node's copy.
func TestAnswerFromBeforeSuspensionIsNotFresh(t *testing.T) {
	self := control.Member{Name: "n0", DataHall: "h", Incarnation: 1}
	store := &suspendingStore{}
	r := newSharedReader(store, self, control.NewMembers(self, time.Second, nil, newRand()), nil, slog.New(slog.DiscardHandler))
	q := changesRequest{Table: site.TableOperator, Whole: true}
	_, err := r.readStore(t.Context(), q, 0)
	assert.NilError(t, err)
	readAt := r.tables[site.TableOperator].storeReadAt
	assert.Assert(t, !readAt.IsZero())
	store.suspendFor = 8 * time.Second
	_, err = r.readStore(t.Context(), q, 0)
	assert.NilError(t, err)
	assert.Equal(t, r.tables[site.TableOperator].storeReadAt, readAt)
}

// suspendingStore simulates a suspension of the machine before each answer arrives.
type suspendingStore struct {
	Store
	suspendFor time.Duration
}

func (s *suspendingStore) List(context.Context, site.Table) (site.Listing, error) {
	boottime.SimulateSuspend(s.suspendFor)
	return site.Listing{Position: at(1)}, nil
}

// After a suspension a follower asks for its table at once, and an answer to a call from
// before it does not count.
func TestFollowerPollsAtOnceAfterSuspension(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	calls := make(chan time.Duration, 10)
	answered := make(chan time.Time, 10)
	f := &tableFollower{
		store: longPollStore{calls}, table: site.TableOperator, longPoll: time.Hour, log: slog.New(slog.DiscardHandler),
		apply:     func([]site.Row, bool, time.Time) {},
		onFailure: func(time.Time) { t.Error("the store is reachable") },
		onAnswer:  func(startedAt, _ time.Time) { answered <- startedAt },
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.run(ctx)
	}()
	<-answered // The whole table.
	assert.Equal(t, <-calls, time.Hour)
	simulateSuspension(8 * time.Second)
	resumedAt := boottime.Now()
	f.pollNow()
	assert.Equal(t, <-calls, time.Duration(0))
	assert.Assert(t, (<-answered).After(resumedAt))
	cancel()
	<-done
}

// longPollStore holds calls for changes.
type longPollStore struct{ calls chan time.Duration }

func (longPollStore) List(context.Context, site.Table) (site.Listing, error) {
	return site.Listing{Position: at(1)}, nil
}

func (s longPollStore) Changes(ctx context.Context, _ site.Table, _ history.Position, wait time.Duration) (l site.Listing, err error) {
	s.calls <- wait
	select {
	case <-ctx.Done():
		return l, ctx.Err()
	case <-time.After(wait):
		return l, nil
	}
}
