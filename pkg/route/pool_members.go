package route

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/rendezvous"
	"github.com/drumpath/drumpath/pkg/site"
)

// Put adds a replica, or updates it. Its state is kept unless it has restarted. The cost
// does not depend on the number of replicas, except for moving pointers in one slice.
func (p *Pool) Put(u site.Upstream, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.put(&u, now)
}

// Remove removes a replica.
func (p *Pool) Remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remove(id)
}

// Revision returns a number that rises with each change of the list and of the versions of
// weights.
func (p *Pool) Revision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision
}

// put adds or updates a replica; the caller holds mu.
func (p *Pool) put(u *site.Upstream, now time.Time) {
	m, ok := p.byID[u.ID]
	if ok && (m.StartedBefore(u) || m.DataHall != u.DataHall) {
		// State of an earlier start is dropped: its weights, latency, failures and requests
		// in flight.
		if m.StartedBefore(u) && !m.Draining {
			p.recordLoss(u.ID, now)
		}
		p.remove(u.ID)
		ok = false
	}
	if !ok {
		m = p.add(u)
	}
	if !m.Started.Equal(u.Started) { // The same start; one of the lists lacks its time.
		p.setStartKey(m, u)
	}
	p.count(m, -1)
	seen := m.Weights
	m.Upstream = *u
	// Versions seen in answers are newer than the list.
	for model, v := range seen {
		if v > u.Weights[model] {
			m.setWeights(model, v)
		}
	}
	p.count(m, 1)
	if u.ColdUntil.After(now) {
		m.coldUntil = u.ColdUntil
	}
	p.revision++
}

// add adds a replica without its weights; the caller holds mu.
func (p *Pool) add(u *site.Upstream) *member {
	m := &member{
		Upstream:     *u,
		index:        len(p.members),
		idHash:       rendezvous.Hash(u.ID),
		latencyRatio: 1,
	}
	m.Weights, m.Software = nil, ""
	p.softwareCounts[""]++ // Until put sets the version.
	p.setStartKey(m, u)
	m.backoffUntil = p.backoffs[m.startKey]
	p.byID[u.ID] = m
	p.members = append(p.members, m)
	order := p.hallOrder[u.DataHall]
	at, _ := slices.BinarySearchFunc(order, m, compareHashes)
	p.hallOrder[u.DataHall] = slices.Insert(order, at, m)
	return m
}

// setStartKey identifies the start of a replica by a row of the list; the caller holds mu.
func (p *Pool) setStartKey(m *member, u *site.Upstream) {
	if p.byStart[m.startHash] == m {
		delete(p.byStart, m.startHash)
	}
	m.startKey = u.StartKey()
	m.startHash = HashName(m.startKey)
	p.byStart[m.startHash] = m
}

// remove removes a replica; the caller holds mu.
func (p *Pool) remove(id string) {
	m, ok := p.byID[id]
	if !ok {
		return
	}
	p.count(m, -1)
	delete(p.byID, id)
	delete(p.busy, m)
	if p.byStart[m.startHash] == m {
		delete(p.byStart, m.startHash)
	}
	last := len(p.members) - 1
	p.members[m.index] = p.members[last]
	p.members[m.index].index = m.index
	p.members[last] = nil // The member is collected.
	p.members = p.members[:last]
	m.index = notListed
	order := p.hallOrder[m.DataHall]
	if at, found := slices.BinarySearchFunc(order, m, compareHashes); found {
		order = slices.Delete(order, at, at+1)
	}
	p.hallOrder[m.DataHall] = order
	if len(order) == 0 {
		delete(p.hallOrder, m.DataHall)
	}
	p.revision++
}

// notListed is the index of a member that has been removed.
const notListed = -1

// removed reports whether the replica has been removed from the pool.
func (m *member) removed() bool { return m.index == notListed }

// compareHashes orders the replicas of a data hall, in the same way at all nodes.
func compareHashes(a, b *member) int {
	return cmp.Or(cmp.Compare(a.idHash, b.idHash), cmp.Compare(a.ID, b.ID))
}

// HasOtherSoftware reports whether any replica has another version of its software than the
// given one.
func (p *Pool) HasOtherSoftware(version string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.members) > p.softwareCounts[version]
}

// Software lists the versions of the software that the replicas have.
func (p *Pool) Software() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.softwareCounts))
}

// RunsSoftware reports whether any replica of a version of the software may get requests.
func (p *Pool) RunsSoftware(version string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.softwareCounts[version] > 0 && slices.ContainsFunc(p.members, func(m *member) bool {
		return m.Software == version && !m.Draining && !m.Evacuated
	})
}

// count adds n to the counts that include a replica; the caller holds mu.
func (p *Pool) count(m *member, n int) {
	p.softwareCounts[m.Software] += n
	if p.softwareCounts[m.Software] == 0 {
		delete(p.softwareCounts, m.Software)
	}
}
