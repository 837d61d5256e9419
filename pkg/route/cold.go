package route

import (
	"math"
	"slices"
	"time"
)

// A cold replica can take only few requests and fails under more, yet by its empty queue
// it looks like the best one. A node doesn't see fast enough what the others send it, so
// each node has a fixed share of its limit that holds regardless of the other nodes.
//
// The shares are designed for the return of a data hall under a burst. An equal share for
// each of 71 nodes would be 0.2 requests a second, and as requests can't be split, several
// nodes could send one in the same second. So only as many nodes use a cold replica as the
// limit has requests, and the others send it nothing. In a replay of the worst load a
// replica got 33 requests in a second without a limit, where 21 are allowed. With shares
// for 16 of 71 nodes it got 8 to 13; with shares for 4 nodes a third as much of the cold
// replicas' capacity was used, and for one node an eighth.
const (
	// coldWindow is the time in which requests to a cold replica are counted.
	coldWindow = time.Second
	// presumedColdTerm is how long a replica that could not be reached is presumed cold.
	// If it returns, the list of replicas shows so up to 1.3 s later; after a crash its row
	// there expires within three heartbeats of 1.2 s.
	presumedColdTerm = 5 * time.Second
	// unreachableNoticeInterval is how often other nodes are notified that a replica
	// is unreachable.
	unreachableNoticeInterval = time.Second
	// localFaultThreshold is the number of connection failures without an answer in
	// between from which a node assumes that its own network is at fault. It then neither
	// presumes replicas cold nor notifies others.
	localFaultThreshold = 3
	// rampUpMaxCost is the cost of a replica that has just ceased to be cold, and
	// rampUpTerm how long it takes to fall to 0. Without it all nodes would send the
	// replica its full share of the load at once, as all know when its cold time ends. A
	// cold replica has no such cost, as the shares limit it already: with a cost of 0.1 s,
	// 0.36 to 0.41 of the cold replicas' capacity was used in a replay at 71 nodes,
	// without it 0.56 to 0.59.
	rampUpMaxCost = 20 * time.Millisecond
	rampUpTerm    = 2 * time.Second
)

// ColdRequestLimit returns how many requests all nodes together may send a cold replica in
// any second if it can take rate a second: rate times overage, or that plus slack if it is
// less than one. Otherwise the slack is reserved for nodes that don't know yet that the
// replica is cold. ok is false if there is no limit, as with a rate of 0.
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

// maxColdLimit is the largest limit, in requests a second; it is as good as none.
const maxColdLimit = 1e6

// ColdShares divides a cold replica's limit among the nodes. It is called with the pool's lock held.
type ColdShares interface {
	// Share returns how many requests a second this node may send a replica of a data hall
	// that may get limit from all nodes, 0 for none. A node that can't determine its share
	// has none.
	Share(replica uint64, hall string, limit int) int
}

// SetColdLimit sets how many requests a second a cold replica may get from all nodes, and
// how that is shared among them. With nil shares there is no limit.
func (p *Pool) SetColdLimit(limit int, shares ColdShares) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hasColdLimit, p.coldLimit, p.coldShares = shares != nil, limit, shares
}

// coldShare returns this node's share of a replica's limit while that is cold.
func (p *Pool) coldShare(m *member) int { return p.coldShares.Share(m.idHash, m.DataHall, p.coldLimit) }

// isCold reports whether a replica is cold or presumed to be.
func (p *Pool) isCold(m *member, now time.Time) bool {
	return p.hasColdLimit && (now.Before(m.coldUntil) || now.Before(m.presumedColdUntil))
}

// coldShareAllows reports whether this node's share of a cold replica lets it send a
// request now. It is always true for replicas that are not cold.
func (p *Pool) coldShareAllows(m *member, now time.Time) bool {
	return !p.isCold(m, now) || p.untilColdSend(m, now) == 0
}

// untilColdSend returns how long it takes until this node's share of a cold replica lets
// it send another request.
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

// recordSend counts a request. Requests are counted for replicas that aren't cold too, as
// they may become so within coldWindow.
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

// rampUpCost returns the cost of a replica that has recently become fully usable. ends are
// the times at which it ceased to be cold, limited or in backoff; the latest one counts.
func rampUpCost(now time.Time, ends ...time.Time) time.Duration {
	start := slices.MaxFunc(ends, time.Time.Compare)
	elapsed := now.Sub(start)
	if start.IsZero() || elapsed < 0 || elapsed >= rampUpTerm {
		return 0
	}
	return time.Duration(float64(rampUpMaxCost) * (1 - elapsed.Seconds()/rampUpTerm.Seconds()))
}

// presumeRestarted marks a replica that could not be reached as presumed cold, and reports
// whether the other nodes must be notified. The caller holds mu.
func (p *Pool) presumeRestarted(m *member, now time.Time) (notifyPeers bool) {
	p.consecutiveUnreachable++
	if !p.hasColdLimit || p.consecutiveUnreachable >= localFaultThreshold {
		return false
	}
	notified := m.presumedColdUntil.Sub(now) > presumedColdTerm-unreachableNoticeInterval
	p.presumeCold(m, now)
	return !notified
}

// RecordDisconnect records that a replica closed a connection instead of answering, and so
// may have restarted. Other nodes aren't notified, as only the connection may be at fault.
func (p *Pool) RecordDisconnect(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.byID[id]; ok {
		p.presumeRestarted(m, now)
	}
}

// PresumeCold marks a replica as presumed cold after another node has reported it
// unreachable.
func (p *Pool) PresumeCold(ref ReplicaRef, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.find(ref)
	if !ok {
		return
	}
	m.outlier.noticed = true
	p.recordLoss(m.ID, now)
	p.presumeCold(m, now)
}

// presumeCold makes a replica presumed cold from now on; the caller holds mu.
func (p *Pool) presumeCold(m *member, now time.Time) {
	if p.hasColdLimit {
		m.presumedColdUntil = now.Add(presumedColdTerm)
	}
}

// coldWait returns how long it takes until this node may send a request to a cold replica.
func (p *Pool) coldWait(m *member, now time.Time) time.Duration {
	until := m.coldUntil
	if m.presumedColdUntil.After(until) {
		until = m.presumedColdUntil
	}
	return min(until.Sub(now), p.untilColdSend(m, now))
}
