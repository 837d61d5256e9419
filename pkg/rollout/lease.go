package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/site"
)

// Store is the platform's store, which holds the lease rows.
type Store interface {
	List(ctx context.Context, t site.Table) (site.Listing, error)
	Put(ctx context.Context, t site.Table, key string, value []byte, expected history.Position) (site.Listing, error)
}

const (
	// leaseTerm is how long one renewal is valid. It is short because the next holder waits
	// for its end when a holder is lost.
	leaseTerm = 2 * time.Second
	// renewAfter leaves a second for a slow answer of the store.
	renewAfter = leaseTerm / 2
	// takeoverMargin is added to the pause between two holders for the time an order is on
	// its way.
	takeoverMargin = 300 * time.Millisecond
)

// Lease is a node's right to send the orders of one group of replicas.
//
// The platform's store returns the time on its monotonic clock with each answer. A holder
// writes the end of its lease on that clock. It measures its own validity on its own
// boot-time clock, which also counts time in suspension, from before the write was sent; so
// it stops before the written end. Another node takes the lease only once the store's clock
// has passed the written end and the takeover pause.
type Lease struct {
	key           string
	node          string
	takeoverPause time.Duration
	store         Store
	log           *slog.Logger
	now           func() time.Time

	mu               sync.Mutex
	row              leaseRow
	position         history.Position // Of the row.
	validUntil       time.Time        // End of this node's validity, on its own clock.
	renewalSentAt    time.Time        // When the last successful write was sent.
	storeClock       time.Duration
	storeClockReadAt time.Time // When storeClock was requested, on this node's clock.
	nextTry          time.Time // Earliest time of the next attempt to acquire.
	closed           bool      // Set by Close; the lease must not be acquired again.
}

type leaseRow struct {
	Holder string        `json:"holder"`
	Fence  int64         `json:"fence"`
	Until  time.Duration `json:"until_ns"` // On the store's clock.
}

// NewLease returns a lease that is not held. pause is the minimum time between the orders of
// two holders.
func NewLease(key, node string, pause time.Duration, store Store, log *slog.Logger) *Lease {
	return &Lease{key: key, node: node, takeoverPause: pause, store: store, log: log, now: boottime.RefreshNow}
}

// Held reports whether an order may be sent now. It is called just before each order.
func (l *Lease) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now().Before(l.validUntil)
}

// Fence returns the number to send with orders; it rises with each new holder.
func (l *Lease) Fence() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.row.Fence
}

// AcquireOrRenew acquires the lease if it is free, or renews it when that is due, and
// reports whether it is held.
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

// acquireRetryPause is the minimum pause between two attempts to acquire the lease when
// another node holds it or the store fails.
const acquireRetryPause = 400 * time.Millisecond

// tryAcquire acquires the lease if it is free. Otherwise the next attempt is made when the
// lease could run out; a renewal by its holder postpones that further.
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

// Release gives the lease up, so that other nodes need not wait for its end.
func (l *Lease) Release(ctx context.Context) {
	if !l.Held() {
		return
	}
	l.mu.Lock()
	l.validUntil = time.Time{}
	l.mu.Unlock()
	l.write(ctx, 0)
}

// Close releases the lease and prevents acquiring it again.
func (l *Lease) Close(ctx context.Context) {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.Release(ctx)
}

// read loads the row and reports whether the lease is free, or in how long it could be.
func (l *Lease) read(ctx context.Context) (free bool, freeIn time.Duration) {
	askedAt := l.now()
	listing, err := l.store.List(ctx, site.TableLeases)
	if err != nil {
		l.log.Warn("lease not read", "err", err)
		return false, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r, found := listing.Find(l.key)
	l.row, l.position = leaseRow{}, r.Position
	if found {
		if err := json.Unmarshal(r.Value, &l.row); err != nil {
			l.log.Error("lease row can't be decoded", "err", err)
			return false, 0
		}
	}
	l.storeClock, l.storeClockReadAt = listing.Now, askedAt
	if l.row.Holder == "" || l.row.Holder == l.node {
		return true, 0
	}
	freeIn = l.row.Until + l.takeoverPause + takeoverMargin - listing.Now
	return freeIn <= 0, freeIn
}

// write extends the lease by a term from now. A term of 0 ends it.
func (l *Lease) write(ctx context.Context, term time.Duration) bool {
	l.mu.Lock()
	if l.closed && term > 0 {
		l.mu.Unlock()
		return false // Close was called after the row was read.
	}
	sentAt := l.now()
	next := l.row
	if next.Holder != l.node {
		next.Holder = l.node
		next.Fence++
	}
	next.Until = l.storeClock + sentAt.Sub(l.storeClockReadAt) + term
	expected := l.position
	l.mu.Unlock()
	body, err := json.Marshal(next)
	if err != nil {
		return false
	}
	listing, err := l.store.Put(ctx, site.TableLeases, l.key, body, expected)
	if err != nil {
		if !errors.Is(err, site.ErrConflict) {
			l.log.Warn("lease not written", "err", err)
		}
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if next.Fence != l.row.Fence {
		l.log.Info("lease acquired", "lease", l.key, "fence", next.Fence, "position", listing.Position)
	}
	l.row, l.position = next, listing.Position
	l.renewalSentAt = sentAt
	if term > 0 && !l.closed {
		l.validUntil = sentAt.Add(term)
	}
	return term > 0 && !l.closed
}
