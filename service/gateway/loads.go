package gateway

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/route"
)

// Nodes tell each other what they have in flight, so that each sees the whole
// load of a replica or a link without asking it.
//
// Within a small data hall every node tells every other, as soon as it has sent a
// prompt somewhere; in a large one it tells one node, the speaker, which tells the
// sum to all. Between data halls the speakers tell each other, and whoever hears a
// sum tells it on in its own hall: bytes between halls are paid for, and so
// neither they nor the notes grow with the square of the nodes.
const (
	// noteState tells the nodes of a hall one node's state.
	noteState = "gateway.loads"
	// noteHall tells the sum of another hall.
	noteHall = "gateway.hall_loads"
	// stateTerm is after how long what was told is forgotten.
	stateTerm = 1200 * time.Millisecond
	// tellEach is for how long one state is kept from being followed by another,
	// for each other node of the hall: so the cost of telling is bounded.
	tellEach = 3 * time.Millisecond
	// hallEvery is how often a hall's sum is told to the others.
	hallEvery = 30 * time.Millisecond
	// hallEach is by how much less often that is for each node of the hall.
	hallEach = 3 * time.Millisecond
	// linkShare is the part of its link that a speaker takes for telling one
	// hall's sum; it tells more seldom rather than more.
	linkShare = 0.1
	// sumMost is of how many replicas a sum tells, the busiest: it must fit a
	// datagram, and idle ones need no word.
	sumMost = 400
	// speakDuty names the duty of telling a hall's sum.
	speakDuty = "speak/"
)

// stateNote is what one node tells, or a speaker for its hall. Its JSON names are short,
// as it is sent many times a second.
type stateNote struct {
	From string `json:"f"`
	Hall string `json:"h"`
	Boot uint64 `json:"b"`
	Seq  uint64 `json:"q"`
	// Loads are what is in flight at replicas, and Links what has been done with each
	// store's link so far, both packed.
	Loads []byte `json:"l,omitempty"`
	Links []byte `json:"m,omitempty"`
}

// tallies is what has been done with stores' links.
type tallies map[route.NameHash]route.Tally

func talliesOf(list []route.StoreTally) tallies {
	t := make(tallies, len(list))
	for _, s := range list {
		t[s.Key] = s.Tally
	}
	return t
}

func (t tallies) list() []route.StoreTally {
	list := make([]route.StoreTally, 0, len(t))
	for key, tally := range t {
		list = append(list, route.StoreTally{Key: key, Tally: tally})
	}
	return list
}

// loads is what was told and heard of loads; nodes.mu guards it.
type loads struct {
	seq    uint64
	states map[string]heardState // Of nodes of this hall.
	halls  map[string]heardState // Sums of the others.
	// links is what the whole hall has done with each store's link.
	links tallies
	own   tallies             // Of that, this node's when last summed.
	told  []route.ReplicaLoad // What this node told last.
	heard tallies             // This node's when its hall's sum was last heard.

	passNext map[string]time.Time // When the sum of a hall may be told on.

	// changed says that more was told since the pools were last told, which was at
	// settled.
	changed bool
	settled time.Time

	speakers   map[string]control.Member
	speakersAt *control.View
}

func newLoads() loads {
	return loads{
		states: map[string]heardState{},
		halls:  map[string]heardState{},
		links:  tallies{},
		own:    tallies{},

		passNext: map[string]time.Time{},
	}
}

// soon has this node's state told at once, or as soon as the last one is old
// enough: other nodes would choose the same replica until they hear.
func (n *nodes) soon() {
	select {
	case n.due <- struct{}{}:
	default:
	}
}

// run tells this node's state when it is due, and at least every period.
func (n *nodes) run(ctx context.Context, every time.Duration) {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-n.due:
		}
		peers := n.inHall(n.self.DataHall)
		n.tell(n.audience(peers))
		sleep(ctx, min(every, time.Duration(len(peers))*tellEach))
	}
}

// audience are the nodes that this one tells its state: all others of its hall,
// or the speaker of a large one.
func (n *nodes) audience(peers []netip.AddrPort) []netip.AddrPort {
	if len(peers) < maxDirectNodes {
		return peers
	}
	speaker, ok := n.speakers()[n.self.DataHall]
	if !ok || speaker.Name == n.self.Name {
		return nil
	}
	return []netip.AddrPort{speaker.Peer}
}

// tell sends this node's state to the others of its hall.
func (n *nodes) tell(peers []netip.AddrPort) {
	loads := n.ownLoads()
	s := n.newNote()
	s.Loads, s.Links = packLoads(loads), packTallies(n.kept.Tallies())
	n.note(peers, noteState, s)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads.told = loads
	n.loads.changed = true
}

