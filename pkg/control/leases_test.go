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

// memTable is an in-memory table service whose answers can be lost.
type memTable struct {
	rows       map[string]tablestore.Row
	loseAnswer bool // The next commit takes effect, but its answer is lost.
	failCall   bool // The next call has no effect and fails.
}

func newMemTable() *memTable { return &memTable{rows: map[string]tablestore.Row{}} }

func (m *memTable) Commit(_ context.Context, txn tablestore.Txn) error {
	if m.failCall {
		m.failCall = false
		return tablestore.ErrOutcomeUnknown
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
		return tablestore.ErrOutcomeUnknown
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

// leaseFixture has a few nodes, each with a clock of a different rate and a view
// with no other members, so that each tries to acquire every lease.
type leaseFixture struct {
	table        *memTable
	now          time.Time
	nodes        []*Leases
	lastAccepted Fence // Fence of the last order that the engine accepted.
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

// acceptOrder sends an order to the engine, which checks fences, and reports
// whether it was accepted.
func (w *leaseFixture) acceptOrder(f Fence) bool {
	if f.Epoch < w.lastAccepted.Epoch || (f.Epoch == w.lastAccepted.Epoch && f.Seq <= w.lastAccepted.Seq) {
		return false
	}
	w.lastAccepted = f
	return true
}

// Two nodes could hold one lease after lost answers, paused nodes or clock drift,
// or an engine that checks fences could accept an order older than its last.
func TestAtMostOneNodeHoldsLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newLeaseFixture(3)
		epochOf := map[uint64]int{} // By epoch: the node that issued fences under it.
		var delayed []Fence
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")
			l := w.nodes[i]
			switch rapid.IntRange(0, 6).Draw(t, "op") {
			case 0, 1:
				// A node that is not stepped for long acts as a paused one.
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
	// The node is paused past its term and resumes while sending an order.
	w.now = w.now.Add(testTerm)
	_, ok = a.Fence(testLease)
	assert.Assert(t, !ok)
}

// A holder kept its lease after its machine was suspended for longer than a term,
// if it measured time by the monotonic clock, which stops during a suspension.
func TestLeaseExpiresDuringSuspend(t *testing.T) {
	m := NewMembers(Member{Name: "vm-0", Incarnation: 1}, time.Second, nil, rand.New(rand.NewPCG(1, 1)))
	l := newLeases("vm-0", testTerm, newMemTable(), m, discardLog)
	l.Step(t.Context())
	assert.Assert(t, l.Held(testLease))
	boottime.SimulateSuspend(testTerm)
	assert.Assert(t, !l.Held(testLease))
}
