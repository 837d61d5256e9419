package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/site"
)

// Store is the platform's store, which holds the lease rows.
type Store interface {
	List(ctx context.Context, t site.Table) (site.Listing, error)
	Put(ctx context.Context, t site.Table, key string, value []byte, expected history.Position) (site.Listing, error)
	// Eras returns the eras that the store's answers have named.
	Eras() *history.Eras
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
	// fencesPerEra is how many fences each era of the store has.
	fencesPerEra = 1 << 20
)

// Lease is a node's right to send the orders of one group of replicas.
//
// The platform's store returns the time on its monotonic clock with each answer. A holder
// writes the end of its lease on that clock. It measures its own validity on its own
// boot-time clock, which also counts time in suspension, from before the write was sent; so
// it stops before the written end. Another node takes the lease only once the store's clock
// has passed the written end and the takeover pause.
//
// A row that was written in an earlier era of the store says nothing about the current holder: the
// store may have come back from a copy, and its clock may be another one. But the last renewal
// was before the era began. So a node that does not hold the lease waits for a term and the pause since
// it first heard of the era, by its own clock. Fences begin anew above those of all
// earlier eras, as some of these may be lost.
type Lease struct {
	key           string
	node          string
	takeoverPause time.Duration
	store         Store
	log           *slog.Logger
	now           func() time.Time

	mu               locks.Mutex
	row              leaseRow
	lastFence        int64            // The highest one that this node has had.
	unchangedSince   time.Time        // When the row was first read as it is.
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
	// Era is that in which the holder wrote the row, by what it knew.
	Era history.Era `json:"era,omitempty"`
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
		return l.renew(ctx) || l.Held()
	}
	return l.tryAcquire(ctx)
}

// renew extends the lease while it is held. In a new era of the store it first reads the row: no other node
// takes the lease before this node's term has ended.
func (l *Lease) renew(ctx context.Context) bool {
	l.mu.Lock()
	known := l.position.Era
	l.mu.Unlock()
	if era, _, _ := l.store.Eras().Current(); era != known {
		if !l.read(ctx) || !l.mayReclaim() {
			return false
		}
	}
	return l.write(ctx, leaseTerm)
}

// mayReclaim reports whether no other node has taken the lease in the current era.
func (l *Lease) mayReclaim() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.row.Era != l.position.Era || l.row.Holder == l.node
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
	var freeIn time.Duration
	if l.read(ctx) {
		if freeIn = l.freeIn(); freeIn <= 0 && l.write(ctx, leaseTerm) {
			return true
		}
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

// read loads the row, and reports whether it could.
func (l *Lease) read(ctx context.Context) bool {
	askedAt := l.now()
	listing, err := l.store.List(ctx, site.TableLeases)
	if err != nil {
		l.log.Warn("lease not read", "err", err)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r, found := listing.Find(l.key)
	if l.unchangedSince.IsZero() || r.Position != l.position {
		l.unchangedSince = askedAt
	}
	l.row, l.position = leaseRow{}, r.Position
	if found {
		if err := json.Unmarshal(r.Value, &l.row); err != nil {
			l.log.Error("lease row can't be decoded", "err", err)
			return false
		}
	}
	l.storeClock, l.storeClockReadAt = listing.Now, askedAt
	return true
}

// freeIn returns in how long the lease could be free, by the row that was read last.
func (l *Lease) freeIn() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.row.Era != l.position.Era:
		_, since, _ := l.store.Eras().Current()
		if l.row.Holder != "" && l.row.Era == 0 {
			// A node of an earlier release may be renewing it in this era.
			since = l.unchangedSince
		}
		return leaseTerm + l.takeoverPause + takeoverMargin - l.now().Sub(since)
	case l.row.Holder == "" || l.row.Holder == l.node:
		return 0
	default:
		return l.row.Until + l.takeoverPause + takeoverMargin - l.storeClock
	}
}

// nextFence returns the fence of a new holder. It is above all that were given out in this era and in earlier
// ones.
func (l *Lease) nextFence() int64 {
	return max(l.row.Fence, l.lastFence, int64(l.position.Era)*fencesPerEra) + 1
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
	if next.Holder != l.node || next.Era != l.position.Era {
		next.Holder, next.Era = l.node, l.position.Era
		next.Fence = l.nextFence()
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
		if !errors.Is(err, site.ErrConflict) && !errors.Is(err, site.ErrEraEnded) {
			l.log.Warn("lease not written", "err", err)
		}
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if next.Fence != l.row.Fence {
		l.log.Info("lease acquired", "lease", l.key, "fence", next.Fence, "position", listing.Position)
	}
	l.row, l.position, l.lastFence = next, listing.Position, next.Fence
	l.renewalSentAt = sentAt
	if term > 0 && !l.closed {
		l.validUntil = sentAt.Add(term)
	}
	return term > 0 && !l.closed
}
