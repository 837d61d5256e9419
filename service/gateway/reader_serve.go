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
	// Detour says that the node that asks does not reach the store, so that
	// older knowledge serves as well.
	Detour bool `json:"detour"`
	// Have is a large value that the node that asks has already.
	Have rowRef `json:"have,omitzero"`

	have []byte // That value.
}

// oldest is the age from which on an answer is not used.
func (q changesRequest) oldest() time.Duration {
	if q.Detour {
		return detourAge
	}
	return readerAge
}

type changesAnswer struct {
	Rows    toldRows `json:"rows,omitzero"`
	Version int64    `json:"version"`
	AgeMS   int64    `json:"age_ms"`
	// Gone says that changes since the version asked for are not known here.
	Gone bool `json:"gone"`
}

// serve answers a node that asks; it waits for changes as the store does.
func (r *readers) serve(ctx context.Context, params json.RawMessage) (any, error) {
	var q changesRequest
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, eris.Wrap(err, "bad parameters")
	}
	end := time.After(min(askHold, time.Duration(q.WaitMS)*time.Millisecond))
	r.refresh(ctx, q)
	for {
		a, changed, until, err := r.answer(q)
		if err != nil {
			return nil, err
		}
		if q.Whole || a.Gone || len(a.Rows.Data) > 0 || !boottime.Now().Before(until) {
			return a, nil
		}
		select {
		case <-changed:
		case <-time.After(boottime.Until(until)): // The node that asks is to ask another.
		case <-end:
			a, _, _, err = r.answer(q)
			return a, err
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// refresh has this node ask the store itself, if it is asked for a table of which it
// has not heard lately: another reader has failed, or this node has just started.
// Turned away instead, a hall would go to the store node by node.
func (r *readers) refresh(ctx context.Context, q changesRequest) {
	end := time.After(refreshTime)
	for {
		r.mu.Lock()
		x := r.tableAt(q.Table)
		whole, after, asking := x.rows == nil, x.version, x.asking
		age, _ := x.age(boottime.Now(), r.store.LastLargeResponse(), q.oldest())
		fresh := !whole && age <= q.oldest()
		lost := !r.detours[q.Table].lost.IsZero() || boottime.Since(x.refused) < refreshPause
		var turn chan struct{}
		if !fresh && !lost && asking == nil {
			turn = make(chan struct{})
			x.asking, x.askedAt = turn, boottime.Now()
		}
		r.mu.Unlock()
		switch {
		case fresh, lost:
			return
		case turn != nil:
			defer close(turn)
			ctx, cancel := context.WithTimeout(ctx, refreshTime)
			defer cancel()
			_, err := r.own(ctx, changesRequest{Table: q.Table, Whole: whole, After: after}, 0)
			if errors.Is(err, site.ErrHistoryGone) {
				_, err = r.own(ctx, changesRequest{Table: q.Table, Whole: true}, 0)
			}
			if err != nil {
				r.log.Warn("store read for peer failed", "table", tableName(q.Table), "err", err)
			}
			return
		}
		select {
		case <-asking:
		case <-end:
			return
		case <-ctx.Done():
			return
		}
	}
}

// answer is what is known of a table, and until when that is trusted; the error is
// errReaderBehind if that is not enough to answer.
func (r *readers) answer(q changesRequest) (a changesAnswer, changed chan struct{}, until time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.tables[q.Table]
	if x == nil || x.rows == nil {
		return a, nil, until, errReaderBehind
	}
	age, until := x.age(boottime.Now(), r.store.LastLargeResponse(), q.oldest())
	// Rounded down, an age just over the bound was within it: a reader that had been cut
	// off was asked for another second.
	ageMS := (age + time.Millisecond - 1).Milliseconds()
	a = changesAnswer{Version: x.version, AgeMS: ageMS, Gone: !q.Whole && q.After < x.base}
	if a.Gone {
		return a, x.changed, until, nil
	}
	a.Rows, err = x.tell(q)
	return a, x.changed, until, err
}
