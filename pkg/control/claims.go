package control

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/tablestore"
)

const (
	// maxClaimBatch is the maximum number of rows in one transaction.
	maxClaimBatch = 100
	// claimRetryPause is the wait after a transaction that was not applied or
	// whose outcome is unknown.
	claimRetryPause = 50 * time.Millisecond
	// maxRecordedBody is the largest response body, in bytes, recorded with a claim.
	maxRecordedBody = 8 << 10
	// maxPendingClaimWrites bounds the queue of writes during an outage of the
	// table service.
	maxPendingClaimWrites = 10_000
	// claimsCloseTimeout is how long Close waits for pending writes.
	claimsCloseTimeout = 2 * time.Second
)

// Claims ensures that a request that may run at most once is run by at most
// one node.
//
// A claim is a row that is written before the first byte of the request goes
// upstream. It is never transferred: a node that finds it held must not run the
// request, even if the holder is dead. A holder may void its claim only if it is
// certain that it has not run the request and will not.
//
// The table service's write rate is limited, so one transaction at a time
// carries all the writes that arrived during the previous one.
type Claims struct {
	node  string
	table Table
	log   *slog.Logger

	mu      locks.Mutex
	pending []*claimWrite
	writing int // Rows in the current transaction.
	wake    chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	closing chan struct{}
	wg      sync.WaitGroup
}

// claimWrite is a queued write of a claim's row, with a channel for its outcome.
type claimWrite struct {
	claim          *Claim
	value          claimRow
	outcomeUnknown bool // An earlier write may have taken effect, or may still do so.
	done           chan error
	noWaiter       bool // Nothing waits for done any more.
}

// NewClaims starts the batched writing of this node's claims to t, which is the
// table service or a forwarder to it.
func NewClaims(node string, t Table, log *slog.Logger) *Claims {
	c := &Claims{
		node:    node,
		table:   t,
		log:     log,
		wake:    make(chan struct{}, 1),
		closing: make(chan struct{}),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.wg.Go(c.runWriter)
	return c
}

// Close waits up to claimsCloseTimeout for pending writes, then stops the writer.
func (c *Claims) Close() {
	close(c.closing)
	c.wakeWriter()
	stop := time.AfterFunc(claimsCloseTimeout, c.cancel)
	c.wg.Wait()
	stop.Stop()
	c.cancel()
}

// Pending returns the number of rows that are queued or being written.
func (c *Claims) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) + c.writing
}

// clearWriting resets the count of rows in the current transaction.
func (c *Claims) clearWriting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = 0
}

// Acquire claims an organisation's key. The error is a *TakenError or wraps
// ErrNoClaim. In the latter case, a write that still takes effect is voided in
// the background.
func (c *Claims) Acquire(ctx context.Context, organisation, key string) (claim *Claim, err error) {
	defer func() { err = eris.Wrap(err, "claim") }()
	claim = &Claim{row: claimKey(organisation, key), nonce: newNonce()}
	w := &claimWrite{
		claim: claim,
		value: claimRow{State: ClaimHeld, Nonce: claim.nonce, Node: c.node},
		done:  make(chan error, 1),
	}
	if !c.enqueue(w) {
		return nil, ErrNoClaim
	}
	select {
	case err := <-w.done:
		if err != nil {
			return nil, err
		}
		return claim, nil
	case <-ctx.Done():
	}
	if c.abandon(w) {
		return nil, ErrNoClaim
	}
	// The outcome arrived between the end of ctx and abandon.
	if err := <-w.done; err != nil {
		return nil, err
	}
	return claim, nil
}

// Finish marks a claim as done in the background and records the result unless
// its body is larger than maxRecordedBody.
func (c *Claims) Finish(claim *Claim, r Result) {
	row := claimRow{State: ClaimDone, Nonce: claim.nonce, Node: c.node}
	if len(r.Body) <= maxRecordedBody {
		row.Result = &r
	}
	c.enqueue(&claimWrite{claim: claim, value: row, done: make(chan error, 1), noWaiter: true})
}

// Void releases a claim whose request was certainly not run. It waits until the
// write is done or ctx ends; in the latter case the write continues in the
// background.
func (c *Claims) Void(ctx context.Context, claim *Claim) {
	w := &claimWrite{
		claim: claim,
		value: claimRow{State: ClaimVoid, Nonce: claim.nonce, Node: c.node},
		done:  make(chan error, 1),
	}
	if !c.enqueue(w) {
		return
	}
	select {
	case err := <-w.done:
		if err != nil {
			c.log.Warn("claim not voided", "row", claim.row, "err", err)
		}
	case <-ctx.Done():
	}
}

// enqueue adds a write to the queue; it returns false if the queue is full or
// closed.
func (c *Claims) enqueue(w *claimWrite) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) >= maxPendingClaimWrites || c.ctx.Err() != nil {
		return false
	}
	c.pending = append(c.pending, w)
	c.wakeWriter()
	return true
}

func (c *Claims) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// abandon turns a queued claim that has no waiter any more into a write that
// voids it. It returns false if the outcome has already been delivered.
func (c *Claims) abandon(w *claimWrite) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.noWaiter {
		return false
	}
	w.noWaiter = true
	w.value.State = ClaimVoid
	return true
}

// resolve delivers a write's outcome. It returns false if the write was
// abandoned in the meantime and must be sent again to void the claim.
func (c *Claims) resolve(w *claimWrite, state ClaimState, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.value.State != state {
		return false
	}
	w.noWaiter = true
	w.done <- err
	return true
}

func (c *Claims) runWriter() {
	for {
		select {
		case <-c.wake:
		case <-c.ctx.Done():
			return
		}
		for c.writeBatch() {
			if c.ctx.Err() != nil {
				return
			}
		}
		select {
		case <-c.closing:
			return
		default:
		}
	}
}

