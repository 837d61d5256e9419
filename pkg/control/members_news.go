package control

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// packet addresses a probe and adds news; the caller holds mu.
//
// A node that is held for suspect or dead is always told so, however old the
// news is: only it can refute that, and no one else would ever bring it up. Each
// answer and each probe tells of its sender, too: one that has been there for long is
// in nobody's news any more, and a node that starts knows only addresses. Without it
// a third of the nodes heard nothing of the others' load for the rest of a day on
// which all were restarted.
func (m *Members) packet(to netip.AddrPort, p Probe) Packet {
	p.From = m.self.Name
	p.Updates = m.takeNews()
	if !slices.ContainsFunc(p.Updates, func(u Member) bool { return u.Name == m.self.Name }) {
		p.Updates = append(p.Updates, m.self)
	}
	if e := m.known[m.byPeer[to]]; e != nil && (e.State == MemberSuspect || e.State == MemberDead) {
		p.Updates = append(p.Updates, e.Member)
	}
	return Packet{To: to, Probe: p}
}

func (m *Members) stamp(out []Packet, version uint64) {
	for i := range out {
		out[i].Probe.Version = version
	}
}

// takeNews picks the updates that were sent least often.
func (m *Members) takeNews() []Member {
	names := make([]string, 0, len(m.news))
	for name := range m.news {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(m.news[a], m.news[b]), cmp.Compare(a, b))
	})
	var list []Member
	limit := spreadFactor * int(math.Ceil(math.Log2(float64(len(m.known)+1))))
	for _, name := range names[:min(len(names), maxUpdates)] {
		list = append(list, m.known[name].Member)
		m.news[name]++
		if m.news[name] >= limit {
			delete(m.news, name)
		}
	}
	return list
}

// merge takes in updates and says whether any changed the view.
func (m *Members) merge(updates []Member, now time.Time) (changed bool) {
	for _, u := range updates {
		if u.Name == m.self.Name {
			m.refute(u, now)
			continue
		}
		old, known := m.known[u.Name]
		if known && !u.newer(old.Member) {
			continue
		}
		if !known && u.State == MemberDead {
			continue
		}
		m.set(u, now)
		changed = true
	}
	return changed
}

// refute outbids what others wrongly think of this node.
func (m *Members) refute(u Member, now time.Time) {
	if !u.newer(m.self) {
		return
	}
	m.self.Incarnation = u.Incarnation + 1
	m.set(m.self, now)
}

func (m *Members) set(u Member, now time.Time) {
	u.hash = xxhash.Sum64String(u.Name)
	if old := m.known[u.Name]; old == nil || old.Working() != u.Working() {
		m.generation++
	}
	m.known[u.Name] = &memberEntry{Member: u, since: now}
	m.byPeer[u.Peer] = u.Name
	m.news[u.Name] = 0
	m.view = nil
}
