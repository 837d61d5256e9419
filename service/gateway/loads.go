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
	// noteLoads tells the nodes of a hall one node's state.
	noteLoads = "gateway.loads"
	// noteHallLoads tells the sum of another hall.
	noteHallLoads = "gateway.hall_loads"
	// loadExpiry is after how long what was told is forgotten.
	loadExpiry = 1200 * time.Millisecond
	// sendIntervalPerPeer is for how long one state is kept from being followed by another,
	// for each other node of the hall: so the cost of telling is bounded.
	sendIntervalPerPeer = 3 * time.Millisecond
	// hallSumInterval is how often a hall's sum is told to the others.
	hallSumInterval = 30 * time.Millisecond
	// hallSumIntervalPerNode is by how much less often that is for each node of the hall.
	hallSumIntervalPerNode = 3 * time.Millisecond
	// speakerLinkShare is the part of its link that a speaker takes for telling one
	// hall's sum; it tells more seldom rather than more.
	speakerLinkShare = 0.1
	// maxSumReplicas is of how many replicas a sum tells, the busiest: it must fit a
	// datagram, and idle ones need no word.
	maxSumReplicas = 400
	// speakerDuty names the duty of telling a hall's sum.
	speakerDuty = "speak/"
)

// loadNote is what one node tells, or a speaker for its hall. Its JSON names are short,
// as it is sent many times a second.
type loadNote struct {
	From string `json:"f"`
	Hall string `json:"h"`
	Boot uint64 `json:"b"`
	Seq  uint64 `json:"q"`
	// Loads are what is in flight at replicas, and Links what has been done with each
	// store's link so far, both packed.
	Loads []byte `json:"l,omitempty"`
	Links []byte `json:"m,omitempty"`
}

// linkTallies is what has been done with stores' links.
type linkTallies map[route.NameHash]route.Tally

func newLinkTallies(list []route.StoreTally) linkTallies {
	t := make(linkTallies, len(list))
	for _, s := range list {
		t[s.Key] = s.Tally
	}
	return t
}

func (t linkTallies) list() []route.StoreTally {
	list := make([]route.StoreTally, 0, len(t))
	for key, tally := range t {
		list = append(list, route.StoreTally{Key: key, Tally: tally})
	}
	return list
}

// loadState is what was told and heard of loads; nodes.mu guards it.
type loadState struct {
	seq    uint64
	byNode map[string]receivedLoads // Of nodes of this hall.
	byHall map[string]receivedLoads // Sums of the others.
	// hallTallies is what the whole hall has done with each store's link.
	hallTallies         linkTallies
	ownTallies          linkTallies         // Of that, this node's when last summed.
	lastSent            []route.ReplicaLoad // What this node told last.
	ownTalliesAtHallSum linkTallies         // This node's when its hall's sum was last heard.

	nextForward map[string]time.Time // When the sum of a hall may be told on.

	// changed says that more was told since the pools were last told, which was at
	// settled.
	changed  bool
	mergedAt time.Time

	speakers     map[string]control.Member
	speakersView *control.View
}

func newLoadState() loadState {
	return loadState{
		byNode:      map[string]receivedLoads{},
		byHall:      map[string]receivedLoads{},
		hallTallies: linkTallies{},
		ownTallies:  linkTallies{},

		nextForward: map[string]time.Time{},
	}
}

// sendLoadsSoon has this node's state told at once, or as soon as the last one is old
// enough: other nodes would choose the same replica until they hear.
func (n *nodes) sendLoadsSoon() {
	select {
	case n.loadsDue <- struct{}{}:
	default:
	}
}

// runLoadSender tells this node's state when it is due, and at least every period.
func (n *nodes) runLoadSender(ctx context.Context, every time.Duration) {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-n.loadsDue:
		}
		peers := n.hallPeers(n.self.DataHall)
		n.sendLoads(n.loadRecipients(peers))
		sleep(ctx, min(every, time.Duration(len(peers))*sendIntervalPerPeer))
	}
}

// loadRecipients are the nodes that this one tells its state: all others of its hall,
// or the speaker of a large one.
func (n *nodes) loadRecipients(peers []netip.AddrPort) []netip.AddrPort {
	if len(peers) < directMost {
		return peers
	}
	speaker, ok := n.speakers()[n.self.DataHall]
	if !ok || speaker.Name == n.self.Name {
		return nil
	}
	return []netip.AddrPort{speaker.Peer}
}

// sendLoads sends this node's state to the others of its hall.
func (n *nodes) sendLoads(peers []netip.AddrPort) {
	loads := n.ownLoads()
	s := n.newLoadNote()
	s.Loads, s.Links = packLoads(loads), packTallies(n.cacheIndex.Tallies())
	n.sendNote(peers, noteLoads, s)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads.lastSent = loads
	n.loads.changed = true
}

// newLoadNote begins a note of this node.
func (n *nodes) newLoadNote() loadNote {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads.seq++
	return loadNote{From: n.self.Name, Hall: n.self.DataHall, Boot: n.incarnation, Seq: n.loads.seq}
}

