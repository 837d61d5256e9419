package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/site"
)

// Store is where the lease is kept.
type Store interface {
	List(ctx context.Context, t site.Table) (site.Listing, error)
	Put(ctx context.Context, t site.Table, key string, value []byte, expected int64) (site.Listing, error)
}

const (
	// leaseTerm is for how long one renewal holds. It is short, as whoever takes
	// over from a lost holder waits for its end.
	leaseTerm = 2 * time.Second
	// renewAfter leaves a second for a slow store.
	renewAfter = leaseTerm / 2
	// takeoverMargin is added to the pause between two holders for the way of an
	// order.
	takeoverMargin = 300 * time.Millisecond
)

// Lease says whether this node may give orders.
//
// The store tells a steady clock with each answer. A holder writes until when, on
// that clock, it may give orders, and counts its own validity on its own steady
// clock from before the write was sent; so it ends by its own count first. A
// taker waits until the store's clock is past that end and a pause more.
type Lease struct {
	key           string
	node          string
	takeoverPause time.Duration
	store         Store
	log           *slog.Logger
	now           func() time.Time

	mu               sync.Mutex
	row              leaseRow
	version          int64
	validUntil       time.Time // Of this node's validity.
	renewalSentAt    time.Time // When the last renewal was sent.
	storeClock       time.Duration
	storeClockReadAt time.Time // When, at the latest, the store's clock was that.
	nextTry          time.Time // When it is worth asking for again.
	closed           bool      // It is not to be taken again.
}

type leaseRow struct {
	Holder string        `json:"holder"`
	Fence  int64         `json:"fence"`
	Until  time.Duration `json:"until_ns"` // On the store's clock.
}

// NewLease returns a lease of a name that is not held; pause is the least time
// between the orders of two holders.
func NewLease(key, node string, pause time.Duration, store Store, log *slog.Logger) *Lease {
	return &Lease{key: key, node: node, takeoverPause: pause, store: store, log: log, now: boottime.RefreshNow}
}

// Held says whether an order may be given now; it is asked just before each.
func (l *Lease) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now().Before(l.validUntil)
}

// Fence is the number under which orders are given; it rises with each holder.
func (l *Lease) Fence() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.row.Fence
}

// AcquireOrRenew takes the lease if it is free, or renews it when that is due, and says
// whether it is held.
func (l *Lease) AcquireOrRenew(ctx context.Context) bool {
	l.mu.Lock()
	closed := l.closed
	held := l.now().Before(l.validUntil)
	due := !held || l.now().Sub(l.renewalSentAt) >= renewAfter
	l.mu.Unlock()
	if closed {
		return false
	}
	if !due {
		return true
	}
	if held {
		return l.write(ctx, leaseTerm) || l.Held()
	}
	return l.tryAcquire(ctx)
}

// acquireRetryPause is the least pause between two looks at a lease that another holds,
// or that could not be looked at.
const acquireRetryPause = 400 * time.Millisecond

// tryAcquire takes the lease if it is free. One that is not is asked for again when it
// could run out; if its holder renews it, that is moved on.
func (l *Lease) tryAcquire(ctx context.Context) bool {
	l.mu.Lock()
	tooEarly := l.now().Before(l.nextTry)
	l.mu.Unlock()
	if tooEarly {
		return false
	}
	free, freeIn := l.read(ctx)
	if free && l.write(ctx, leaseTerm) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextTry = l.now().Add(max(acquireRetryPause, freeIn))
	return false
}

// Release gives the lease up, so that another need not wait for its end.
func (l *Lease) Release(ctx context.Context) {
	if !l.Held() {
		return
	}
	l.mu.Lock()
	l.validUntil = time.Time{}
	l.mu.Unlock()
	l.write(ctx, 0)
}

// Close gives the lease up for good.
func (l *Lease) Close(ctx context.Context) {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.Release(ctx)
}

// read looks at the row and says whether it may be taken, or when it could be.
func (l *Lease) read(ctx context.Context) (free bool, freeIn time.Duration) {
	askedAt := l.now()
	listing, err := l.store.List(ctx, site.TableLeases)
	if err != nil {
		l.log.Warn("lease not read", "err", err)
		return false, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.row, l.version = leaseRow{}, 0
	for _, r := range listing.Rows {
		if r.Key != l.key || r.Gone {
			continue
		}
		if err := json.Unmarshal(r.Value, &l.row); err != nil {
			l.log.Error("lease row can't be decoded", "err", err)
			return false, 0
		}
		l.version = r.Version
	}
	l.storeClock, l.storeClockReadAt = listing.Now, askedAt
	if l.row.Holder == "" || l.row.Holder == l.node {
		return true, 0
	}
	freeIn = l.row.Until + l.takeoverPause + takeoverMargin - listing.Now
	return freeIn <= 0, freeIn
}

// write holds the lease for a term from now, or ends it with a term of 0.
func (l *Lease) write(ctx context.Context, term time.Duration) bool {
	l.mu.Lock()
	if l.closed && term > 0 {
		l.mu.Unlock()
		return false // The node has begun to stop since it looked.
	}
	sentAt := l.now()
	next := l.row
	if next.Holder != l.node {
		next.Holder = l.node
		next.Fence++
	}
	next.Until = l.storeClock + sentAt.Sub(l.storeClockReadAt) + term
	baseVersion := l.version
	l.mu.Unlock()
	body, err := json.Marshal(next)
	if err != nil {
		return false
	}
	listing, err := l.store.Put(ctx, site.TableLeases, l.key, body, baseVersion)
	if err != nil {
		if !errors.Is(err, site.ErrConflict) {
			l.log.Warn("lease not written", "err", err)
		}
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if next.Fence != l.row.Fence {
		l.log.Info("lease acquired", "lease", l.key, "fence", next.Fence, "version", listing.Version)
	}
	l.row, l.version = next, listing.Version
	l.renewalSentAt = sentAt
	if term > 0 && !l.closed {
		l.validUntil = sentAt.Add(term)
	}
	return term > 0 && !l.closed
}
