package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin"
	"github.com/drumpath/drumpath/pkg/tablestore"
)

func (f *fixture) collector(t testing.TB) *Collector {
	t.Helper()
	c := &Collector{table: f.client}
	t.Cleanup(c.Close)
	return c
}

func putNew(key string) tablestore.Txn {
	return tablestore.Txn{
		Conditions: []tablestore.Condition{{Key: key}},
		Puts:       []tablestore.Put{{Key: key, Value: []byte("v")}},
	}
}

// Joined transactions must not fail because of another one's conflict, and must
// take few commits.
func TestCollectorConflictFailsOnlyConflictingTransactions(t *testing.T) {
	f := newFixture(t)
	c := f.collector(t)
	for i := range 5 {
		assert.NilError(t, c.Commit(t.Context(), putNew(fmt.Sprint("taken", i))))
	}
	before := f.table.Commits()
	f.table.SetFault(standin.Fault{LatencyMillis: 20})
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() {
			key := fmt.Sprint("free", i)
			if i%20 == 0 {
				key = fmt.Sprint("taken", i/20)
			}
			err := c.Commit(t.Context(), putNew(key))
			var conflict *tablestore.ConflictError
			assert.Check(t, errors.As(err, &conflict) == (i%20 == 0), "%d: %v", i, err)
			if conflict != nil {
				assert.Check(t, len(conflict.Rows) == 1 && conflict.Rows[0].Key == key)
			}
		})
	}
	wg.Wait()
	assert.Assert(t, f.table.Commits()-before <= 4, "%d transactions", f.table.Commits()-before)
	for i := range 100 {
		if i%20 != 0 {
			assert.Equal(t, f.table.Row(fmt.Sprint("free", i)).Version, uint64(1))
		}
	}
}

func TestCollectorReturnsUnknownOutcome(t *testing.T) {
	f := newFixture(t)
	c := f.collector(t)
	f.table.SetFault(standin.Fault{LoseAnswers: 1})
	err := c.Commit(t.Context(), putNew("k"))
	assert.Assert(t, errors.Is(err, tablestore.ErrOutcomeUnknown), "%v", err)
}

// BenchmarkCollect reports the claims and transactions per second of one
// collector when the table service takes 10 ms.
func BenchmarkCollect(b *testing.B) {
	for _, writers := range []int{1, 10, 100, 300} {
		b.Run(fmt.Sprint("nodes=", writers), func(b *testing.B) {
			f := newFixture(b)
			f.table.SetFault(standin.Fault{LatencyMillis: 10})
			c := f.collector(b)
			start := time.Now()
			var wg sync.WaitGroup
			work := make(chan int)
			for range writers {
				wg.Go(func() {
					for i := range work {
						assert.Check(b, c.Commit(context.Background(), putNew(fmt.Sprint("k", i))))
					}
				})
			}
			for i := range b.N {
				work <- i
			}
			close(work)
			wg.Wait()
			b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "claims/s")
			b.ReportMetric(float64(f.table.Commits())/time.Since(start).Seconds(), "txns/s")
		})
	}
}
