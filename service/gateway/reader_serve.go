package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/site"
)

// changesRequest are methodChanges' parameters; Whole asks for the whole table.
type changesRequest struct {
	Table  site.Table `json:"table"`
	After  int64      `json:"after"`
	WaitMS int64      `json:"wait_ms"`
	Whole  bool       `json:"whole"`
	// StoreUnreachable says that the node that asks does not reach the store, so that
	// older knowledge serves as well.
	StoreUnreachable bool `json:"detour"`
	// HaveRef is a large value that the node that asks has already.
	HaveRef rowRef `json:"have,omitzero"`

	haveValue []byte // That value.
}

// maxAge is the age from which on an answer is not used.
func (q changesRequest) maxAge() time.Duration {
	if q.StoreUnreachable {
		return outageMaxAge
	}
	return maxReaderAge
}

type changesAnswer struct {
	Rows    packedRows `json:"rows,omitzero"`
	Version int64      `json:"version"`
	AgeMS   int64      `json:"age_ms"`
	// HistoryGone says that changes since the version asked for are not known here.
	HistoryGone bool `json:"gone"`
}

// serve answers a node that asks; it waits for changes as the store does.
func (r *sharedReader) serve(ctx context.Context, params json.RawMessage) (any, error) {
	var q changesRequest
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, eris.Wrap(err, "bad parameters")
	}
	end := time.After(min(readerPollWait, time.Duration(q.WaitMS)*time.Millisecond))
	r.refreshFromStore(ctx, q)
	for {
		a, changed, trustedUntil, err := r.answer(q)
		if err != nil {
			return nil, err
		}
		if q.Whole || a.HistoryGone || len(a.Rows.Data) > 0 || !boottime.Now().Before(trustedUntil) {
			return a, nil
		}
		select {
		case <-changed:
		case <-time.After(boottime.Until(trustedUntil)): // The node that asks is to ask another.
		case <-end:
			a, _, _, err = r.answer(q)
			return a, err
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// refreshFromStore has this node ask the store itself, if it is asked for a table of which it
// has not heard lately: another reader has failed, or this node has just started.
// Turned away instead, a hall would go to the store node by node.
func (r *sharedReader) refreshFromStore(ctx context.Context, q changesRequest) {
	end := time.After(refreshTimeout)
	for {
		r.mu.Lock()
		x := r.table(q.Table)
		whole, after, inFlight := x.rows == nil, x.version, x.storeCall
		age, _ := x.age(boottime.Now(), r.store.LastLargeResponse(), q.maxAge())
		fresh := !whole && age <= q.maxAge()
		skip := !r.outages[q.Table].since.IsZero() || boottime.Since(x.storeFailedAt) < refreshPause
		var ownCall chan struct{}
		if !fresh && !skip && inFlight == nil {
			ownCall = make(chan struct{})
			x.storeCall, x.storeCallAt = ownCall, boottime.Now()
		}
		r.mu.Unlock()
		switch {
		case fresh, skip:
			return
		case ownCall != nil:
			defer close(ownCall)
			ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
			defer cancel()
			_, err := r.readStore(ctx, changesRequest{Table: q.Table, Whole: whole, After: after}, 0)
			if errors.Is(err, site.ErrHistoryGone) {
				_, err = r.readStore(ctx, changesRequest{Table: q.Table, Whole: true}, 0)
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

// answer is what is known of a table, and until when that is trusted; the error is
// errReaderBehind if that is not enough to answer.
func (r *sharedReader) answer(q changesRequest) (a changesAnswer, changed chan struct{}, trustedUntil time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.tables[q.Table]
	if x == nil || x.rows == nil {
		return a, nil, trustedUntil, errReaderBehind
	}
	age, trustedUntil := x.age(boottime.Now(), r.store.LastLargeResponse(), q.maxAge())
	// Rounded down, an age just over the bound was within it: a reader that had been cut
	// off was asked for another second.
	ageMS := (age + time.Millisecond - 1).Milliseconds()
	a = changesAnswer{Version: x.version, AgeMS: ageMS, HistoryGone: !q.Whole && q.After < x.historyStart}
	if a.HistoryGone {
		return a, x.changed, trustedUntil, nil
	}
	a.Rows, err = x.packFor(q)
	return a, x.changed, trustedUntil, err
}
