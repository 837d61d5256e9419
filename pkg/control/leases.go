package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/tablestore"
)

const (
	// LeaseGroups is how many leases there are for the whole fleet. Duties are
	// hashed into them, so the table service's load does not grow with the
	// number of upstreams.
	LeaseGroups = 16
	// leaseMarginDivisor is the share of a term by which a holder stops early, for
	// clocks that run at different rates and for the way of an order.
	leaseMarginDivisor = 4
	// RenewalsPerTerm is the share of a term after which a lease is renewed.
	RenewalsPerTerm = 3
)

// Leases are this node's leases on duties that may have one doer only.
//
// A holder counts its validity on its own monotonic clock from before the
// renewal was sent, less a margin. A taker waits a whole term during which the
// row has not changed, on its own clock, from when it first saw that row. So no
// clock is compared with another's. A holder that was frozen and still believes
// in its lease is stopped by the fence, as its taker has a higher epoch.
type Leases struct {
	node    string
	term    time.Duration
	table   Table
	members *Members
	log     *slog.Logger
	now     func() time.Time

	mu     sync.Mutex
	leases map[string]*Lease
}

// NewLeases returns leases of which none is held.
func NewLeases(node string, term time.Duration, t *tablestore.Table, m *Members, log *slog.Logger) *Leases {
	return newLeases(node, term, t, m, log)
}

func newLeases(node string, term time.Duration, t Table, m *Members, log *slog.Logger) *Leases {
	l := &Leases{
		node:    node,
		term:    term,
		table:   t,
		members: m,
		log:     log,
		now:     boottime.RefreshNow,
		leases:  map[string]*Lease{},
	}
	for i := range LeaseGroups {
		name := fmt.Sprintf("lease/%02d", i)
		l.leases[name] = &Lease{name: name}
	}
	return l
}

// LeaseFor names the lease under which a duty is done.
func LeaseFor(duty string) string {
	return fmt.Sprintf("lease/%02d", hashDuty(duty)%LeaseGroups)
}

// Step renews held leases, takes free ones that fall to this node, and gives
// back those that fall to another; the timer service calls it.
func (l *Leases) Step(ctx context.Context) {
	members := l.members.Working()
	var toRead []string
	for name := range l.leases {
		owner, ok := Owner(members, name)
		mine := ok && owner.Name == l.node
		switch held := l.Held(name); {
		case held && mine:
			if l.renewalDue(name) {
				l.renew(ctx, name)
			}
		case held:
			l.release(ctx, name)
		case mine:
			toRead = append(toRead, name)
		}
	}
	if len(toRead) == 0 {
		return
	}
	rows, err := l.table.Read(ctx, toRead...)
	if err != nil {
		l.log.Debug("leases not read", "err", err)
		return
	}
	for _, row := range rows {
		if l.canAcquire(row) {
			l.acquire(ctx, row.Key)
		}
	}
}

// renewalDue says whether a third of the term has passed since the last renewal.
func (l *Leases) renewalDue(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now().Sub(l.leases[name].unchangedSince) >= l.term/RenewalsPerTerm
}

// Held says whether this node holds a lease now.
func (l *Leases) Held(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now().Before(l.leases[name].validUntil)
}

// Fence returns the fence for the next order under a lease; ok is false if it
// is not held. It is to be called just before the order is sent.
func (l *Leases) Fence(name string) (f Fence, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lease := l.leases[name]
	if !l.now().Before(lease.validUntil) {
		return Fence{}, false
	}
	lease.lastSeq++
	return Fence{Epoch: lease.row.Epoch, Seq: lease.lastSeq}, true
}

// HeldForFullTerm says whether a lease has been held for a whole term, so that an order
// of the last holder that is under way has arrived. Orders to upstreams that do
// not check fences wait for that.
func (l *Leases) HeldForFullTerm(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	lease := l.leases[name]
	now := l.now()
	return now.Before(lease.validUntil) && now.Sub(lease.heldSince) >= l.term
}

// Release gives all leases back, for a planned stop.
func (l *Leases) Release(ctx context.Context) {
	for name := range l.leases {
		if l.Held(name) {
			l.release(ctx, name)
		}
	}
}

