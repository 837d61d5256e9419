package gateway

import (
	"cmp"
	"context"
	"encoding/json"
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
	noteState = "gateway.state"
	// noteHall tells the sum of another hall.
	noteHall = "gateway.hall"
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

// load is what is in flight at a replica: requests, tokens held of an engine's memory,
// and tokens to be read by urgency. Zeros at its end are left out.
type load []int

// loadFixed is how many numbers of a load come before the tokens to be read.
const loadFixed = 2

func loadOf(l route.PeerLoad) load {
	list := append(load{l.Requests, l.Memory}, l.Tokens[:]...)
	for len(list) > 0 && list[len(list)-1] == 0 {
		list = list[:len(list)-1]
	}
	return list
}

// peerLoad reads a load; numbers that this node knows nothing of are left out.
func (l load) peerLoad() (p route.PeerLoad) {
	for i, n := range l {
		switch {
		case i == 0:
			p.Requests = n
		case i == 1:
			p.Memory = n
		case i-loadFixed < len(p.Tokens):
			p.Tokens[i-loadFixed] = n
		}
	}
	return p
}

// nodeState is what one node tells. Its JSON names are short, as it is sent many
// times a second.
type nodeState struct {
	From  string          `json:"f"`
	Hall  string          `json:"h"`
	Boot  uint64          `json:"b"`
	Seq   uint64          `json:"q"`
	Loads map[string]load `json:"l,omitempty"` // By replica.
	// Links is what has been done with each store's link so far.
	Links map[string]route.Tally `json:"m,omitempty"`
}

type heardState struct {
	nodeState
	at time.Time
}

// loads is what was told and heard of loads; nodes.mu guards it.
type loads struct {
	seq    uint64
	states map[string]heardState // Of nodes of this hall.
	halls  map[string]heardState // Sums of the others.
	// links is what the whole hall has done with each store's link.
	links map[string]route.Tally
	own   map[string]route.Tally // Of that, this node's when last summed.
	told  map[string]load        // What this node told last.
	heard map[string]route.Tally // This node's when its hall's sum was last heard.

	passNext map[string]time.Time // When the sum of a hall may be told on.

	speakers   map[string]control.Member
	speakersAt uint64 // Generation of the members.
}

func newLoads() loads {
	return loads{
		states: map[string]heardState{},
		halls:  map[string]heardState{},
		links:  map[string]route.Tally{},
		own:    map[string]route.Tally{},

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
	if len(peers) < directMost {
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
	s := n.state()
	s.Links = n.kept.Tallies()
	n.note(peers, noteState, s)
	n.mu.Lock()
	n.loads.told = s.Loads
	n.mu.Unlock()
	n.merge(time.Now())
}

// state begins a note with what this node itself has in flight.
func (n *nodes) state() nodeState {
	s := nodeState{
		From:  n.self.Name,
		Hall:  n.self.DataHall,
		Boot:  n.members.Self().Incarnation,
		Loads: map[string]load{},
	}
	for _, p := range n.beliefs.Pools() {
		for id, l := range p.Loads() {
			s.Loads[id] = loadOf(l)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads.seq++
	s.Seq = n.loads.seq
	return s
}

// note tells other nodes something and returns the bytes sent.
func (n *nodes) note(to []netip.AddrPort, method string, params any) int {
	sent, err := n.probes.Note(to, method, params)
	if err != nil {
		n.log.Error("note not sent", "method", method, "err", err)
	}
	return sent
}

// inHall lists the addresses of the other nodes of a hall that may live.
func (n *nodes) inHall(hall string) []netip.AddrPort {
	var list []netip.AddrPort
	for _, m := range n.members.All() {
		if m.Name != n.self.Name && m.State != control.MemberDead && m.DataHall == hall {
			list = append(list, m.Peer)
		}
	}
	return list
}

// speakers are the nodes that tell their halls' sums, by hall. They are worked
// out again when it changes who works.
func (n *nodes) speakers() map[string]control.Member {
	generation := n.members.Generation()
	n.mu.Lock()
	list, known := n.loads.speakers, n.loads.speakersAt
	n.mu.Unlock()
	if list != nil && known == generation {
		return list
	}
	list = n.findSpeakers()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads.speakers, n.loads.speakersAt = list, generation
	return list
}

func (n *nodes) findSpeakers() map[string]control.Member {
	halls := map[string][]control.Member{}
	for _, m := range n.members.Working() {
		halls[m.DataHall] = append(halls[m.DataHall], m)
	}
	list := make(map[string]control.Member, len(halls))
	for hall, members := range halls {
		if m, ok := control.Owner(control.Widest(members), speakDuty+hall); ok {
			list[hall] = m
		}
	}
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
	if peers := n.inHall(n.self.DataHall); len(peers) >= directMost {
		others = peers
	}
	for hall, m := range speakers {
		if hall != n.self.DataHall {
			others = append(others, m.Peer)
		}
	}
	s := n.state()
	n.sumHall(&s)
	return n.note(others, noteHall, s)
}

// sumHall adds what the other nodes of this hall have in flight, and what all of
// them have done with links.
func (n *nodes) sumHall(s *nodeState) {
	own := n.kept.Tallies()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, state := range n.loads.states {
		for id, l := range state.Loads {
			s.Loads[id] = loadOf(s.Loads[id].peerLoad().Plus(l.peerLoad()))
		}
	}
	s.Loads = busiest(s.Loads, sumMost)
	for store, t := range own {
		n.loads.links[store] = n.loads.links[store].Plus(t.Since(n.loads.own[store]))
		n.loads.own[store] = t
	}
	s.Links = maps.Clone(n.loads.links)
}

// busiest leaves only the replicas of whose memory the most is held, and behind that
// those with the most requests.
func busiest(loads map[string]load, most int) map[string]load {
	if len(loads) <= most {
		return loads
	}
	ids := slices.Collect(maps.Keys(loads))
	slices.SortFunc(ids, func(a, b string) int {
		first, second := loads[a].peerLoad(), loads[b].peerLoad()
		return cmp.Or(cmp.Compare(second.Memory, first.Memory), cmp.Compare(second.Requests, first.Requests), cmp.Compare(a, b))
	})
	left := make(map[string]load, most)
	for _, id := range ids[:most] {
		left[id] = loads[id]
	}
	return left
}

// hearState takes in the state of another node of this hall.
func (n *nodes) hearState(params json.RawMessage) {
	if s, old, ok := n.hear(params, n.loads.states, func(s *nodeState) string { return s.From }); ok {
		more := s.moreThan(old)
		n.mu.Lock()
		for store, t := range more {
			n.loads.links[store] = n.loads.links[store].Plus(t)
		}
		n.mu.Unlock()
		n.apply(more)
	}
}

// hearHall takes in the sum of another hall, and tells it on in this one if it
// comes from there.
func (n *nodes) hearHall(params json.RawMessage) {
	s, old, ok := n.hear(params, n.loads.halls, func(s *nodeState) string { return s.Hall })
	if !ok {
		return
	}
	if s.Hall == n.self.DataHall {
		n.apply(n.withoutOwn(s.moreThan(old)))
		return
	}
	if n.speakers()[n.self.DataHall].Name == n.self.Name {
		n.passOn(s)
	}
	n.apply(s.moreThan(old))
}

// passOn tells the sum of another hall in this one, unless the last one has yet to
// go through the link: what is left out is in the next.
func (n *nodes) passOn(s nodeState) {
	now := time.Now()
	n.mu.Lock()
	due := !now.Before(n.loads.passNext[s.Hall])
	n.mu.Unlock()
	if !due {
		return
	}
	sent := n.note(n.inHall(n.self.DataHall), noteHall, s)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads.passNext[s.Hall] = now.Add(n.linkTime(sent))
}

// withoutOwn takes this node's own part out of what its hall has done with links.
func (n *nodes) withoutOwn(more map[string]route.Tally) map[string]route.Tally {
	own := n.kept.Tallies()
	n.mu.Lock()
	defer n.mu.Unlock()
	for store, t := range own {
		more[store] = more[store].Since(t.Since(n.loads.heard[store]))
	}
	n.loads.heard = own
	return more
}

// hear notes a state under its name and says whether it is newer than the last.
func (n *nodes) hear(params json.RawMessage, under map[string]heardState, name func(*nodeState) string) (s nodeState, old heardState, ok bool) {
	if err := json.Unmarshal(params, &s); err != nil {
		n.log.Debug("state not understood", "err", err)
		return s, old, false
	}
	if s.From == n.self.Name {
		return s, old, false
	}
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	old = under[name(&s)]
	same := s.From == old.From && s.Boot == old.Boot
	if same && s.Seq <= old.Seq && now.Sub(old.at) < stateTerm {
		return s, old, false
	}
	under[name(&s)] = heardState{nodeState: s, at: now}
	return s, old, true
}

// moreThan is what has been done with links since an older state of the same node.
func (s *nodeState) moreThan(old heardState) map[string]route.Tally {
	more := map[string]route.Tally{}
	if s.Boot != old.Boot || s.From != old.From {
		return more
	}
	for store, t := range s.Links {
		if d := t.Since(old.Links[store]); !d.Empty() {
			more[store] = d
		}
	}
	return more
}

// apply has others' moves take their time and their loads count.
func (n *nodes) apply(links map[string]route.Tally) {
	now := time.Now()
	for store, t := range links {
		n.kept.AddPeer(store, t, now)
	}
	n.merge(now)
}

// merge adds up what the others have in flight.
func (n *nodes) merge(now time.Time) {
	sum := map[string]route.PeerLoad{}
	n.mu.Lock()
	for _, heard := range []map[string]heardState{n.loads.states, n.loads.halls} {
		for name, s := range heard {
			if n.ignores(s.Hall) {
				continue
			}
			if now.Sub(s.at) > stateTerm {
				delete(heard, name)
				continue
			}
			for id, l := range s.Loads {
				sum[id] = sum[id].Plus(l.peerLoad())
			}
		}
	}
	if _, summed := n.loads.halls[n.self.DataHall]; summed {
		n.subtractTold(sum)
	}
	n.mu.Unlock()
	for _, p := range n.beliefs.Pools() {
		p.SetPeers(sum)
	}
}

// ignores says whether what nodes of a hall have in flight is left out of account.
func (n *nodes) ignores(hall string) bool {
	if hall == n.self.DataHall {
		return n.beliefs.without.HallLoads
	}
	return n.beliefs.without.FarLoads
}

// subtractTold takes what this node told out of its hall's sum; the caller holds
// mu.
func (n *nodes) subtractTold(sum map[string]route.PeerLoad) {
	for id, l := range n.loads.told {
		sum[id] = sum[id].Minus(l.peerLoad())
	}
}
