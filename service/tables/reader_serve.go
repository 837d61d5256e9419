package tables

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/site"
)

// changesRequest holds the parameters of MethodChanges; Whole asks for the whole table.
type changesRequest struct {
	Table site.Table `json:"table"`
	// Era is the newest era that the requesting node knows. An answer of an earlier one is of no
	// use to it.
	Era    history.Era      `json:"era,omitempty"`
	After  history.Position `json:"after"`
	WaitMS int64            `json:"wait_ms"`
	Whole  bool             `json:"whole,omitempty"`
	// StoreUnreachable means that the requesting node can't reach the store, so that an older copy
	// is acceptable.
	StoreUnreachable bool `json:"detour,omitempty"`
	// Starting means that the requesting node has just started and looks for newer contents than the
	// store's.
	Starting bool `json:"starting,omitempty"`
	// HaveRef names a large value that the requesting node already has.
	HaveRef rowRef `json:"have,omitzero"`

	haveValue []byte // The value that HaveRef names; not sent.
}

// maxAge is the age beyond which an answer is not used.
func (q changesRequest) maxAge() time.Duration {
	if q.StoreUnreachable {
		return outageMaxAge
	}
	return maxReaderAge
}

type changesAnswer struct {
	Rows     packedRows       `json:"rows,omitzero"`
	Position history.Position `json:"position"`
	AgeMS    int64            `json:"age_ms"`
	// HistoryGone means that this node does not have the changes since the requested position.
	HistoryGone bool `json:"gone,omitempty"`
}

// Serve handles MethodChanges; like the store, it waits for changes.
func (r *Reader) Serve(ctx context.Context, params json.RawMessage) (any, error) {
	var q changesRequest
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, eris.Wrap(err, "bad parameters")
	}
	if q.Era > 0 {
		r.store.Eras().Observe(q.Era, boottime.RefreshNow())
	}
	if q.Starting && r.isFirst(q.Table) {
		return nil, errReaderBehind // This node has just started as well.
	}
	end := time.After(min(readerPollWait, time.Duration(q.WaitMS)*time.Millisecond))
	r.refreshFromStore(ctx, q)
	for {
		answer, changed, trustedUntil, err := r.answer(q)
		if err != nil {
			return nil, err
		}
		if q.Whole || answer.HistoryGone || len(answer.Rows.Data) > 0 || !boottime.Now().Before(trustedUntil) {
			return answer, nil
		}
		select {
		case <-changed:
		case <-time.After(boottime.Until(trustedUntil)): // The requesting node tries another one.
		case <-end:
			answer, _, _, err = r.answer(q)
			return answer, err
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// refreshFromStore reads the store if this node is asked for a table whose copy is stale,
// because another reader failed or this node has just started. If such requests were refused
// instead, each node of the hall would call the store itself.
func (r *Reader) refreshFromStore(ctx context.Context, q changesRequest) {
	timeout := refreshTimeout
	if q.Whole {
		timeout = wholeRefreshTimeout
	}
	end := time.After(timeout)
	for {
		r.mu.Lock()
		x := r.table(q.Table)
		whole, after, inFlight := x.rows == nil || x.position.Era < q.Era, x.position, x.storeCall
		age, _ := x.age(boottime.Now(), r.store.LastLargeResponse(), q)
		fresh := !whole && age <= q.maxAge()
		skip := !r.outages[q.Table].since.IsZero() || boottime.Since(x.storeFailedAt) < refreshPause
		var done func()
		if !fresh && !skip && inFlight == nil {
			done = r.beginStoreCall(q.Table)
			x.refresh = x.storeCall
		}
		r.mu.Unlock()
		switch {
		case fresh, skip:
			return
		case done != nil:
			defer done()
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			_, err := r.fetchFromStore(ctx, changesRequest{Table: q.Table, Whole: whole, After: after}, 0)
			if errors.Is(err, site.ErrHistoryGone) { // Still the same call: others wait for it.
				_, err = r.fetchFromStore(ctx, changesRequest{Table: q.Table, Whole: true}, 0)
			}
			if err != nil {
				r.log.Warn("store read for peer failed", "table", tableName(q.Table), "err", err)
			}
			return
		}
		select {
		case <-inFlight:
		case <-end:
			return
		case <-ctx.Done():
			return
		}
	}
}

// answer builds the answer from the cached table, and returns until when that copy is trusted;
// the error is errReaderBehind if there is no copy.
func (r *Reader) answer(q changesRequest) (answer changesAnswer, changed chan struct{}, trustedUntil time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.tables[q.Table]
	if x == nil || x.rows == nil || x.position.Era < q.Era {
		return answer, nil, trustedUntil, errReaderBehind
	}
	age, trustedUntil := x.age(boottime.Now(), r.store.LastLargeResponse(), q)
	// Rounded up: rounded down, an age just over the limit would pass, and a cut off reader
	// would be asked for another second.
	ageMS := (age + time.Millisecond - 1).Milliseconds()
	answer = changesAnswer{Position: x.position, AgeMS: ageMS, HistoryGone: !q.Whole && q.After.Before(x.historyStart)}
	if answer.HistoryGone {
		return answer, x.changed, trustedUntil, nil
	}
	answer.Rows, err = x.packFor(q)
	return answer, x.changed, trustedUntil, err
}
