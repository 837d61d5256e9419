package control

import (
	"cmp"
	"net/netip"
	"slices"
)

// View is a snapshot of the known members. Its lists are sorted by name and shared
// by all callers, who must not change them.
//
// It is rebuilt only after a change: with 295 nodes, building a list for each call
// took 0.1 to 0.3 ms, several times a second.
type View struct {
	// All has every known member, including the dead.
	All []Member
	// Working has the members to which duties may be assigned.
	Working []Member
	// Alive has the members that are neither suspect nor leaving nor dead.
	Alive []Member

	halls map[string]HallView
}

// HallView lists the members of one data hall.
type HallView struct {
	// Present has all members but the dead.
	Present []Member
	Working []Member
	Alive   []Member
}

// Hall returns the members of a data hall.
func (v *View) Hall(name string) HallView { return v.halls[name] }

// Halls lists the data halls that have members, by name.
func (v *View) Halls() []string {
	list := make([]string, 0, len(v.halls))
	for name := range v.halls {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// View returns the current view. Two calls return the same pointer unless a
// member changed between them.
func (m *Members) View() *View {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.view == nil {
		m.view = m.newView()
	}
	return m.view
}

// newView builds a view; the caller holds mu.
func (m *Members) newView() *View {
	v := &View{All: make([]Member, 0, len(m.known)), halls: map[string]HallView{}}
	for _, e := range m.known {
		v.All = append(v.All, e.Member)
	}
	slices.SortFunc(v.All, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	for _, member := range v.All {
		hall := v.halls[member.DataHall]
		if member.State != MemberDead {
			hall.Present = append(hall.Present, member)
		}
		if member.Working() {
			v.Working = append(v.Working, member)
			hall.Working = append(hall.Working, member)
		}
		if member.State == MemberAlive {
			v.Alive = append(v.Alive, member)
			hall.Alive = append(hall.Alive, member)
		}
		v.halls[member.DataHall] = hall
	}
	return v
}

// Recipients returns the addresses to send a broadcast to. direct has all other
// members of halls with at most maxDirect of them; relays has, for each larger
// hall, one member that forwards the broadcast within it, a different one at each
// attempt. duty names the forwarding duty, by which that member is chosen.
func (v *View) Recipients(self string, maxDirect int, duty string, attempt int) (direct, relays []netip.AddrPort) {
	for _, hall := range v.Halls() {
		others := slices.DeleteFunc(slices.Clone(v.Hall(hall).Present), func(m Member) bool { return m.Name == self })
		if len(others) <= maxDirect {
			for _, m := range others {
				direct = append(direct, m.Peer)
			}
			continue
		}
		owners := Owners(WithWidestLinks(others), duty+hall, attempt+1)
		relays = append(relays, owners[len(owners)-1].Peer)
	}
	return direct, relays
}

// Peers returns the peer addresses of a hall's members that are not dead, except self.
func (v *View) Peers(self, hall string) []netip.AddrPort {
	present := v.Hall(hall).Present
	list := make([]netip.AddrPort, 0, len(present))
	for _, m := range present {
		if m.Name != self {
			list = append(list, m.Peer)
		}
	}
	return list
}
