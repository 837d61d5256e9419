package control

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/tablestore"
)

const (
	// maxClaimBatch is the most rows in one transaction.
	maxClaimBatch = 100
	// claimRetryPause is the wait after a transaction that was not applied, or whose
	// answer was lost.
	claimRetryPause = 50 * time.Millisecond
	// maxRecordedBody is the largest body kept with a claim.
	maxRecordedBody = 8 << 10
	// maxPendingClaimWrites bounds writes that wait for the service to come back.
	maxPendingClaimWrites = 10_000
	// claimsCloseTimeout is how long Close tries to write what is pending.
	claimsCloseTimeout = 2 * time.Second
)

// Claims lets requests that may run only once be run by at most one node.
//
// A claim is a row that is written before the first byte of the request goes
// upstream. It is never handed on: whoever finds it held must not run the
// request, even if its holder is long dead. A holder that is certain it has not
// run the request and will not may void its claim.
//
// Writes are scarce, so one transaction at a time carries all that came in
// while the last was under way.
type Claims struct {
	node  string
	table Table
	log   *slog.Logger

	mu      sync.Mutex
	pending []*claimWrite
	writing int // In the transaction under way.
	wake    chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	closing chan struct{}
	wg      sync.WaitGroup
}

// claimWrite is one row to be written and what its writer is told.
type claimWrite struct {
	claim          *Claim
	value          claimRow
	outcomeUnknown bool // A write of it may have taken effect, or may yet.
	done           chan error
	noWaiter       bool // Its writer no longer waits.
}

// NewClaims starts the group commit of this node's claims to a table service,
// or to what passes them on to one.
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

// Close waits a while for pending writes and stops.
func (c *Claims) Close() {
	close(c.closing)
	c.wakeWriter()
	stop := time.AfterFunc(claimsCloseTimeout, c.cancel)
	c.wg.Wait()
	stop.Stop()
	c.cancel()
}

// Pending is how many rows wait to be written or are being written.
func (c *Claims) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) + c.writing
}

func (c *Claims) clearWriting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = 0
}

// Acquire claims an organisation's key. The error is a *TakenError, or wraps
// ErrNoClaim; then the claim is voided in the background should its write still
// land.
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
	// It was decided just now.
	if err := <-w.done; err != nil {
		return nil, err
	}
	return claim, nil
}

// Finish records a result with a claim, in the background.
func (c *Claims) Finish(claim *Claim, r Result) {
	row := claimRow{State: ClaimDone, Nonce: claim.nonce, Node: c.node}
	if len(r.Body) <= maxRecordedBody {
		row.Result = &r
	}
	c.enqueue(&claimWrite{claim: claim, value: row, done: make(chan error, 1), noWaiter: true})
}

// Void gives up a claim whose request was certainly not run; it waits until
// that is written or ctx ends, and goes on in the background.
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

// abandon turns a claim nobody waits for any more into its voiding; it returns
// false if the claim was decided already.
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

// resolve tells a write's outcome to whoever waits; it returns false if the
// write has been abandoned meanwhile, so that it must go on as a voiding.
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

// batchedWrite is a write and the state that the transaction under way carries for it.
type batchedWrite struct {
	*claimWrite
	value claimRow
}

// writeBatch writes one transaction and returns whether anything is left.
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

// nextBatch takes pending writes, at most one for each row.
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

// requeue puts writes back before all others, so that the order of writes to
// one row stays.
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

// handleNotApplied fails claims that certainly have not landed; everything else is
// tried again.
func (c *Claims) handleNotApplied(batch []batchedWrite) {
	var retry []batchedWrite
	for _, w := range batch {
		switch {
		case w.value.State == ClaimHeld && !w.outcomeUnknown && c.resolve(w.claimWrite, ClaimHeld, ErrNoClaim):
		case w.value.State == ClaimVoid && w.claim.version == 0 && !w.outcomeUnknown:
			// There never was a claim to void.
			c.resolve(w.claimWrite, ClaimVoid, nil)
		default:
			retry = append(retry, w)
		}
	}
	c.requeue(retry)
}

// handleConflict settles the writes whose row was not as expected, and sends the
// others again.
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

// resolveConflict decides a write by the row that was found; it returns false if the
// write is to be sent again, on top of that row.
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
		// An earlier write of ours had landed, its answer lost.
		w.claim.version = row.Version
		return c.resolve(w.claimWrite, w.value.State, nil)
	case ownRow, row.Version == 0, current.State == ClaimVoid && w.value.State == ClaimHeld:
		w.claim.version = row.Version
		return false
	case w.value.State == ClaimHeld:
		return c.resolve(w.claimWrite, ClaimHeld, &TakenError{State: current.State, Node: current.Node, Result: current.Result})
	default:
		// The row is another's, so ours neither landed nor can: voiding it is
		// done, and a result has nowhere to go.
		return c.resolve(w.claimWrite, w.value.State, nil)
	}
}
