package control

import (
	"cmp"
	"net/netip"
	"slices"
)

// View is what is known of the fleet at one moment. All its lists are by name and are
// shared by all callers: they must not be changed.
//
// It is made anew only after a change: with 295 nodes, a list for each question took 0.1
// to 0.3 ms, several times a second.
type View struct {
	// All are the members known, the dead included.
	All []Member
	// Working take part in duties.
	Working []Member
	// Alive are well: neither suspect nor leaving.
	Alive []Member

	halls map[string]HallView
}

// HallView is the part of a View that is of one data hall.
type HallView struct {
	// Present are all but the dead.
	Present []Member
	Working []Member
	Alive   []Member
}

// Hall returns the members of a data hall.
func (v *View) Hall(name string) HallView { return v.halls[name] }

// Halls lists the data halls in which there are members, by name.
func (v *View) Halls() []string {
	list := make([]string, 0, len(v.halls))
	for name := range v.halls {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// View returns what is known now. Two calls return the same pointer unless something
// has changed between them.
func (m *Members) View() *View {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.view == nil {
		m.view = m.newView()
	}
	return m.view
}

// newView lists the members; the caller holds mu.
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

// Recipients are the addresses to tell what all other members are to hear: all of halls with
// at most so many others, and of each larger one a member that tells it on there, another
// one at each try. duty names the duty of telling it on.
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

// Others are the addresses of all but one member of a hall that may live.
func (v *View) Others(self, hall string) []netip.AddrPort {
	present := v.Hall(hall).Present
	list := make([]netip.AddrPort, 0, len(present))
	for _, m := range present {
		if m.Name != self {
			list = append(list, m.Peer)
		}
	}
	return list
}
