package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/tablestore"
)

const (
	// LeaseGroups is the number of leases of the whole fleet. Duties are hashed
	// to them, so the table service's load does not grow with the number of
	// upstreams.
	LeaseGroups = 16
	// leaseMarginDivisor sets the safety margin: a holder stops using its lease
	// 1/leaseMarginDivisor of a term early, to allow for clocks that run at
	// different rates and for an order's time in transit.
	leaseMarginDivisor = 4
	// RenewalsPerTerm sets the renewal interval to term/RenewalsPerTerm.
	RenewalsPerTerm = 3
)

// Leases are this node's leases on duties that at most one node may perform.
//
// A holder counts validity on its own monotonic clock, from before the renewal
// was sent, less a margin. A node that takes a lease over first waits, on its own
// clock, a whole term in which the row has not changed. So no two clocks are ever
// compared. A holder that was paused and still considers its lease valid is
// stopped by the fence, because the new holder has a higher epoch.
type Leases struct {
	node    string
	term    time.Duration
	table   Table
	members *Members
	log     *slog.Logger
	now     func() time.Time

	mu     locks.Mutex
	leases map[string]*Lease
}

// NewLeases returns the fleet's leases, none of them held by this node.
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

// LeaseFor returns the name of the lease that covers a duty.
func LeaseFor(duty string) string {
	return fmt.Sprintf("lease/%02d", hashDuty(duty)%LeaseGroups)
}

// Step renews held leases, acquires free ones that rendezvous hashing assigns to
// this node, and releases those it assigns to another. The timer service calls it.
func (l *Leases) Step(ctx context.Context) {
	members := l.members.Working()
	var toRead []string
	for name := range l.leases {
		owner, ok := Owner(members, name)
		assigned := ok && owner.Name == l.node
		switch held := l.Held(name); {
		case held && assigned:
			if l.renewalDue(name) {
				l.renew(ctx, name)
			}
		case held:
			l.releaseOne(ctx, name)
		case assigned:
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

// renewalDue reports whether term/RenewalsPerTerm has passed since the last
// renewal.
func (l *Leases) renewalDue(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now().Sub(l.leases[name].unchangedSince) >= l.term/RenewalsPerTerm
}

// Held reports whether this node holds a lease now.
func (l *Leases) Held(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now().Before(l.leases[name].validUntil)
}

// Fence returns the fence for the next order under a lease; ok is false if the
// lease is not held. Call it just before sending the order.
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

// HeldForFullTerm reports whether a lease has been held for a whole term, after
// which no order of the previous holder is still in transit. Orders to upstreams
// that do not check fences wait for that.
func (l *Leases) HeldForFullTerm(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	lease := l.leases[name]
	now := l.now()
	return now.Before(lease.validUntil) && now.Sub(lease.heldSince) >= l.term
}

// Release releases all held leases, for a planned stop.
func (l *Leases) Release(ctx context.Context) {
	for name := range l.leases {
		if l.Held(name) {
			l.releaseOne(ctx, name)
		}
	}
}

// Status lists the leases that this node holds.
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

// canAcquire records a row as read now and reports whether its lease may be
// acquired: it was released, or its row has not changed for a term.
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

// releaseOne gives up a lease; this node stops using it before the write is sent.
func (l *Leases) releaseOne(ctx context.Context, name string) {
	l.mu.Lock()
	lease := l.leases[name]
	lease.validUntil = time.Time{}
	next := leaseRow{Epoch: lease.row.Epoch, Nonce: newNonce()}
	l.mu.Unlock()
	if l.write(ctx, name, next) {
		l.log.Info("lease released", "lease", name)
	}
}

// write writes a lease's row if it still has the version last read and reports
// whether it was written. After a lost answer it reads the row to find out. A
// write that is not known to have taken effect does not extend the lease.
func (l *Leases) write(ctx context.Context, name string, next leaseRow) bool {
	l.mu.Lock()
	lease := l.leases[name]
	baseVersion := lease.rowVersion
	l.mu.Unlock()
	body, err := json.Marshal(next)
	if err != nil {
		return false
	}
	// Validity is counted from before the write is sent.
	sentAt := l.now()
	err = l.table.Commit(ctx, tablestore.Txn{
		Conditions: []tablestore.Condition{{Key: name, Version: baseVersion}},
		Puts:       []tablestore.Put{{Key: name, Value: body}},
	})
	if err != nil && !l.tookEffect(ctx, name, next.Nonce, baseVersion, err) {
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

// tookEffect reports whether a write that returned err has taken effect. A conflict
// invalidates the lease.
func (l *Leases) tookEffect(ctx context.Context, name, nonce string, baseVersion uint64, err error) bool {
	var conflict *tablestore.ConflictError
	if errors.As(err, &conflict) {
		l.invalidate(name)
		return false
	}
	if !eris.Is(err, tablestore.ErrOutcomeUnknown) {
		return false
	}
	rows, err := l.table.Read(ctx, name)
	if err != nil || rows[0].Version != baseVersion+1 {
		return false
	}
	var row leaseRow
	return json.Unmarshal(rows[0].Value, &row) == nil && row.Nonce == nonce
}

// invalidate drops a lease whose row another node has written.
func (l *Leases) invalidate(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lease := l.leases[name]
	lease.validUntil = time.Time{}
	lease.unchangedSince = time.Time{}
}