// newNote begins a note of this node.
func (n *nodes) newNote() stateNote {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads.seq++
	return stateNote{From: n.self.Name, Hall: n.self.DataHall, Boot: n.boot, Seq: n.loads.seq}
}

// ownLoads is what this node itself has in flight.
func (n *nodes) ownLoads() (list []route.ReplicaLoad) {
	for _, p := range n.beliefs.Pools() {
		list = p.AppendLoads(list)
	}
	return list
}

// note tells other nodes something and returns the bytes sent.
func (n *nodes) note(to []netip.AddrPort, method string, params any) int {
	sent, err := n.probes.SendNote(to, method, params)
	if err != nil {
		n.log.Error("notification not sent", "method", method, "err", err)
	}
	return sent
}

// inHall lists the addresses of the other nodes of a hall that may live.
func (n *nodes) inHall(hall string) []netip.AddrPort {
	return n.members.View().Peers(n.self.Name, hall)
}

// speakers are the nodes that tell their halls' sums, by hall. They are worked
// out again when something has changed about the members.
func (n *nodes) speakers() map[string]control.Member {
	view := n.members.View()
	n.mu.Lock()
	list, known := n.loads.speakers, n.loads.speakersAt
	n.mu.Unlock()
	if list != nil && known == view {
		return list
	}
	list = map[string]control.Member{}
	for _, hall := range view.Halls() {
		if m, ok := control.Owner(control.WithWidestLinks(view.Hall(hall).Working), speakDuty+hall); ok {
			list[hall] = m
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads.speakers, n.loads.speakersAt = list, view
	return list
}

// runSpeaker tells the sum of this hall to the others while that falls to this
// node.
func (n *nodes) runSpeaker(ctx context.Context) {
	for ctx.Err() == nil {
		if n.speakers()[n.self.DataHall].Name != n.self.Name {
			sleep(ctx, speakerAgain)
			continue
		}
		sent := n.speak()
		sleep(ctx, max(n.linkTime(sent), hallEvery+time.Duration(len(n.inHall(n.self.DataHall)))*hallEach))
	}
}

// linkTime is for how long bytes take this node's share of its link.
func (n *nodes) linkTime(bytes int) time.Duration {
	if n.self.Link <= 0 {
		return 0 // Its rate is not known.
	}
	const bitsPerByte, megabit = 8, 1e6
	return time.Duration(float64(bytes) * bitsPerByte / (linkShare * n.self.Link * megabit) * float64(time.Second))
}

// speakerAgain is how often a node that is not its hall's speaker looks whether
// it has become that.
const speakerAgain = 250 * time.Millisecond

// speak tells the sum of this hall to the others and returns the bytes sent.
func (n *nodes) speak() int {
	speakers := n.speakers()
	var others []netip.AddrPort
	if peers := n.inHall(n.self.DataHall); len(peers) >= maxDirectNodes {
		others = peers
	}
	for hall, m := range speakers {
		if hall != n.self.DataHall {
			others = append(others, m.Peer)
		}
	}
	sum, links := n.sumHall(n.ownLoads(), talliesOf(n.kept.Tallies()))
	s := n.newNote()
	s.Loads, s.Links = packLoads(busiest(sum, sumMost)), packTallies(links.list())
	return n.note(others, noteHall, s)
}

// sumHall adds what the other nodes of this hall have in flight to this one's own, and
// what all of them have done with links.
func (n *nodes) sumHall(own []route.ReplicaLoad, links tallies) (sum map[route.NameHash]route.PeerLoad, all tallies) {
	sum = make(map[route.NameHash]route.PeerLoad, len(own))
	addLoads(sum, own)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, state := range n.loads.states {
		addLoads(sum, state.loads)
	}
	for store, t := range links {
		n.loads.links[store] = n.loads.links[store].Plus(t.Since(n.loads.own[store]))
		n.loads.own[store] = t
	}
	return sum, maps.Clone(n.loads.links)
}

func addLoads(sum map[route.NameHash]route.PeerLoad, list []route.ReplicaLoad) {
	for i := range list {
		sum[list[i].Key] = sum[list[i].Key].Plus(list[i].Load)
	}
}

// busiest lists the replicas of whose memory the most is held, and behind that those
// with the most requests.
func busiest(sum map[route.NameHash]route.PeerLoad, most int) []route.ReplicaLoad {
	list := make([]route.ReplicaLoad, 0, len(sum))
	for key, load := range sum {
		list = append(list, route.ReplicaLoad{Key: key, Load: load})
	}
	if len(list) <= most {
		return list
	}
	slices.SortFunc(list, func(a, b route.ReplicaLoad) int {
		return cmp.Or(cmp.Compare(b.Load.Memory, a.Load.Memory), cmp.Compare(b.Load.Requests, a.Load.Requests), cmp.Compare(a.Key, b.Key))
	})
	return list[:most]
}
