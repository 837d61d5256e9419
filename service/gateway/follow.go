package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/site"
)

const (
	// minFollowRetry and followRetryMost bound the pause after a failed call. Each
	// call is paid for, and the store may be turning callers away.
	minFollowRetry = 100 * time.Millisecond
	maxFollowRetry = 800 * time.Millisecond
)

// follower keeps up with one table of the store.
type follower struct {
	store interface {
		List(ctx context.Context, t site.Table) (site.Listing, error)
		Changes(ctx context.Context, t site.Table, after int64, wait time.Duration) (site.Listing, error)
	}
	table    site.Table
	name     string // For logs.
	longPoll time.Duration
	// batchDelay is kept after each change, so that changes come in groups: every
	// call is paid for.
	batchDelay time.Duration
	// apply takes in rows; with whole they are the whole table.
	apply func(rows []site.Row, whole bool, now time.Time)
	// onFailure is told of each call that was not answered.
	onFailure func(now time.Time)
	// onAnswer is told of each call that succeeded, and when it was begun.
	onAnswer func(begun, now time.Time)
	log      *slog.Logger

	mu         sync.Mutex
	cancel     context.CancelFunc // Of the call under way.
	pollAtOnce bool               // The next call is not to be held.

	version      int64
	listed       bool
	failingSince time.Time // Since when calls fail, zero if they don't.
	retryDelay   time.Duration
}

// run follows the table until ctx ends. It goes on from the version that it has
// reached; only when the store no longer knows the changes since then is the
// whole table read again.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		suspendedBefore := boottime.Refresh()
		begun := boottime.Now()
		call, longPoll, done := f.beginCall(ctx)
		err := f.poll(call, longPoll)
		interrupted := call.Err() != nil
		done()
		now := boottime.RefreshNow()
		switch {
		case err == nil && boottime.Suspended()-suspendedBefore >= minSuspension:
			// The answer may have come before the machine was suspended.
		case err == nil:
			f.recordSuccess(now)
			f.onAnswer(begun, now)
		case ctx.Err() != nil:
			return
		case interrupted: // It is asked anew at once.
		case errors.Is(err, site.ErrHistoryGone):
			// Whoever says so is there: no entry has run out for want of the store.
			f.listed = false
		default:
			f.recordFailure(now, err)
			f.onFailure(now)
			f.backOff(ctx)
		}
	}
}

// beginCall makes the context of a call that wake ends, and says for how long it is held.
func (f *follower) beginCall(ctx context.Context) (call context.Context, longPoll time.Duration, done context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	call, f.cancel = context.WithCancel(ctx)
	if !f.pollAtOnce {
		longPoll = f.longPoll
	}
	f.pollAtOnce = false
	return call, longPoll, f.cancel
}

// pollNow has the table asked for anew at once: the machine was suspended.
func (f *follower) pollNow() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pollAtOnce = true
	if f.cancel != nil {
		f.cancel()
	}
}

func (f *follower) poll(ctx context.Context, longPoll time.Duration) error {
	if !f.listed {
		return f.list(ctx)
	}
	if !f.failingSince.IsZero() {
		// A call that falls into an absence of the store is not to be waited
		// for beyond the store's return. It has no limit of its own: one on the whole
		// would end a large answer each time.
		longPoll = 0
	}
	l, err := f.store.Changes(ctx, f.table, f.version, longPoll)
	if err != nil {
		return err
	}
	if l.Version > f.version {
		f.version = l.Version
	}
	if len(l.Rows) > 0 {
		f.apply(l.Rows, false, boottime.Now())
		sleep(ctx, f.batchDelay)
	}
	return nil
}

// errStale says that the store answered with something older than is known.
var errStale = errors.New("the store is behind what it has told before")

func (f *follower) list(ctx context.Context) error {
	l, err := f.store.List(ctx, f.table)
	if err != nil {
		return err
	}
	if l.Version < f.version {
		return errStale
	}
	f.apply(l.Rows, true, boottime.Now())
	f.version, f.listed = l.Version, true
	return nil
}

// recordFailure logs the first failure of a row; recovered logs how long it lasted.
func (f *follower) recordFailure(now time.Time, err error) {
	if f.failingSince.IsZero() {
		f.failingSince = now
		f.log.Warn("store lost", "table", f.name, "version", f.version, "err", err)
	}
}

func (f *follower) recordSuccess(now time.Time) {
	if !f.failingSince.IsZero() {
		f.log.Info("store back", "table", f.name, "version", f.version, "away", now.Sub(f.failingSince))
	}
	f.failingSince = time.Time{}
	f.retryDelay = 0
}

func (f *follower) backOff(ctx context.Context) {
	f.retryDelay = min(maxFollowRetry, max(minFollowRetry, 2*f.retryDelay))
	sleep(ctx, f.retryDelay/2+time.Duration(rand.Int64N(int64(f.retryDelay))))
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
