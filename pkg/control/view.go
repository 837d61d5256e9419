package control

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"sync"
)

// MaxDirectNodes is the number of nodes up to which none works on behalf of the others:
// so few calls are saved that the additional ways to fail are not worth it. For reading
// tables all nodes count, otherwise those of a hall.
const MaxDirectNodes = 4

// View is a snapshot of the known members. Its lists are sorted by name and shared
// by all callers, who must not change them.
//
// A change of one member makes only the lists of its data hall anew: when all nodes of a
// large fleet start, members change several times between any two uses of the view.
type View struct {
	halls map[string]*HallView
	// counts are the sums over the halls, widest is the bandwidth of the widest link of an
	// alive member in Mbit/s.
	counts MemberCounts
	widest float64

	buildLists sync.Once
	all        []Member
	working    []Member
	alive      []Member
}

// MemberCounts are numbers of members.
type MemberCounts struct {
	All, Working, Alive int
}

// HallView lists the members of one data hall.
type HallView struct {
	// All has every known member, including the dead.
	All []Member
	// Present has all members but the dead.
	Present []Member
	// Working has the members to which duties may be assigned.
	Working []Member
	// Alive has the members that are neither suspect nor leaving nor dead.
	Alive []Member
	// Wide has those of Alive that WithWidestLinks lists.
	Wide []Member
}

// Hall returns the members of a data hall.
func (v *View) Hall(name string) HallView {
	if hall := v.halls[name]; hall != nil {
		return *hall
	}
	return HallView{}
}

// Halls lists the data halls that have members, by name.
func (v *View) Halls() []string { return slices.Sorted(maps.Keys(v.halls)) }

// Counts returns the numbers of members of all halls.
func (v *View) Counts() MemberCounts { return v.counts }

// HallWithWideLinks lists the alive members of a hall with at least minWidestLinkShare of the
// bandwidth that the widest link of any hall has.
func (v *View) HallWithWideLinks(name string) []Member {
	return withLinks(v.Hall(name).Wide, minWidestLinkShare*v.widest)
}

// All lists every known member, including the dead.
func (v *View) All() []Member {
	v.buildLists.Do(v.build)
	return v.all
}

// Working lists the members to which duties may be assigned.
func (v *View) Working() []Member {
	v.buildLists.Do(v.build)
	return v.working
}

// Alive lists the members that are neither suspect nor leaving nor dead.
func (v *View) Alive() []Member {
	v.buildLists.Do(v.build)
	return v.alive
}

// build joins the lists of the halls.
func (v *View) build() {
	v.all = make([]Member, 0, v.counts.All)
	v.working = make([]Member, 0, v.counts.Working)
	v.alive = make([]Member, 0, v.counts.Alive)
	for _, hall := range v.halls {
		v.all = append(v.all, hall.All...)
		v.working = append(v.working, hall.Working...)
		v.alive = append(v.alive, hall.Alive...)
	}
	for _, list := range [][]Member{v.all, v.working, v.alive} {
		slices.SortFunc(list, compareNames)
	}
}

func compareNames(a, b Member) int { return cmp.Compare(a.Name, b.Name) }

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

// newView builds a view from those of the halls; the caller holds mu.
func (m *Members) newView() *View {
	v := &View{halls: make(map[string]*HallView, len(m.halls))}
	for name, hall := range m.halls {
		if hall.view == nil {
			hall.view = hall.newView()
		}
		v.halls[name] = hall.view
		v.counts.All += len(hall.view.All)
		v.counts.Working += len(hall.view.Working)
		v.counts.Alive += len(hall.view.Alive)
		v.widest = max(v.widest, widestLink(hall.view.Wide))
	}
	return v
}

// hallMembers are the members of one data hall, sorted by name.
type hallMembers struct {
	sorted  []*memberEntry
	notDead int
	view    *HallView // Cached; nil when out of date.
}

func (h *hallMembers) newView() *HallView {
	v := &HallView{All: make([]Member, len(h.sorted))}
	for i, e := range h.sorted {
		v.All[i] = e.Member
		if e.State != MemberDead {
			v.Present = append(v.Present, e.Member)
		}
		if e.Working() {
			v.Working = append(v.Working, e.Member)
		}
		if e.State == MemberAlive {
			v.Alive = append(v.Alive, e.Member)
		}
	}
	v.Wide = WithWidestLinks(v.Alive)
	return v
}

// find returns the position of a name, or where it belongs.
func (h *hallMembers) find(name string) (at int, found bool) {
	return slices.BinarySearchFunc(h.sorted, name, func(e *memberEntry, name string) int { return cmp.Compare(e.Name, name) })
}

// setEntry adds or replaces the entry of a member; the caller holds mu.
func (m *Members) setEntry(e *memberEntry) {
	if old := m.known[e.Name]; old != nil {
		m.unlinkEntry(old)
	}
	m.known[e.Name] = e
	m.byPeer[e.Peer] = e.Name
	delete(m.seeds, e.Peer)
	e.index = len(m.entries)
	m.entries = append(m.entries, e)
	switch e.State {
	case MemberSuspect:
		m.suspects[e.Name] = e
	case MemberDead:
		m.dead[e.Name] = e
	default:
	}
	hall := m.halls[e.DataHall]
	if hall == nil {
		hall = &hallMembers{}
		m.halls[e.DataHall] = hall
	}
	if e.State != MemberDead {
		hall.notDead++
	}
	at, _ := hall.find(e.Name)
	hall.sorted = slices.Insert(hall.sorted, at, e)
	hall.view, m.view = nil, nil
}

// removeEntry forgets a member; the caller holds mu.
func (m *Members) removeEntry(e *memberEntry) {
	m.unlinkEntry(e)
	delete(m.known, e.Name)
	delete(m.updateSends, e.Name)
	if m.byPeer[e.Peer] == "" {
		m.seeds[e.Peer] = true // A partition may have lasted that long.
	}
}

// unlinkEntry removes an entry from all lists but that by name; the caller holds mu.
func (m *Members) unlinkEntry(e *memberEntry) {
	if m.byPeer[e.Peer] == e.Name {
		delete(m.byPeer, e.Peer)
	}
	last := m.entries[len(m.entries)-1]
	m.entries[e.index], last.index = last, e.index
	m.entries[len(m.entries)-1] = nil // The entry is collected.
	m.entries = m.entries[:len(m.entries)-1]
	delete(m.suspects, e.Name)
	delete(m.dead, e.Name)
	hall := m.halls[e.DataHall]
	if e.State != MemberDead {
		hall.notDead--
	}
	at, _ := hall.find(e.Name)
	hall.sorted = slices.Delete(hall.sorted, at, at+1)
	if len(hall.sorted) == 0 {
		delete(m.halls, e.DataHall)
	}
	hall.view, m.view = nil, nil
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
