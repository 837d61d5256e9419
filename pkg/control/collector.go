package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/tablestore"
)

const (
	// Collectors is how many nodes collect the claims of the whole fleet. Each
	// has one transaction under way at a time, so the table service's load is
	// bounded whatever the fleet's size.
	Collectors = 4
	// maxJoinedRows is the most rows in one transaction.
	maxJoinedRows = 400
	// minCollectInterval is the least time between a collector's transactions. All
	// collectors together stay under 200 a second, of the service's 300.
	minCollectInterval = 20 * time.Millisecond
	// collectTimeout bounds a transaction of a collector.
	collectTimeout = 5 * time.Second
)

// Collector joins independent transactions that come in at the same time into
// one. If some conflict, the others go again without them, so that one claim's
// conflict is not another's.
type Collector struct {
	table Table

	mu       sync.Mutex
	pending  []*pendingTxn
	draining bool
	closed   bool
	wg       sync.WaitGroup
}

// pendingTxn is a transaction and where its outcome goes.
type pendingTxn struct {
	txn  tablestore.Txn
	done chan error
}

// NewCollector returns a collector of transactions for a table service.
func NewCollector(t *tablestore.Table) *Collector { return &Collector{table: t} }

// Commit carries out a transaction, perhaps joined with others. The errors are
// those of the table service.
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
		return tablestore.ErrUnknown
	}
}

// Close waits for what is under way; later transactions are not applied.
func (c *Collector) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.wg.Wait()
}

// drain writes until nothing is pending.
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

// nextBatch takes pending transactions that touch different rows.
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

func touchesAny(txn tablestore.Txn, rows map[string]bool) bool {
	for _, p := range txn.Puts {
		if rows[p.Key] {
			return true
		}
	}
	return false
}

// commitJoined commits a batch, without those that conflict.
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
			// The conflict is on no row of theirs; nothing was applied.
			resolveAll(batch, tablestore.ErrNotApplied)
			return
		}
		batch = remaining
	}
}

func resolveAll(batch []*pendingTxn, err error) {
	for _, w := range batch {
		w.done <- err
	}
}

// resolveConflicting ends the transactions that conflict, each with its own rows, and
// returns the others.
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