// ownLoads is what this node itself has in flight.
func (n *nodes) ownLoads() (list []route.ReplicaLoad) {
	for _, p := range n.siteState.Pools() {
		list = p.AppendLoads(list)
	}
	return list
}

// sendNote tells other nodes something and returns the bytes sent.
func (n *nodes) sendNote(to []netip.AddrPort, method string, params any) int {
	sent, err := n.probes.SendNote(to, method, params)
	if err != nil {
		n.log.Error("notification not sent", "method", method, "err", err)
	}
	return sent
}

// hallPeers lists the addresses of the other nodes of a hall that may live.
func (n *nodes) hallPeers(hall string) []netip.AddrPort {
	return n.members.View().Others(n.self.Name, hall)
}

// speakers are the nodes that tell their halls' sums, by hall. They are worked
// out again when something has changed about the members.
func (n *nodes) speakers() map[string]control.Member {
	view := n.members.View()
	n.mu.Lock()
	list, known := n.loads.speakers, n.loads.speakersView
	n.mu.Unlock()
	if list != nil && known == view {
		return list
	}
	list = map[string]control.Member{}
	for _, hall := range view.Halls() {
		if m, ok := control.Owner(control.WithWidestLinks(view.Hall(hall).Working), speakerDuty+hall); ok {
			list[hall] = m
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads.speakers, n.loads.speakersView = list, view
	return list
}

// runSpeaker tells the sum of this hall to the others while that falls to this
// node.
func (n *nodes) runSpeaker(ctx context.Context) {
	for ctx.Err() == nil {
		if n.speakers()[n.self.DataHall].Name != n.self.Name {
			sleep(ctx, speakerCheckInterval)
			continue
		}
		sent := n.sendHallSum()
		sleep(ctx, max(n.transmitTime(sent), hallSumInterval+time.Duration(len(n.hallPeers(n.self.DataHall)))*hallSumIntervalPerNode))
	}
}

// transmitTime is for how long bytes take this node's share of its link.
func (n *nodes) transmitTime(bytes int) time.Duration {
	if n.self.Link <= 0 {
		return 0 // Its rate is not known.
	}
	const bitsPerByte, megabit = 8, 1e6
	return time.Duration(float64(bytes) * bitsPerByte / (speakerLinkShare * n.self.Link * megabit) * float64(time.Second))
}

// speakerCheckInterval is how often a node that is not its hall's speaker looks whether
// it has become that.
const speakerCheckInterval = 250 * time.Millisecond

// sendHallSum tells the sum of this hall to the others and returns the bytes sent.
func (n *nodes) sendHallSum() int {
	speakers := n.speakers()
	var others []netip.AddrPort
	if peers := n.hallPeers(n.self.DataHall); len(peers) >= directMost {
		others = peers
	}
	for hall, m := range speakers {
		if hall != n.self.DataHall {
			others = append(others, m.Peer)
		}
	}
	sum, links := n.sumHall(n.ownLoads(), newLinkTallies(n.cacheIndex.Tallies()))
	s := n.newLoadNote()
	s.Loads, s.Links = packLoads(busiest(sum, maxSumReplicas)), packTallies(links.list())
	return n.sendNote(others, noteHallLoads, s)
}

// sumHall adds what the other nodes of this hall have in flight to this one's own, and
// what all of them have done with links.
func (n *nodes) sumHall(own []route.ReplicaLoad, links linkTallies) (sum map[route.NameHash]route.PeerLoad, all linkTallies) {
	sum = make(map[route.NameHash]route.PeerLoad, len(own))
	addLoads(sum, own)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, state := range n.loads.byNode {
		addLoads(sum, state.loads)
	}
	for store, t := range links {
		n.loads.hallTallies[store] = n.loads.hallTallies[store].Plus(t.Since(n.loads.ownTallies[store]))
		n.loads.ownTallies[store] = t
	}
	return sum, maps.Clone(n.loads.hallTallies)
}

func addLoads(sum map[route.NameHash]route.PeerLoad, list []route.ReplicaLoad) {
	for i := range list {
		sum[list[i].Key] = sum[list[i].Key].Plus(list[i].Load)
	}
}

// busiest lists the replicas of whose memory the most is held, and behind that those
// with the most requests.
func busiest(sum map[route.NameHash]route.PeerLoad, limit int) []route.ReplicaLoad {
	list := make([]route.ReplicaLoad, 0, len(sum))
	for key, load := range sum {
		list = append(list, route.ReplicaLoad{Key: key, Load: load})
	}
	if len(list) <= limit {
		return list
	}
	slices.SortFunc(list, func(a, b route.ReplicaLoad) int {
		return cmp.Or(cmp.Compare(b.Load.Memory, a.Load.Memory), cmp.Compare(b.Load.Requests, a.Load.Requests), cmp.Compare(a.Key, b.Key))
	})
	return list[:limit]
}
