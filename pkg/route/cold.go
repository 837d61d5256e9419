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
	// presumeTerm is for how long a replica that was not reached is taken to be cold: its
	// row in the store tells of its return, up to 1.3 s later, and lapses at the latest
	// three heartbeats of 1.2 s after a crash.
	presumeTerm = 5 * time.Second
	// tellAgain is how often others are told of one replica that is not reached.
	tellAgain = time.Second
	// ownFault is from how many replicas on, not reached one after the other with no
	// answer in between, a node takes its own way to be at fault, and tells nothing.
	ownFault = 3
	// warmTime is the price of a replica that has just ceased to be cold, and warmTerm for
	// how long it falls to nothing: the replica does not get its whole part of the load at the
	// one moment that all nodes know of. While it is cold it has no price, as the shares
	// bound it: with one of 0.1 s, 0.36 to 0.41 of what cold replicas bear was used in a
	// replay at 71 nodes, without it 0.56 to 0.59.
	warmTime = 20 * time.Millisecond
	warmTerm = 2 * time.Second
)

// ColdRequestLimit is how many requests all nodes together may send a cold replica in any second
// if it bears rate a second: that times overage, or that and the slack where it is less than
// one. The slack is else left for nodes that have not yet heard that the replica is cold. ok
// is false if there is no limit, as with a rate of 0.
func ColdRequestLimit(rate, overage, slack float64) (most int, ok bool) {
	if rate <= 0 {
		return 0, false
	}
	whole := math.Floor(rate * overage)
	if whole == 0 {
		whole = math.Floor(rate*overage + slack)
	}
	return int(min(whole, mostCold)), true
}

// mostCold is from how many requests a second on a limit is none.
const mostCold = 1e6

// ColdShares says what part of a limit is this node's.
type ColdShares interface {
	// Share is how many of the most requests that a replica of a data hall may get in a
	// second this node may send, 0 for none. A node that can't know its share has none.
	Share(replica uint64, hall string, most int) int
}

// SetColdLimit sets how many requests a replica may get from all nodes in a second while it is
// cold, and what this node's share of them is; without shares there is no limit.
func (p *Pool) SetColdLimit(most int, s ColdShares) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.coldLimited, p.coldMost, p.coldShares = s != nil, most, s
}

// shareOf is this node's share of what a replica may get while it is cold.
func (p *Pool) shareOf(m *member) int { return p.coldShares.Share(m.hash, m.DataHall, p.coldMost) }

// limited says whether a replica is cold, or taken to be.
func (p *Pool) limited(m *member, now time.Time) bool {
	return p.coldLimited && (now.Before(m.cold) || now.Before(m.presumed))
}

// mayTake says whether this node may send a request to a replica now.
func (p *Pool) mayTake(m *member, now time.Time) bool {
	return !p.limited(m, now) || p.untilSend(m, now) == 0
}

// untilSend is how long it takes until this node's share of a cold replica lets it send
// another request.
func (p *Pool) untilSend(m *member, now time.Time) time.Duration {
	share := p.shareOf(m)
	switch {
	case share == 0:
		return coldWindow
	case len(m.sends) < share:
		return 0
	default:
		return max(0, coldWindow-now.Sub(m.sends[len(m.sends)-share]))
	}
}

// noteSend counts a request; those sent shortly before a replica turned cold count too.
func (p *Pool) noteSend(m *member, now time.Time) {
	if !p.coldLimited {
		return
	}
	recent := m.sends[:0]
	for _, at := range m.sends {
		if now.Sub(at) < coldWindow {
			recent = append(recent, at)
		}
	}
	m.sends = append(recent, now)
}

// warmCost is the price of a replica that takes its whole part of the load again: since it is
// no longer cold, names no rate any more, or has ceased to back off, whichever came last.
func warmCost(now time.Time, ends ...time.Time) time.Duration {
	from := slices.MaxFunc(ends, time.Time.Compare)
	past := now.Sub(from)
	if from.IsZero() || past < 0 || past >= warmTerm {
		return 0
	}
	return time.Duration(float64(warmTime) * (1 - past.Seconds()/warmTerm.Seconds()))
}

// doubt takes a replica to be cold as it was not reached, and says whether the other nodes
// are to hear of it. The caller holds mu.
func (p *Pool) doubt(m *member, now time.Time) (tell bool) {
	p.lostInRow++
	if !p.coldLimited || p.lostInRow >= ownFault {
		return false
	}
	told := m.presumed.Sub(now) > presumeTerm-tellAgain
	m.presumed = now.Add(presumeTerm)
	return !told
}

// RecordDisconnect records that a replica broke a connection off instead of answering: it may have
// started again. Other nodes aren't told, as it may be the connection only.
func (p *Pool) RecordDisconnect(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.replicas[id]; ok {
		p.doubt(m, now)
	}
}

// PresumeCold takes a replica to be cold, at the word of another node that did not reach it.
func (p *Pool) PresumeCold(w ReplicaRef, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.find(w); ok && p.coldLimited {
		m.presumed = now.Add(presumeTerm)
	}
}

// coldWait is how long it takes until a replica may be used by this node again.
func (p *Pool) coldWait(m *member, now time.Time) time.Duration {
	until := m.cold
	if m.presumed.After(until) {
		until = m.presumed
	}
	return min(until.Sub(now), p.untilSend(m, now))
}
