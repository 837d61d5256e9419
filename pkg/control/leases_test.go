package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/tablestore"
)

// memTable is a table service in memory whose answers can be lost.
type memTable struct {
	rows       map[string]tablestore.Row
	loseAnswer bool // The next commit takes effect unanswered.
	failCall   bool // The next call does nothing and is not answered.
}

func newMemTable() *memTable { return &memTable{rows: map[string]tablestore.Row{}} }

func (m *memTable) Commit(_ context.Context, txn tablestore.Txn) error {
	if m.failCall {
		m.failCall = false
		return tablestore.ErrUnknown
	}
	for _, c := range txn.Conditions {
		if row := m.rows[c.Key]; row.Version != c.Version {
			return &tablestore.ConflictError{Rows: []tablestore.Row{row}}
		}
	}
	for _, p := range txn.Puts {
		m.rows[p.Key] = tablestore.Row{Key: p.Key, Version: m.rows[p.Key].Version + 1, Value: p.Value}
	}
	if m.loseAnswer {
		m.loseAnswer = false
		return tablestore.ErrUnknown
	}
	return nil
}

func (m *memTable) Read(_ context.Context, keys ...string) ([]tablestore.Row, error) {
	if m.failCall {
		m.failCall = false
		return nil, tablestore.ErrUnavailable
	}
	var rows []tablestore.Row
	for _, k := range keys {
		row := m.rows[k]
		row.Key = k
		rows = append(rows, row)
	}
	return rows, nil
}

const testTerm = 12 * time.Second

// leaseFixture is a few nodes, each with a clock of its own rate and a view in
// which it is alone, so that all want every lease.
type leaseFixture struct {
	table        *memTable
	now          time.Time
	nodes        []*Leases
	lastAccepted Fence // Of the last order taken.
}

func newLeaseFixture(n int) *leaseFixture {
	w := &leaseFixture{table: newMemTable(), now: testNow}
	for i := range n {
		name := fmt.Sprint("vm-", i)
		m := NewMembers(Member{Name: name, Incarnation: 1}, time.Second, nil, rand.New(rand.NewPCG(1, 1)))
		l := newLeases(name, testTerm, w.table, m, discardLog)
		rate := 1 + float64(i)*0.05
		l.now = func() time.Time {
			return testNow.Add(time.Duration(float64(w.now.Sub(testNow)) * rate))
		}
		w.nodes = append(w.nodes, l)
	}
	return w
}

const testLease = "lease/00"

func (w *leaseFixture) holders() int {
	n := 0
	for _, l := range w.nodes {
		if l.Held(testLease) {
			n++
		}
	}
	return n
}

// acceptOrder gives an order to the engine, which checks fences.
func (w *leaseFixture) acceptOrder(f Fence) bool {
	if f.Epoch < w.lastAccepted.Epoch || (f.Epoch == w.lastAccepted.Epoch && f.Seq <= w.lastAccepted.Seq) {
		return false
	}
	w.lastAccepted = f
	return true
}

// Whatever is lost, frozen or delayed, at most one node holds a lease, and an
// engine that checks fences never takes an order older than its last.
func TestAtMostOneNodeHoldsLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newLeaseFixture(3)
		epochOf := map[uint64]int{} // Epoch to the node that ordered under it.
		var delayed []Fence
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")
			l := w.nodes[i]
			switch rapid.IntRange(0, 6).Draw(t, "op") {
			case 0, 1:
				// A node that makes no step for long is a frozen one.
				l.Step(context.Background())
			case 2:
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * time.Millisecond)
			case 3:
				w.table.loseAnswer = rapid.Bool().Draw(t, "lose")
				w.table.failCall = !w.table.loseAnswer
			case 4:
				if f, ok := l.Fence(testLease); ok {
					owner, used := epochOf[f.Epoch]
					assert.Assert(t, !used || owner == i, "epoch %d is given to two nodes", f.Epoch)
					epochOf[f.Epoch] = i
					delayed = append(delayed, f)
				}
			case 5:
				if len(delayed) > 0 {
					k := rapid.IntRange(0, len(delayed)-1).Draw(t, "order")
					before := w.lastAccepted
					if w.acceptOrder(delayed[k]) {
						assert.Assert(t, w.lastAccepted.Epoch >= before.Epoch)
					}
				}
			case 6:
				l.Release(context.Background())
			}
			assert.Assert(t, w.holders() <= 1, "%d nodes hold the lease", w.holders())
		}
	})
}

func TestLeaseIsTakenOverOnlyAfterFullTerm(t *testing.T) {
	w := newLeaseFixture(2)
	a, b := w.nodes[0], w.nodes[1]
	a.Step(t.Context())
	assert.Assert(t, a.Held(testLease))
	b.Step(t.Context())
	w.now = w.now.Add(testTerm / 2)
	b.Step(t.Context())
	assert.Assert(t, !b.Held(testLease))
	w.now = w.now.Add(testTerm/2 + time.Second)
	assert.Assert(t, !a.Held(testLease), "a holder that does not renew stops before its term is over")
	b.Step(t.Context())
	assert.Assert(t, b.Held(testLease))
	assert.Assert(t, !b.HeldForFullTerm(testLease), "orders without fences wait for another term")
	f, ok := b.Fence(testLease)
	assert.Assert(t, ok)
	assert.Equal(t, f.Epoch, uint64(2))
}

func TestRenewalWithLostAnswerKeepsLease(t *testing.T) {
	w := newLeaseFixture(1)
	a := w.nodes[0]
	a.Step(t.Context())
	w.now = w.now.Add(testTerm / 2)
	w.table.loseAnswer = true
	a.Step(t.Context())
	w.now = w.now.Add(testTerm / 2)
	assert.Assert(t, a.Held(testLease))
}

func TestReleasedLeaseIsAcquiredAtOnce(t *testing.T) {
	w := newLeaseFixture(2)
	w.nodes[0].Step(t.Context())
	w.nodes[0].Release(t.Context())
	w.nodes[1].Step(t.Context())
	assert.Assert(t, w.nodes[1].Held(testLease))
}

func TestFenceRequiresHeldLease(t *testing.T) {
	w := newLeaseFixture(1)
	a := w.nodes[0]
	_, ok := a.Fence(testLease)
	assert.Assert(t, !ok)
	a.Step(t.Context())
	first, ok := a.Fence(testLease)
	assert.Assert(t, ok)
	second, ok := a.Fence(testLease)
	assert.Assert(t, ok && second.Epoch == first.Epoch && second.Seq > first.Seq)
	// Frozen past its term, the node wakes in the middle of giving an order.
	w.now = w.now.Add(testTerm)
	_, ok = a.Fence(testLease)
	assert.Assert(t, !ok)
}

// A holder's machine is suspended for longer than a term; its steady clock stands still.
func TestLeaseExpiresDuringSuspend(t *testing.T) {
	m := NewMembers(Member{Name: "vm-0", Incarnation: 1}, time.Second, nil, rand.New(rand.NewPCG(1, 1)))
	l := newLeases("vm-0", testTerm, newMemTable(), m, discardLog)
	l.Step(t.Context())
	assert.Assert(t, l.Held(testLease))
	boottime.SimulateSuspend(testTerm)
	assert.Assert(t, !l.Held(testLease))
}