// Status lists the leases that are held.
func (l *Leases) Status(now time.Time) []LeaseStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []LeaseStatus
	for name, lease := range l.leases {
		if now.Before(lease.validUntil) {
			list = append(list, LeaseStatus{Name: name, Epoch: lease.row.Epoch, Valid: lease.validUntil.Sub(now)})
		}
	}
	return list
}

// canAcquire notes a row as seen now and says whether its lease may be taken.
func (l *Leases) canAcquire(row tablestore.Row) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	lease := l.leases[row.Key]
	now := l.now()
	if row.Version != lease.rowVersion || lease.unchangedSince.IsZero() {
		lease.rowVersion, lease.unchangedSince = row.Version, now
		lease.row = leaseRow{}
		if row.Version > 0 {
			if err := json.Unmarshal(row.Value, &lease.row); err != nil {
				l.log.Error("lease row can't be decoded", "row", row.Key, "err", err)
				return false
			}
		}
	}
	return lease.row.Holder == "" || now.Sub(lease.unchangedSince) >= l.term
}

func (l *Leases) acquire(ctx context.Context, name string) {
	l.mu.Lock()
	lease := l.leases[name]
	next := leaseRow{Holder: l.node, Epoch: lease.row.Epoch + 1, Nonce: newNonce()}
	l.mu.Unlock()
	if l.write(ctx, name, next) {
		l.log.Info("lease acquired", "lease", name, "epoch", next.Epoch)
	}
}

func (l *Leases) renew(ctx context.Context, name string) {
	l.mu.Lock()
	next := l.leases[name].row
	l.mu.Unlock()
	next.Nonce = newNonce()
	l.write(ctx, name, next)
}

// release ends a lease; it is not used from the moment the write is sent.
func (l *Leases) release(ctx context.Context, name string) {
	l.mu.Lock()
	lease := l.leases[name]
	lease.validUntil = time.Time{}
	next := leaseRow{Epoch: lease.row.Epoch, Nonce: newNonce()}
	l.mu.Unlock()
	if l.write(ctx, name, next) {
		l.log.Info("lease released", "lease", name)
	}
}

// write writes a lease's row on the version last seen and says whether it did.
// A lost answer is settled by reading the row; a write that is not known to
// have landed extends nothing.
func (l *Leases) write(ctx context.Context, name string, next leaseRow) bool {
	l.mu.Lock()
	lease := l.leases[name]
	baseVersion := lease.rowVersion
	l.mu.Unlock()
	body, err := json.Marshal(next)
	if err != nil {
		return false
	}
	// Validity counts from before the write is sent.
	sentAt := l.now()
	err = l.table.Commit(ctx, tablestore.Txn{
		Conditions: []tablestore.Condition{{Key: name, Version: baseVersion}},
		Puts:       []tablestore.Put{{Key: name, Value: body}},
	})
	if err != nil && !l.landed(ctx, name, next.Nonce, baseVersion, err) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	newEpoch := lease.row.Epoch != next.Epoch
	lease.row = next
	lease.rowVersion, lease.unchangedSince = baseVersion+1, sentAt
	if next.Holder != l.node {
		return true
	}
	if newEpoch {
		lease.heldSince, lease.lastSeq = sentAt, 0
	}
	lease.validUntil = sentAt.Add(l.term - l.term/leaseMarginDivisor)
	return true
}

// landed says whether a write whose answer was lost has taken effect.
func (l *Leases) landed(ctx context.Context, name, nonce string, baseVersion uint64, err error) bool {
	var conflict *tablestore.ConflictError
	if errors.As(err, &conflict) {
		l.invalidate(name)
		return false
	}
	if !eris.Is(err, tablestore.ErrUnknown) {
		return false
	}
	rows, err := l.table.Read(ctx, name)
	if err != nil || rows[0].Version != baseVersion+1 {
		return false
	}
	var row leaseRow
	return json.Unmarshal(rows[0].Value, &row) == nil && row.Nonce == nonce
}

// invalidate ends a lease whose row another has written.
func (l *Leases) invalidate(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lease := l.leases[name]
	lease.validUntil = time.Time{}
	lease.unchangedSince = time.Time{}
}
