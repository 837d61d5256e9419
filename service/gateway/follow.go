package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/site"
)

const (
	// minFollowRetry and maxFollowRetry bound the pause after a failed call. Each call
	// is charged for, and the platform's store may be rejecting calls.
	minFollowRetry = 100 * time.Millisecond
	maxFollowRetry = 800 * time.Millisecond
)

// tableFollower keeps a local copy of one table of the platform's store up to date.
type tableFollower struct {
	store interface {
		List(ctx context.Context, t site.Table) (site.Listing, error)
		Changes(ctx context.Context, t site.Table, after history.Position, wait time.Duration) (site.Listing, error)
	}
	table site.Table
	name  string // For logs.
	// longPoll is how long the store may hold a call for changes.
	longPoll time.Duration
	// batchDelay is the pause after each change, so that changes come in batches: every
	// call is charged for.
	batchDelay time.Duration
	// apply applies rows; if whole is set, they are the whole table.
	apply func(rows []site.Row, whole bool, now time.Time)
	// onFailure is called after each failed call. site.ErrHistoryGone does not count as a
	// failure.
	onFailure func(now time.Time)
	// onAnswer is called after each call that succeeded, with the time when it was
	// started, unless the machine was suspended meanwhile.
	onAnswer func(startedAt, now time.Time)
	log      *slog.Logger

	mu         sync.Mutex
	cancel     context.CancelFunc // Cancels the call under way.
	pollAtOnce bool               // The next call is not a long poll.
	wake       context.CancelFunc // Ends the pause after a failed call.

	position     history.Position // That the copy has reached.
	listed       bool
	failingSince time.Time // Zero if the last call succeeded.
	retryDelay   time.Duration
}

// run follows the table until ctx ends, from the position that it has reached. It reads
// the whole table again only if the store does not have the changes since that position.
func (f *tableFollower) run(ctx context.Context) {
	for ctx.Err() == nil {
		suspendedBefore := boottime.Refresh()
		startedAt := boottime.Now()
		call, longPoll, done := f.beginCall(ctx)
		err := f.poll(call, longPoll)
		interrupted := call.Err() != nil
		done()
		now := boottime.RefreshNow()
		switch {
		case err == nil && boottime.Suspended()-suspendedBefore >= minSuspension:
			// The answer may be from before the machine was suspended.
		case err == nil:
			f.recordSuccess(now)
			f.onAnswer(startedAt, now)
		case ctx.Err() != nil:
			return
		case interrupted: // The store is asked again at once.
		case errors.Is(err, site.ErrHistoryGone):
			// The store answered, so this is not a failure to reach it.
			f.listed = false
		default:
			f.recordFailure(now, err)
			f.onFailure(now)
			f.backOff(ctx)
		}
	}
}

// beginCall returns the context of the next call, which pollNow cancels, and how long
// the store may hold the call.
func (f *tableFollower) beginCall(ctx context.Context) (call context.Context, longPoll time.Duration, done context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	call, f.cancel = context.WithCancel(ctx)
	if !f.pollAtOnce {
		longPoll = f.longPoll
	}
	f.pollAtOnce = false
	return call, longPoll, f.cancel
}

// pollNow interrupts the call under way, or the pause after a failed one, and asks the store again at once. It is called
// after the machine was suspended, and if the store has come back from a copy.
func (f *tableFollower) pollNow() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pollAtOnce = true
	if f.cancel != nil {
		f.cancel()
	}
	if f.wake != nil {
		f.wake()
	}
}

func (f *tableFollower) poll(ctx context.Context, longPoll time.Duration) error {
	if !f.listed {
		return f.list(ctx)
	}
	if !f.failingSince.IsZero() {
		// After a failure the next call must return as soon as the store is back. It has
		// no timeout of its own: one on the whole call would abort a large answer every
		// time.
		longPoll = 0
	}
	l, err := f.store.Changes(ctx, f.table, f.position, longPoll)
	if err != nil {
		return err
	}
	f.position = history.Later(f.position, l.Position)
	if len(l.Rows) > 0 {
		f.apply(l.Rows, false, boottime.Now())
		sleep(ctx, f.batchDelay)
	}
	return nil
}

// errStoreBehind means that the store answered with an older position than before.
var errStoreBehind = errors.New("the store returned an older position than before")

func (f *tableFollower) list(ctx context.Context) error {
	l, err := f.store.List(ctx, f.table)
	if err != nil {
		return err
	}
	if l.Position.Before(f.position) {
		return errStoreBehind
	}
	f.apply(l.Rows, true, boottime.Now())
	f.position, f.listed = l.Position, true
	return nil
}

// recordFailure logs the first of several failures in a row; recordSuccess logs how long
// they lasted.
func (f *tableFollower) recordFailure(now time.Time, err error) {
	if f.failingSince.IsZero() {
		f.failingSince = now
		f.log.Warn("store lost", "table", f.name, "position", f.position, "err", err)
	}
}

func (f *tableFollower) recordSuccess(now time.Time) {
	if !f.failingSince.IsZero() {
		f.log.Info("store back", "table", f.name, "position", f.position, "away", now.Sub(f.failingSince))
	}
	f.failingSince = time.Time{}
	f.retryDelay = 0
}

// backOff pauses after a failed call, unless pollNow is called.
func (f *tableFollower) backOff(ctx context.Context) {
	ctx, wake := context.WithCancel(ctx)
	defer wake()
	f.mu.Lock()
	f.wake = wake
	f.mu.Unlock()
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
