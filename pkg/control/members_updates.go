package control

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// packet addresses a probe and adds updates; the caller holds mu.
//
// A probe to a suspect or dead member always carries that member's record, however
// old, because only that member can refute it. Every packet also carries its
// sender's record: a long-running node's record is in no pending update any more,
// and a starting node knows only addresses. Without it, after all nodes were
// restarted, a third of them received no load reports for the rest of the day.
func (m *Members) packet(to netip.AddrPort, p Probe) Packet {
	p.From = m.self.Name
	if !p.Bare {
		p.Updates = m.takeUpdates(m.maxUpdatesTo(to))
	}
	if !slices.ContainsFunc(p.Updates, func(u Member) bool { return u.Name == m.self.Name }) {
		p.Updates = append(p.Updates, m.self)
	}
	if e := m.known[m.byPeer[to]]; e != nil && (e.State == MemberSuspect || e.State == MemberDead) {
		p.Updates = append(p.Updates, e.Member)
	}
	return Packet{To: to, Probe: p}
}

// setConfigVersion sets the configuration version on packets.
func (m *Members) setConfigVersion(out []Packet, version uint64) {
	for i := range out {
		out[i].Probe.Version = version
	}
}

// maxUpdatesTo returns the maximum number of updates on a probe to an address.
func (m *Members) maxUpdatesTo(to netip.AddrPort) int {
	if e := m.known[m.byPeer[to]]; e != nil && e.DataHall == m.self.DataHall {
		return maxLocalUpdates
	}
	return maxRemoteUpdates
}

// takeUpdates returns up to limit pending updates, the least often sent first.
func (m *Members) takeUpdates(limit int) []Member {
	names := make([]string, 0, len(m.updateSends))
	for name := range m.updateSends {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(m.updateSends[a], m.updateSends[b]), cmp.Compare(a, b))
	})
	var list []Member
	for _, name := range names[:min(len(names), limit)] {
		list = append(list, m.known[name].Member)
		m.countSent(name, 1)
	}
	return list
}

// countSent adds to the number of times an update was sent and removes the update
// once that is enough for the fleet's size.
func (m *Members) countSent(name string, times int) {
	if _, pending := m.updateSends[name]; !pending {
		return
	}
	m.updateSends[name] += times
	if m.updateSends[name] >= spreadFactor*int(math.Ceil(math.Log2(float64(len(m.known)+1)))) {
		delete(m.updateSends, name)
	}
}

// merge applies updates and reports whether any changed the view.
func (m *Members) merge(updates []Member, now time.Time) (changed bool) {
	for _, u := range updates {
		if u.Name == m.self.Name {
			m.refute(u, now)
			continue
		}
		old, known := m.known[u.Name]
		if known && !u.newer(old.Member) {
			if !old.newer(u) {
				m.countSent(u.Name, duplicateWeight)
			}
			continue
		}
		if !known && u.State == MemberDead {
			continue
		}
		m.setMember(u, now)
		changed = true
	}
	return changed
}

// refute overrides another node's newer record of this node with a higher
// incarnation.
func (m *Members) refute(u Member, now time.Time) {
	if !u.newer(m.self) {
		return
	}
	m.self.Incarnation = u.Incarnation + 1
	m.setMember(m.self, now)
}

// setMember stores a member's record and queues it as an update.
func (m *Members) setMember(u Member, now time.Time) {
	m.storeRecord(u, now)
	m.updateSends[u.Name] = 0
}

// storeRecord stores a member's record.
func (m *Members) storeRecord(u Member, now time.Time) {
	u.hash = xxhash.Sum64String(u.Name)
	if old := m.known[u.Name]; old == nil || old.Working() != u.Working() {
		m.generation++
	}
	m.setEntry(&memberEntry{Member: u, stateSince: now})
}
