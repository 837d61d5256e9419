package tables

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/pkg/timer"
)

const (
	// minFollowRetry and maxFollowRetry bound the pause after a failed call. Each call
	// is charged for, and the platform's store may be rejecting calls.
	minFollowRetry = 100 * time.Millisecond
	maxFollowRetry = 800 * time.Millisecond
)

// Follower keeps a local copy of one table of the platform's store up to date.
type Follower struct {
	Store Source
	Table site.Table
	Name  string // For logs.
	// LongPoll is how long the store may hold a call for changes.
	LongPoll time.Duration
	// BatchDelay is the pause after each change, so that changes come in batches: every
	// call is charged for.
	BatchDelay time.Duration
	// Apply applies rows; if whole is set, they are the whole table.
	Apply func(rows []site.Row, whole bool, now time.Time)
	// OnFailure is called after each failed call, with the time when it was started. site.ErrHistoryGone
	// does not count as a failure.
	OnFailure func(startedAt, now time.Time)
	// OnAnswer is called after each call that succeeded, with the time when it was
	// started, unless the machine was suspended meanwhile.
	OnAnswer func(startedAt, now time.Time)
	Log      *slog.Logger

	mu         locks.Mutex
	cancel     context.CancelFunc // Cancels the call under way.
	pollAtOnce bool               // The next call is not a long poll.
	wake       context.CancelFunc // Ends the pause after a failed call.

	position     history.Position // That the copy has reached.
	listed       bool
	failingSince time.Time // Zero if the last call succeeded.
	retryDelay   time.Duration
}

// Run follows the table until ctx ends, from the position that it has reached. It reads
// the whole table again only if the store does not have the changes since that position.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		suspendedBefore := boottime.Refresh()
		startedAt := boottime.Now()
		call, longPoll, done := f.beginCall(ctx)
		err := f.poll(call, longPoll)
		interrupted := call.Err() != nil
		done()
		now := boottime.RefreshNow()
		switch {
		case err == nil && boottime.Suspended()-suspendedBefore >= boottime.MinSuspension:
			// The answer may be from before the machine was suspended.
		case err == nil:
			f.recordSuccess(now)
			f.OnAnswer(startedAt, now)
		case ctx.Err() != nil:
			return
		case interrupted: // The store is asked again at once.
		case errors.Is(err, site.ErrHistoryGone):
			// The store answered, so this is not a failure to reach it.
			f.listed = false
		default:
			f.recordFailure(now, err)
			f.OnFailure(startedAt, now)
			f.backOff(ctx)
		}
	}
}

// beginCall returns the context of the next call, which PollNow cancels, and how long
// the store may hold the call.
func (f *Follower) beginCall(ctx context.Context) (call context.Context, longPoll time.Duration, done context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	call, f.cancel = context.WithCancel(ctx)
	if !f.pollAtOnce {
		longPoll = f.LongPoll
	}
	f.pollAtOnce = false
	return call, longPoll, f.cancel
}

// PollNow interrupts the call under way, or the pause after a failed one, and asks the store again at once. It is called
// after the machine was suspended, and if the store has come back from a copy.
func (f *Follower) PollNow() {
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

// Poll reads the changes, or the whole table if the store does not have them. It must not be called during Run.
func (f *Follower) Poll(ctx context.Context) error {
	err := f.poll(ctx, 0)
	if errors.Is(err, site.ErrHistoryGone) {
		f.listed = false
		err = f.poll(ctx, 0)
	}
	return err
}

func (f *Follower) poll(ctx context.Context, longPoll time.Duration) error {
	if !f.listed {
		return f.list(ctx)
	}
	if !f.failingSince.IsZero() {
		// After a failure the next call must return as soon as the store is back. It has
		// no timeout of its own: one on the whole call would abort a large answer every
		// time.
		longPoll = 0
	}
	l, err := f.Store.Changes(ctx, f.Table, f.position, longPoll)
	if err != nil {
		return err
	}
	f.position = history.Later(f.position, l.Position)
	if len(l.Rows) > 0 {
		f.Apply(l.Rows, false, boottime.RefreshNow())
		timer.Sleep(ctx, f.BatchDelay)
	}
	return nil
}

// errStoreBehind means that the store answered with an older position than before.
var errStoreBehind = errors.New("the store returned an older position than before")

func (f *Follower) list(ctx context.Context) error {
	l, err := f.Store.List(ctx, f.Table)
	if err != nil {
		return err
	}
	if l.Position.Before(f.position) {
		return errStoreBehind
	}
	f.Apply(l.Rows, true, boottime.RefreshNow())
	f.position, f.listed = l.Position, true
	return nil
}

// recordFailure logs the first of several failures in a row; recordSuccess logs how long
// they lasted.
func (f *Follower) recordFailure(now time.Time, err error) {
	if f.failingSince.IsZero() {
		f.failingSince = now
		f.Log.Warn("store lost", "table", f.Name, "position", f.position, "err", err)
	}
}

func (f *Follower) recordSuccess(now time.Time) {
	if !f.failingSince.IsZero() {
		f.Log.Info("store back", "table", f.Name, "position", f.position, "away", now.Sub(f.failingSince))
	}
	f.failingSince = time.Time{}
	f.retryDelay = 0
}

// backOff pauses after a failed call, unless PollNow is called.
func (f *Follower) backOff(ctx context.Context) {
	ctx, wake := context.WithCancel(ctx)
	defer wake()
	f.mu.Lock()
	f.wake = wake
	f.mu.Unlock()
	f.retryDelay = min(maxFollowRetry, max(minFollowRetry, 2*f.retryDelay))
	timer.Sleep(ctx, f.retryDelay/2+time.Duration(rand.Int64N(int64(f.retryDelay))))
}