// batchedWrite is a write and the row that the current transaction carries for it.
type batchedWrite struct {
	*claimWrite
	value claimRow
}

// writeBatch commits one transaction; it returns false if nothing was queued.
func (c *Claims) writeBatch() bool {
	batch := c.nextBatch()
	if len(batch) == 0 {
		return false
	}
	defer c.clearWriting()
	txn, err := claimTxn(batch)
	if err != nil {
		c.log.Error("claims not encoded", "err", err)
		c.requeue(batch)
		return true
	}
	err = c.table.Commit(c.ctx, txn)
	var conflict *tablestore.ConflictError
	switch {
	case err == nil:
		c.handleCommitted(batch)
	case errors.As(err, &conflict):
		c.handleConflict(batch, conflict.Rows)
	case errors.Is(err, tablestore.ErrNotApplied):
		c.handleNotApplied(batch)
		c.pause()
	default:
		for _, w := range batch {
			w.outcomeUnknown = true
		}
		c.requeue(batch)
		c.pause()
	}
	return true
}

func (c *Claims) pause() {
	select {
	case <-time.After(claimRetryPause):
	case <-c.ctx.Done():
	}
}

// nextBatch dequeues up to maxClaimBatch writes, at most one for each row.
func (c *Claims) nextBatch() []batchedWrite {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch []batchedWrite
	var remaining []*claimWrite
	rows := map[string]bool{}
	for _, w := range c.pending {
		if len(batch) == maxClaimBatch || rows[w.claim.row] {
			remaining = append(remaining, w)
			continue
		}
		rows[w.claim.row] = true
		batch = append(batch, batchedWrite{claimWrite: w, value: w.value})
	}
	c.pending = remaining
	c.writing = len(batch)
	return batch
}

// requeue puts writes back at the head of the queue, which keeps the order of
// writes to each row.
func (c *Claims) requeue(batch []batchedWrite) {
	c.mu.Lock()
	defer c.mu.Unlock()
	front := make([]*claimWrite, 0, len(batch)+len(c.pending))
	for _, w := range batch {
		front = append(front, w.claimWrite)
	}
	c.pending = append(front, c.pending...)
	c.wakeWriter()
}

func claimTxn(batch []batchedWrite) (txn tablestore.Txn, err error) {
	for _, w := range batch {
		body, err := json.Marshal(w.value)
		if err != nil {
			return tablestore.Txn{}, err
		}
		txn.Conditions = append(txn.Conditions, tablestore.Condition{Key: w.claim.row, Version: w.claim.version})
		txn.Puts = append(txn.Puts, tablestore.Put{Key: w.claim.row, Value: body})
	}
	return txn, nil
}

// handleCommitted resolves the writes of a committed transaction and requeues
// those that were abandoned while it ran.
func (c *Claims) handleCommitted(batch []batchedWrite) {
	var retry []batchedWrite
	for _, w := range batch {
		w.claim.version++
		w.outcomeUnknown = false
		if !c.resolve(w.claimWrite, w.value.State, nil) {
			retry = append(retry, w)
		}
	}
	c.requeue(retry)
}

// handleNotApplied fails the claims that certainly were not written and retries
// all other writes.
func (c *Claims) handleNotApplied(batch []batchedWrite) {
	var retry []batchedWrite
	for _, w := range batch {
		switch {
		case w.value.State == ClaimHeld && !w.outcomeUnknown && c.resolve(w.claimWrite, ClaimHeld, ErrNoClaim):
		case w.value.State == ClaimVoid && w.claim.version == 0 && !w.outcomeUnknown:
			// The claim was never written, so there is nothing to void.
			c.resolve(w.claimWrite, ClaimVoid, nil)
		default:
			retry = append(retry, w)
		}
	}
	c.requeue(retry)
}

// handleConflict resolves the writes whose row did not have the expected
// version and retries the others.
func (c *Claims) handleConflict(batch []batchedWrite, rows []tablestore.Row) {
	rowsByKey := map[string]tablestore.Row{}
	for _, r := range rows {
		rowsByKey[r.Key] = r
	}
	var retry []batchedWrite
	for _, w := range batch {
		row, ok := rowsByKey[w.claim.row]
		if !ok || !c.resolveConflict(w, row) {
			retry = append(retry, w)
		}
	}
	c.requeue(retry)
}

// resolveConflict resolves a write from the row that is stored. It returns false
// if the write must be sent again on top of that row's version.
func (c *Claims) resolveConflict(w batchedWrite, row tablestore.Row) bool {
	var current claimRow
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &current); err != nil {
			c.log.Error("claim row can't be decoded", "row", row.Key, "err", err)
			return c.resolve(w.claimWrite, w.value.State, &TakenError{State: ClaimHeld})
		}
	}
	ownRow := row.Version > 0 && current.Nonce == w.claim.nonce
	switch {
	case ownRow && current.State == w.value.State:
		// An earlier write by this node took effect but its answer was lost.
		w.claim.version = row.Version
		return c.resolve(w.claimWrite, w.value.State, nil)
	case ownRow, row.Version == 0, current.State == ClaimVoid && w.value.State == ClaimHeld:
		w.claim.version = row.Version
		return false
	case w.value.State == ClaimHeld:
		return c.resolve(w.claimWrite, ClaimHeld, &TakenError{State: current.State, Node: current.Node, Result: current.Result})
	default:
		// Another node holds the row, so this claim was not written and can't be:
		// there is nothing to void and nowhere to record a result.
		return c.resolve(w.claimWrite, w.value.State, nil)
	}
}
