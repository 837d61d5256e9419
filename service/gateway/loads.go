package gateway

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/timer"
)

// Nodes send each other the loads that they have in flight, in datagrams called notes, so
// that each knows the total load of a replica or a link without asking it.
//
// In a small data hall every node sends to every other as soon as it has dispatched a
// prompt. In a large one it sends to one node, the load relay, which sends the sum to all.
// Between data halls the load relays send to each other, and each forwards what it receives
// in its own hall. Traffic between halls is paid for: this way neither it nor the number
// of datagrams grows with the square of the number of nodes.
const (
	// noteLoads carries one node's loads to the nodes of its hall.
	noteLoads = "gateway.loads"
	// noteHallLoads carries the sum of a hall's loads.
	noteHallLoads = "gateway.hall_loads"
	// loadExpiry is after how long received loads are dropped.
	loadExpiry = 1200 * time.Millisecond
	// sendIntervalPerPeer is the least time between two sends of a node's loads, for each
	// other node of the hall. It bounds the cost of sending.
	sendIntervalPerPeer = 3 * time.Millisecond
	// hallSumInterval is how often a hall's sum is sent to the other halls.
	hallSumInterval = 30 * time.Millisecond
	// hallSumIntervalPerNode is added to it for each node of the hall.
	hallSumIntervalPerNode = 3 * time.Millisecond
	// loadRelayLinkShare is the share of its link that a load relay uses to send one hall's
	// sum; it sends less often rather than use more.
	loadRelayLinkShare = 0.1
	// maxSumReplicas limits a sum to the busiest replicas: it must fit a datagram, and
	// idle replicas need no mention.
	maxSumReplicas = 400
	// maxSumBytes limits the packed loads of a sum, which are a third longer as JSON: the
	// rest of a datagram of 16 kB holds the running totals of 300 stores' links.
	maxSumBytes = 7500
	// loadRelayDuty is the prefix of the duty of sending a hall's sum.
	loadRelayDuty = "speak/"
)

// loadNote is the loads of one node, or of its hall if its load relay sends it. Its JSON names
// are short because it is sent many times a second.
type loadNote struct {
	From        string `json:"f"`
	Hall        string `json:"h"`
	Incarnation uint64 `json:"b"`
	Seq         uint64 `json:"q"`
	// Era is the newest era of the store that the node knows. A node that does not reach the store
	// hears of it in this way.
	Era history.Era `json:"e,omitempty"`
	// Loads are the requests in flight at replicas, Links the running totals of each
	// store's link; both are packed.
	Loads []byte `json:"l,omitempty"`
	Links []byte `json:"m,omitempty"`
	// Weights are the ages of weights that were named lately. A node that heard of them late learns
	// in this way when they were named.
	Weights []weightAge `json:"w,omitempty"`
	// Sharing is what the node knows of the newest configuration.
	Sharing route.Sharing `json:"s,omitzero"`
}

// linkTallies holds the running totals of stores' links.
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

// loadState is the loads sent and received; nodes.mu guards it.
type loadState struct {
	seq    uint64
	byNode map[string]receivedLoads // Loads of the nodes of this hall, by node.
	byHall map[string]receivedLoads // Sums, by hall.
	// hallTallies are the running totals of all nodes of this hall.
	hallTallies         linkTallies
	ownTallies          linkTallies         // This node's part of hallTallies.
	lastSent            []route.ReplicaLoad // The loads that this node sent last.
	ownTalliesAtHallSum linkTallies         // This node's totals when its hall's sum was last received.

	nextForward map[string]time.Time // When the next sum of a hall may be forwarded.

	// changed is set if loads were sent or received since the pools were last updated, at
	// mergedAt.
	changed  bool
	mergedAt time.Time

	relays     map[string]control.Member
	relaysView *control.View // The view for which relays was computed.
	peers      []netip.AddrPort
	peersView  *control.View // The view for which peers was computed.
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

// sendLoadsSoon has this node's loads sent as soon as the last send is old enough: until
// other nodes know of them, they would choose the same replica.
func (n *nodes) sendLoadsSoon() {
	select {
	case n.loadsDue <- struct{}{}:
	default:
	}
}

// runLoadSender sends this node's loads when they are due, and at least once per period.
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
		peers := n.hallPeers()
		n.sendLoads(n.loadRecipients(peers))
		timer.Sleep(ctx, min(every, time.Duration(len(peers))*sendIntervalPerPeer))
	}
}

// loadRecipients returns the nodes that this one sends its loads to: all others of a small
// hall, or the load relay of a large one.
func (n *nodes) loadRecipients(peers []netip.AddrPort) []netip.AddrPort {
	if len(peers) < control.MaxDirectNodes {
		return peers
	}
	relay, ok := n.loadRelays()[n.self.DataHall]
	if !ok || relay.Name == n.self.Name {
		return nil
	}
	return []netip.AddrPort{relay.Peer}
}

// sendLoads sends this node's loads.
func (n *nodes) sendLoads(peers []netip.AddrPort) {
	loads := n.ownLoads()
	note := n.newLoadNote()
	note.Loads, note.Links = packLoads(loads), packTallies(n.cacheIndex.Tallies())
	n.sendNote(peers, noteLoads, note)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads.lastSent = loads
	n.loads.changed = true
}

// newLoadNote returns a note with this node's name and the next sequence number.
func (n *nodes) newLoadNote() loadNote {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads.seq++
	era, _, _ := n.eras.Current()
	return loadNote{
		From: n.self.Name, Hall: n.self.DataHall, Incarnation: n.incarnation, Seq: n.loads.seq, Era: era,
		Weights: n.siteState.recentWeightAges(boottime.RefreshNow()),
		Sharing: n.siteState.sharingHistory().Newest(),
	}
}

