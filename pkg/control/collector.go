package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/tablestore"
)

const (
	// Collectors is the number of nodes that write the claims of the whole fleet.
	// Each runs one transaction at a time, which bounds the table service's load
	// for any fleet size.
	Collectors = 4
	// maxJoinedRows is the maximum number of rows in one transaction, unless a
	// single one has more.
	maxJoinedRows = 400
	// minCollectInterval is the minimum time between a collector's transactions.
	// It keeps all collectors together under 200 transactions a second, of the
	// table service's 300.
	minCollectInterval = 20 * time.Millisecond
	// collectTimeout is the time limit for writing a batch.
	collectTimeout = 5 * time.Second
)

// Collector combines independent transactions that arrive at the same time into
// one. If some of them conflict, the others are sent again without them, so that
// a conflict fails only the transactions it concerns.
type Collector struct {
	table Table

	mu       locks.Mutex
	pending  []*pendingTxn
	draining bool
	closed   bool
	wg       sync.WaitGroup
}

// pendingTxn is a queued transaction with a channel for its outcome.
type pendingTxn struct {
	txn  tablestore.Txn
	done chan error
}

// NewCollector returns a collector that writes to a table service.
func NewCollector(t *tablestore.Table) *Collector { return &Collector{table: t} }

// Commit executes a transaction, possibly combined with others. It returns the
// same errors as tablestore.Table.
func (c *Collector) Commit(ctx context.Context, txn tablestore.Txn) error {
	w := &pendingTxn{txn: txn, done: make(chan error, 1)}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return tablestore.ErrNotApplied
	}
	c.pending = append(c.pending, w)
	if !c.draining {
		c.draining = true
		c.wg.Go(c.drain)
	}
	c.mu.Unlock()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return tablestore.ErrOutcomeUnknown
	}
}

// Close waits for queued transactions; later ones fail with ErrNotApplied.
func (c *Collector) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.wg.Wait()
}

// drain writes batches until the queue is empty.
func (c *Collector) drain() {
	for {
		batch := c.nextBatch()
		if len(batch) == 0 {
			return
		}
		start := time.Now()
		c.commitJoined(batch)
		time.Sleep(minCollectInterval - time.Since(start))
	}
}

// nextBatch dequeues transactions that write to different rows.
func (c *Collector) nextBatch() []*pendingTxn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch, remaining []*pendingTxn
	rows := map[string]bool{}
	for _, w := range c.pending {
		if len(rows)+len(w.txn.Puts) > maxJoinedRows && len(batch) > 0 || touchesAny(w.txn, rows) {
			remaining = append(remaining, w)
			continue
		}
		for _, p := range w.txn.Puts {
			rows[p.Key] = true
		}
		batch = append(batch, w)
	}
	c.pending = remaining
	c.draining = len(batch) > 0
	return batch
}

// touchesAny reports whether a transaction writes to any of the rows.
func touchesAny(txn tablestore.Txn, rows map[string]bool) bool {
	for _, p := range txn.Puts {
		if rows[p.Key] {
			return true
		}
	}
	return false
}

// commitJoined commits a batch as one transaction and, after a conflict, again
// without the transactions that conflict.
func (c *Collector) commitJoined(batch []*pendingTxn) {
	ctx, cancel := context.WithTimeout(context.Background(), collectTimeout)
	defer cancel()
	for len(batch) > 0 {
		var joined tablestore.Txn
		for _, w := range batch {
			joined.Conditions = append(joined.Conditions, w.txn.Conditions...)
			joined.Puts = append(joined.Puts, w.txn.Puts...)
		}
		err := c.table.Commit(ctx, joined)
		var conflict *tablestore.ConflictError
		if !errors.As(err, &conflict) {
			resolveAll(batch, err)
			return
		}
		remaining := resolveConflicting(batch, conflict)
		if len(remaining) == len(batch) {
			// No transaction has a condition on a conflicting row; nothing was applied.
			resolveAll(batch, tablestore.ErrNotApplied)
			return
		}
		batch = remaining
	}
}

// resolveAll delivers one outcome to all transactions of a batch.
func resolveAll(batch []*pendingTxn, err error) {
	for _, w := range batch {
		w.done <- err
	}
}

// resolveConflicting fails the transactions that conflict, each with its own
// rows, and returns the others.
func resolveConflicting(batch []*pendingTxn, conflict *tablestore.ConflictError) (remaining []*pendingTxn) {
	for _, w := range batch {
		ownConflict := &tablestore.ConflictError{}
		for _, row := range conflict.Rows {
			for _, cond := range w.txn.Conditions {
				if cond.Key == row.Key {
					ownConflict.Rows = append(ownConflict.Rows, row)
				}
			}
		}
		if len(ownConflict.Rows) == 0 {
			remaining = append(remaining, w)
			continue
		}
		w.done <- ownConflict
	}
	return remaining
}
