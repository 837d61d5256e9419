package gateway

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
)

// sleepMachine has the machine be suspended, and that be found.
func sleepMachine(d time.Duration) {
	boottime.SimulateSuspend(d)
	boottime.Refresh()
}

func TestLoadsHeardBeforeASuspensionAreOld(t *testing.T) {
	n := newTestNodes(3)
	n.loads.byNode["a-1"] = receivedLoads{from: "a-1", receivedAt: boottime.Now()}
	n.refreshPeerLoads(boottime.Now())
	assert.Equal(t, len(n.loads.byNode), 1)
	sleepMachine(2 * time.Second)
	n.refreshPeerLoads(boottime.Now())
	assert.Equal(t, len(n.loads.byNode), 0)
}

// A connection that rested over a suspension may have ended without a sign.
func TestConnectionsThatRestedOverASuspensionAreNotUsed(t *testing.T) {
	c := &upstreamConn{idle: 10 * time.Second, at: boottime.Now()}
	sleepMachine(8 * time.Second)
	assert.Assert(t, boottime.Now().Sub(c.at) >= restedShort)
}

// What retries may cost counts in a window of the machine's time: attempts before a
// suspension leave it by that time.
func TestRetryWindowMovesOnWhileSuspended(t *testing.T) {
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
	sleepMachine(8 * time.Second)
	assert.Equal(t, take(), 0, "they are still in the window")
	sleepMachine(30 * time.Second)
	assert.Equal(t, take(), first)
}

// The replicas' clock went on while the node's machine was suspended.
func TestReplicasClockGoesOnWhileSuspended(t *testing.T) {
	c := new(replicaClock)
	c.update(time.Minute, boottime.Now())
	sleepMachine(8 * time.Second)
	clock, ok := c.read(boottime.Now())
	assert.Assert(t, ok && clock >= time.Minute+8*time.Second)
}

// An answer of the store that came before a suspension is not taken for new after it, so
// that other nodes are not told that it is.
func TestAnswerFromBeforeASuspensionIsNotNew(t *testing.T) {
	self := control.Member{Name: "n0", DataHall: "h", Incarnation: 1}
	store := &sleepingStore{}
	r := newReaders(store, self, control.NewMembers(self, time.Second, nil, newRand()), nil, slog.New(slog.DiscardHandler))
	q := changesRequest{Table: site.TableOperator, Whole: true}
	_, err := r.own(t.Context(), q, 0)
	assert.NilError(t, err)
	heard := r.tables[site.TableOperator].heard
	assert.Assert(t, !heard.IsZero())
	store.sleep = 8 * time.Second
	_, err = r.own(t.Context(), q, 0)
	assert.NilError(t, err)
	assert.Equal(t, r.tables[site.TableOperator].heard, heard)
}

// sleepingStore answers, and then the machine is suspended.
type sleepingStore struct {
	Store
	sleep time.Duration
}

func (s *sleepingStore) List(context.Context, site.Table) (site.Listing, error) {
	boottime.SimulateSuspend(s.sleep)
	return site.Listing{Version: 1}, nil
}

// A table is asked for anew at once after a suspension, and an answer of a call from before
// it does not count as heard.
func TestFollowerAsksAnewAfterASuspension(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	calls := make(chan time.Duration, 10)
	heard := make(chan time.Time, 10)
	f := &follower{
		store: heldStore{calls}, table: site.TableOperator, hold: time.Hour, log: slog.New(slog.DiscardHandler),
		apply: func([]site.Row, bool, time.Time) {},
		away:  func(time.Time) { t.Error("the store is not away") },
		heard: func(begun, _ time.Time) { heard <- begun },
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.run(ctx)
	}()
	<-heard // The whole table.
	assert.Equal(t, <-calls, time.Hour)
	sleepMachine(8 * time.Second)
	woke := boottime.Now()
	f.wake()
	assert.Equal(t, <-calls, time.Duration(0))
	assert.Assert(t, (<-heard).After(woke))
	cancel()
	<-done
}

// heldStore holds calls for changes.
type heldStore struct{ calls chan time.Duration }

func (heldStore) List(context.Context, site.Table) (site.Listing, error) {
	return site.Listing{Version: 1}, nil
}

func (h heldStore) Changes(ctx context.Context, _ site.Table, _ int64, wait time.Duration) (l site.Listing, err error) {
	h.calls <- wait
	select {
	case <-ctx.Done():
		return l, ctx.Err()
	case <-time.After(wait):
		return l, nil
	}
}
