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
	// turnSlack is added to the pause between two holders for the way of an
	// order.
	turnSlack = 300 * time.Millisecond
)

// Lease says whether this node may give orders.
//
// The store tells a steady clock with each answer. A holder writes until when, on
// that clock, it may give orders, and counts its own validity on its own steady
// clock from before the write was sent; so it ends by its own count first. A
// taker waits until the store's clock is past that end and a pause more.
type Lease struct {
	key   string
	node  string
	pause time.Duration
	store Store
	log   *slog.Logger
	now   func() time.Time

	mu      sync.Mutex
	row     leaseRow
	version int64
	until   time.Time // Of this node's validity.
	sent    time.Time // When the last renewal was sent.
	clock   time.Duration
	clockAt time.Time // When, at the latest, the store's clock was that.
	again   time.Time // When it is worth asking for again.
	left    bool      // It is not to be taken again.
}

type leaseRow struct {
	Holder string        `json:"holder"`
	Fence  int64         `json:"fence"`
	Until  time.Duration `json:"until_ns"` // On the store's clock.
}

// NewLease returns a lease of a name that is not held; pause is the least time
// between the orders of two holders.
func NewLease(key, node string, pause time.Duration, s Store, log *slog.Logger) *Lease {
	return &Lease{key: key, node: node, pause: pause, store: s, log: log, now: boottime.RefreshNow}
}

// Held says whether an order may be given now; it is asked just before each.
func (l *Lease) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now().Before(l.until)
}

// Fence is the number under which orders are given; it rises with each holder.
func (l *Lease) Fence() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.row.Fence
}

// Keep takes the lease if it is free, or renews it when that is due, and says
// whether it is held.
func (l *Lease) Keep(ctx context.Context) bool {
	l.mu.Lock()
	left := l.left
	held := l.now().Before(l.until)
	due := !held || l.now().Sub(l.sent) >= renewAfter
	l.mu.Unlock()
	if left {
		return false
	}
	if !due {
		return true
	}
	if held {
		return l.write(ctx, leaseTerm) || l.Held()
	}
	return l.try(ctx)
}

// askAgain is the least pause between two looks at a lease that another holds,
// or that could not be looked at.
const askAgain = 400 * time.Millisecond

// try takes the lease if it is free. One that is not is asked for again when it
// could run out; if its holder renews it, that is moved on.
func (l *Lease) try(ctx context.Context) bool {
	l.mu.Lock()
	wait := l.now().Before(l.again)
	l.mu.Unlock()
	if wait {
		return false
	}
	free, after := l.read(ctx)
	if free && l.write(ctx, leaseTerm) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.again = l.now().Add(max(askAgain, after))
	return false
}

// Release gives the lease up, so that another need not wait for its end.
func (l *Lease) Release(ctx context.Context) {
	if !l.Held() {
		return
	}
	l.mu.Lock()
	l.until = time.Time{}
	l.mu.Unlock()
	l.write(ctx, 0)
}

// Leave gives the lease up for good.
func (l *Lease) Leave(ctx context.Context) {
	l.mu.Lock()
	l.left = true
	l.mu.Unlock()
	l.Release(ctx)
}

// read looks at the row and says whether it may be taken, or when it could be.
func (l *Lease) read(ctx context.Context) (free bool, after time.Duration) {
	asked := l.now()
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
	l.clock, l.clockAt = listing.Now, asked
	if l.row.Holder == "" || l.row.Holder == l.node {
		return true, 0
	}
	after = l.row.Until + l.pause + turnSlack - listing.Now
	return after <= 0, after
}

// write holds the lease for a term from now, or ends it with a term of 0.
func (l *Lease) write(ctx context.Context, term time.Duration) bool {
	l.mu.Lock()
	if l.left && term > 0 {
		l.mu.Unlock()
		return false // The node has begun to stop since it looked.
	}
	sent := l.now()
	next := l.row
	if next.Holder != l.node {
		next.Holder = l.node
		next.Fence++
	}
	next.Until = l.clock + sent.Sub(l.clockAt) + term
	base := l.version
	l.mu.Unlock()
	body, err := json.Marshal(next)
	if err != nil {
		return false
	}
	listing, err := l.store.Put(ctx, site.TableLeases, l.key, body, base)
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
	l.sent = sent
	if term > 0 && !l.left {
		l.until = sent.Add(term)
	}
	return term > 0 && !l.left
}