// ownLoads returns what this node itself has in flight.
func (n *nodes) ownLoads() (list []route.ReplicaLoad) {
	for _, p := range n.siteState.Pools() {
		list = p.AppendLoads(list)
	}
	return list
}

// sendNote sends a datagram to other nodes and returns the bytes sent.
func (n *nodes) sendNote(to []netip.AddrPort, method string, params any) int {
	sent, err := n.probes.SendNote(to, method, params)
	if err != nil {
		n.log.Error("notification not sent", "method", method, "err", err)
	}
	return sent
}

// hallPeers lists the addresses of the other nodes of this node's hall that may be alive; the
// caller must not change the list. It is recomputed when the membership has changed.
func (n *nodes) hallPeers() []netip.AddrPort {
	view := n.members.View()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.loads.peersView != view {
		n.loads.peers, n.loads.peersView = view.Peers(n.self.Name, n.self.DataHall), view
	}
	return n.loads.peers
}

// loadRelays returns the load relay of each hall. It is recomputed when the membership has
// changed.
func (n *nodes) loadRelays() map[string]control.Member {
	view := n.members.View()
	n.mu.Lock()
	list, computedFor := n.loads.relays, n.loads.relaysView
	n.mu.Unlock()
	if list != nil && computedFor == view {
		return list
	}
	list = map[string]control.Member{}
	for _, hall := range view.Halls() {
		if m, ok := control.Owner(control.WithWidestLinks(view.Hall(hall).Working), loadRelayDuty+hall); ok {
			list[hall] = m
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads.relays, n.loads.relaysView = list, view
	return list
}

// runLoadRelay sends the sum of this hall to the others while this node is its load relay.
func (n *nodes) runLoadRelay(ctx context.Context) {
	for ctx.Err() == nil {
		if n.loadRelays()[n.self.DataHall].Name != n.self.Name {
			timer.Sleep(ctx, loadRelayCheckInterval)
			continue
		}
		sent := n.sendHallSum()
		timer.Sleep(ctx, max(n.transmitTime(sent), hallSumInterval+time.Duration(len(n.hallPeers()))*hallSumIntervalPerNode))
	}
}

// transmitTime returns how long bytes occupy the share of the link that a load relay may use.
func (n *nodes) transmitTime(bytes int) time.Duration {
	if n.self.Link <= 0 {
		return 0 // The link's rate is unknown.
	}
	const bitsPerByte, megabit = 8, 1e6
	return time.Duration(float64(bytes) * bitsPerByte / (loadRelayLinkShare * n.self.Link * megabit) * float64(time.Second))
}

// loadRelayCheckInterval is how often a node that is not its hall's load relay checks whether
// it has become that.
const loadRelayCheckInterval = 250 * time.Millisecond

// sendHallSum sends the sum of this hall to the other load relays, and to the nodes of this
// hall if it is large. It returns the bytes sent.
func (n *nodes) sendHallSum() int {
	relays := n.loadRelays()
	var others []netip.AddrPort
	if peers := n.hallPeers(); len(peers) >= control.MaxDirectNodes {
		others = peers
	}
	for hall, m := range relays {
		if hall != n.self.DataHall {
			others = append(others, m.Peer)
		}
	}
	sum, links := n.sumHall(n.ownLoads(), newLinkTallies(n.cacheIndex.Tallies()))
	note := n.newLoadNote()
	note.Loads, note.Links = packSum(sum), packTallies(links.list())
	return n.sendNote(others, noteHallLoads, note)
}

// sumHall returns the loads of all nodes of this hall, this one's included, and their
// running totals for links.
func (n *nodes) sumHall(own []route.ReplicaLoad, links linkTallies) (sum map[route.NameHash]route.PeerLoad, hallTotal linkTallies) {
	sum = make(map[route.NameHash]route.PeerLoad, len(own))
	addLoads(sum, own)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, state := range n.loads.byNode {
		addLoads(sum, state.loads)
	}
	for store, tally := range links {
		n.loads.hallTallies[store] = n.loads.hallTallies[store].Plus(tally.Since(n.loads.ownTallies[store]))
		n.loads.ownTallies[store] = tally
	}
	return sum, maps.Clone(n.loads.hallTallies)
}

func addLoads(sum map[route.NameHash]route.PeerLoad, loads []route.ReplicaLoad) {
	for i := range loads {
		sum[loads[i].Key] = sum[loads[i].Key].Plus(loads[i].Load)
	}
}

// packSum packs the loads of the busiest replicas, as many as fit a datagram.
func packSum(sum map[route.NameHash]route.PeerLoad) []byte {
	list := busiest(sum, maxSumReplicas)
	packed := packLoads(list)
	for len(packed) > maxSumBytes {
		list = busiest(sum, len(list)*maxSumBytes/len(packed))
		packed = packLoads(list)
	}
	return packed
}

// busiest returns the replicas with the most memory in use, then those with the most
// requests. The loads of queues, which have no requests in flight, come first.
func busiest(sum map[route.NameHash]route.PeerLoad, limit int) []route.ReplicaLoad {
	list := make([]route.ReplicaLoad, 0, len(sum))
	for key, load := range sum {
		list = append(list, route.ReplicaLoad{Key: key, Load: load})
	}
	if len(list) <= limit {
		return list
	}
	slices.SortFunc(list, func(a, b route.ReplicaLoad) int {
		return cmp.Or(cmp.Compare(min(1, a.Load.Requests), min(1, b.Load.Requests)), cmp.Compare(b.Load.Memory, a.Load.Memory), cmp.Compare(b.Load.Requests, a.Load.Requests), cmp.Compare(a.Key, b.Key))
	})
	return list[:limit]
}
