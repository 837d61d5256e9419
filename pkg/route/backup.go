package route

import (
	"time"

	"github.com/drumpath/drumpath/pkg/rendezvous"
)

// A backup costs the transfer of each token of a run's memory and is of use only if the replica
// is lost. So runs have one only while replicas are being lost.
const (
	// lossWindow is the time in which lost replicas are counted, and backupLossShare the share
	// of a service's replicas that must have been lost in it.
	lossWindow      = 20 * time.Second
	backupLossShare = 0.02
	// maxBackupMemoryShare is the share of an engine's memory that may be in use with a backup.
	maxBackupMemoryShare = 0.5
)

// BackupTarget returns the engine that is to keep a copy of a run's memory, chosen by a hash of the
// run; ok is false if the run needs none or no engine has room.
func (p *Pool) BackupTarget(in *PickInput, run *Choice, hash uint64, now time.Time) (c Choice, ok bool) {
	if p.disabled.RunBackups || run.Weights == 0 {
		return c, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.engineMemory <= 0 || !p.losingReplicas(now) {
		return c, false
	}
	pick := *in
	pick.UnlimitedOnly = true
	var best *member
	weight := uint64(0)
	order := p.hallOrder[run.DataHall]
	for i := range min(len(order), maxSubsetScan) {
		// In a large hall other runs look at other engines.
		m := order[(int(hash%uint64(len(order)))+i)%len(order)]
		w := rendezvous.Weight(hash, m.idHash)
		if best != nil && w <= weight || p.memoryShare(m, run.Memory) >= maxBackupMemoryShare {
			continue
		}
		if p.mayTakeRun(m, run, &pick, now) {
			best, weight = m, w
		}
	}
	if best == nil {
		return c, false
	}
	return resumedChoice(best, run), true
}

// RecordLoss records that a replica is no longer listed though it was not draining.
func (p *Pool) RecordLoss(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordLoss(id, now)
}

// recordLoss records that a replica was lost; the caller holds mu.
func (p *Pool) recordLoss(id string, now time.Time) { p.losses[id] = now }

// losingReplicas reports whether replicas of the service are being lost; the caller holds mu.
func (p *Pool) losingReplicas(now time.Time) bool {
	gone := 0
	for id, at := range p.losses {
		if now.Sub(at) >= lossWindow {
			delete(p.losses, id)
		} else if p.byID[id] == nil {
			gone++
		}
	}
	return len(p.losses) > 0 && float64(len(p.losses)) >= backupLossShare*float64(len(p.members)+gone)
}

// LosingReplicas reports whether so many replicas of the service were lost lately that runs
// have backups.
func (p *Pool) LosingReplicas(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.losingReplicas(now)
}

// copyBand is the priority band in which the memory of copies is counted: engines don't preempt
// them.
const copyBand = 0

// HeldCopy is the memory that a backup takes at an engine. It takes no slot.
type HeldCopy struct {
	pool   *Pool
	member *member
	tokens int
	ended  bool
}

// HoldCopy records that an engine holds memory for a backup.
func (p *Pool) HoldCopy(c *Choice) *HeldCopy {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.byID[c.ID]
	if !ok {
		m = &member{Upstream: c.Upstream, index: notListed}
	} else {
		p.busy[m] = struct{}{}
	}
	m.copies++
	m.heldMemory[copyBand] += c.Memory
	return &HeldCopy{pool: p, member: m, tokens: c.Memory}
}

// End records that the engine no longer holds the copy. Further calls do nothing.
func (h *HeldCopy) End() {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	if h.ended {
		return
	}
	h.ended = true
	h.member.copies--
	h.member.heldMemory[copyBand] -= h.tokens
	h.pool.dropIfIdle(h.member)
}

// dropIfIdle removes a replica from those whose load is reported if this node has nothing in
// flight there; the caller holds mu.
func (p *Pool) dropIfIdle(m *member) {
	if len(m.inFlight) == 0 && m.copies == 0 {
		delete(p.busy, m)
	}
}
