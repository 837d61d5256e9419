package route

import (
	"math"
	"slices"
	"time"
)

// A cold replica bears few requests and falls over beyond them, and it is empty: by what
// waits there it is the best of all. No node sees what the others send it within the time
// that matters, so each has a share of what it bears that holds whatever the others do.
//
// The load pattern that this answers is the return of a data hall under a burst. An equal
// share for each of 71 nodes would be 0.2 requests a second, which in whole requests is too
// much if they fall into one second; so as many nodes may use a cold replica as it may get
// requests, and the others leave it alone. In a replay of the worst load a replica got 33
// requests in a second without a limit, where 21 are allowed. With shares for 16 of 71 nodes
// it got 8 to 13; with shares for 4 nodes a third as much of what cold replicas bear was
// used, and for one an eighth.
const (
	// coldWindow is the time in which requests are counted.
	coldWindow = time.Second
	// presumedColdTerm is for how long a replica that was not reached is taken to be cold: its
	// row in the store tells of its return, up to 1.3 s later, and lapses at the latest
	// three heartbeats of 1.2 s after a crash.
	presumedColdTerm = 5 * time.Second
	// unreachableNoticeInterval is how often others are told of one replica that is not reached.
	unreachableNoticeInterval = time.Second
	// localFaultThreshold is from how many replicas on, not reached one after the other with no
	// answer in between, a node takes its own way to be at fault, and tells nothing.
	localFaultThreshold = 3
	// rampUpMaxCost is the price of a replica that has just ceased to be cold, and warmTerm for
	// how long it falls to nothing: the replica does not get its whole part of the load at the
	// one moment that all nodes know of. While it is cold it has no price, as the shares
	// bound it: with one of 0.1 s, 0.36 to 0.41 of what cold replicas bear was used in a
	// replay at 71 nodes, without it 0.56 to 0.59.
	rampUpMaxCost = 20 * time.Millisecond
	rampUpTerm    = 2 * time.Second
)

// ColdRequestLimit is how many requests all nodes together may send a cold replica in any second
// if it bears rate a second: that times overage, or that and the slack where it is less than
// one. The slack is else left for nodes that have not yet heard that the replica is cold. ok
// is false if there is no limit, as with a rate of 0.
func ColdRequestLimit(rate, overage, slack float64) (limit int, ok bool) {
	if rate <= 0 {
		return 0, false
	}
	requests := math.Floor(rate * overage)
	if requests == 0 {
		requests = math.Floor(rate*overage + slack)
	}
	return int(min(requests, maxColdLimit)), true
}

// maxColdLimit is from how many requests a second on a limit is none.
const maxColdLimit = 1e6

// ColdShares says what part of a limit is this node's.
type ColdShares interface {
	// Share is how many of the most requests that a replica of a data hall may get in a
	// second this node may send, 0 for none. A node that can't know its share has none.
	Share(replica uint64, hall string, most int) int
}

// SetColdLimit sets how many requests a replica may get from all nodes in a second while it is
// cold, and what this node's share of them is; without shares there is no limit.
func (p *Pool) SetColdLimit(limit int, shares ColdShares) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hasColdLimit, p.coldLimit, p.coldShares = shares != nil, limit, shares
}

// coldShare is this node's share of what a replica may get while it is cold.
func (p *Pool) coldShare(m *member) int { return p.coldShares.Share(m.idHash, m.DataHall, p.coldLimit) }

// isCold says whether a replica is cold, or taken to be.
func (p *Pool) isCold(m *member, now time.Time) bool {
	return p.hasColdLimit && (now.Before(m.coldUntil) || now.Before(m.presumedColdUntil))
}

// coldShareAllows says whether this node may send a request to a replica now.
func (p *Pool) coldShareAllows(m *member, now time.Time) bool {
	return !p.isCold(m, now) || p.untilColdSend(m, now) == 0
}

// untilColdSend is how long it takes until this node's share of a cold replica lets it send
// another request.
func (p *Pool) untilColdSend(m *member, now time.Time) time.Duration {
	share := p.coldShare(m)
	switch {
	case share == 0:
		return coldWindow
	case len(m.sends) < share:
		return 0
	default:
		return max(0, coldWindow-now.Sub(m.sends[len(m.sends)-share]))
	}
}

// recordSend counts a request; those sent shortly before a replica turned cold count too.
func (p *Pool) recordSend(m *member, now time.Time) {
	if !p.hasColdLimit {
		return
	}
	recent := m.sends[:0]
	for _, sentAt := range m.sends {
		if now.Sub(sentAt) < coldWindow {
			recent = append(recent, sentAt)
		}
	}
	m.sends = append(recent, now)
}

// rampUpCost is the price of a replica that takes its whole part of the load again: since it is
// no longer cold, names no rate any more, or has ceased to back off, whichever came last.
func rampUpCost(now time.Time, ends ...time.Time) time.Duration {
	start := slices.MaxFunc(ends, time.Time.Compare)
	elapsed := now.Sub(start)
	if start.IsZero() || elapsed < 0 || elapsed >= rampUpTerm {
		return 0
	}
	return time.Duration(float64(rampUpMaxCost) * (1 - elapsed.Seconds()/rampUpTerm.Seconds()))
}

// presumeRestarted takes a replica to be cold as it was not reached, and says whether the other nodes
// are to hear of it. The caller holds mu.
func (p *Pool) presumeRestarted(m *member, now time.Time) (notifyPeers bool) {
	p.consecutiveUnreachable++
	if !p.hasColdLimit || p.consecutiveUnreachable >= localFaultThreshold {
		return false
	}
	notified := m.presumedColdUntil.Sub(now) > presumedColdTerm-unreachableNoticeInterval
	m.presumedColdUntil = now.Add(presumedColdTerm)
	return !notified
}

// RecordDisconnect records that a replica broke a connection off instead of answering: it may have
// started again. Other nodes aren't told, as it may be the connection only.
func (p *Pool) RecordDisconnect(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.byID[id]; ok {
		p.presumeRestarted(m, now)
	}
}

// PresumeCold takes a replica to be cold, at the word of another node that did not reach it.
func (p *Pool) PresumeCold(ref ReplicaRef, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.find(ref); ok && p.hasColdLimit {
		m.presumedColdUntil = now.Add(presumedColdTerm)
	}
}

// coldWait is how long it takes until a replica may be used by this node again.
func (p *Pool) coldWait(m *member, now time.Time) time.Duration {
	until := m.coldUntil
	if m.presumedColdUntil.After(until) {
		until = m.presumedColdUntil
	}
	return min(until.Sub(now), p.untilColdSend(m, now))
}
