package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
)

// runBackup is the copy of a run's memory that the run's engine keeps at another engine.
type runBackup struct {
	choice route.Choice
	held   *route.HeldCopy
}

// backupFor returns the address of the engine that is to keep a copy of the memory of a run at an
// engine, unset for none. A run that goes on at another engine keeps its backup, unless it goes
// on there. A request that may be repeated needs no backup.
func (x *exchange) backupFor(c *route.Choice, now time.Time) netip.AddrPort {
	e := x.service.Engine
	if e == nil || !e.Backups || !x.route.Streaming || x.route.Repeatable() || x.pickInput.Tokens == 0 {
		return netip.AddrPort{}
	}
	if x.backup != nil && x.backup.choice.ID == c.ID {
		x.releaseBackup(false)
	}
	if x.backup == nil {
		target, ok := x.pool.BackupTarget(x.currentInput(now), c, xxhash.Sum64String(x.info.ID), now)
		if !ok {
			return netip.AddrPort{}
		}
		x.g.metrics.backups.Add(1)
		x.backup = &runBackup{choice: target, held: x.pool.HoldCopy(&target)}
	}
	return x.backup.choice.Addr
}

// releaseBackup records that the engine of the backup no longer holds it: at once if the run has
// ended successfully, otherwise when its time is over.
func (x *exchange) releaseBackup(succeeded bool) {
	if x.backup == nil {
		return
	}
	held := x.backup.held
	x.backup = nil
	if succeeded {
		held.End()
		return
	}
	time.AfterFunc(x.service.Engine.HandleTTL, held.End)
}

// takeBackup prepares to resume a run from its backup after its replica was lost; ok is false if it
// has none, its client has left, or the retry budget is used up. A run that may have been copied to
// another engine without this node knowing the handle goes on nowhere.
func (x *exchange) takeBackup(ctx context.Context, a *attempt) (ok bool) {
	b := x.backup
	if b == nil || ctx.Err() != nil || x.out.failed || b.choice.ID == a.choice.ID {
		return false
	}
	if a.handoff != nil && a.handoff.outcomeUnknown() {
		return false
	}
	now := boottime.Now()
	if !x.mayRetry(now) {
		return false
	}
	x.pickInput.Exclude = append(x.pickInput.Exclude, a.choice.ID)
	x.resumption = &resumption{
		copy:      site.RunCopy{Addr: b.choice.Addr, Handle: x.info.ID},
		origin:    a,
		startedAt: now,
		holders:   []copyHolder{{choice: b.choice, inFlight: x.pool.BeginResumed(b.choice, now)}},
	}
	b.held.End() // The run itself holds the memory from now on.
	x.backup = nil
	return true
}
