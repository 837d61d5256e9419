package gateway

import (
	"encoding/json"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/route"
)

// heardState is a note that was heard.
type heardState struct {
	from  string
	hall  string
	boot  uint64
	seq   uint64
	loads []route.ReplicaLoad
	links tallies
	at    time.Time
}

func heardOf(s *stateNote, now time.Time) (h heardState, err error) {
	h = heardState{from: s.From, hall: s.Hall, boot: s.Boot, seq: s.Seq, at: now}
	if h.loads, err = unpackLoads(s.Loads); err != nil {
		return h, err
	}
	links, err := unpackTallies(s.Links)
	h.links = talliesOf(links)
	return h, err
}

// hearState takes in the state of another node of this hall.
func (n *nodes) hearState(params json.RawMessage) {
	if _, s, old, ok := n.hear(params, n.loads.states, func(s *stateNote) string { return s.From }); ok {
		more := s.moreThan(old)
		n.mu.Lock()
		for store, t := range more {
			n.loads.links[store] = n.loads.links[store].Plus(t)
		}
		n.mu.Unlock()
		n.addPeers(more)
	}
}

// hearHall takes in the sum of another hall, and tells it on in this one if it
// comes from there.
func (n *nodes) hearHall(params json.RawMessage) {
	note, s, old, ok := n.hear(params, n.loads.halls, func(s *stateNote) string { return s.Hall })
	if !ok {
		return
	}
	if s.hall == n.self.DataHall {
		n.addPeers(n.withoutOwn(s.moreThan(old)))
		return
	}
	if n.speakers()[n.self.DataHall].Name == n.self.Name {
		n.passOn(note)
	}
	n.addPeers(s.moreThan(old))
}

// passOn tells the sum of another hall in this one, unless the last one has yet to
// go through the link: what is left out is in the next.
func (n *nodes) passOn(s stateNote) {
	now := boottime.Now()
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
func (n *nodes) withoutOwn(more tallies) tallies {
	own := talliesOf(n.kept.Tallies())
	n.mu.Lock()
	defer n.mu.Unlock()
	for store, t := range own {
		more[store] = more[store].Since(t.Since(n.loads.heard[store]))
	}
	n.loads.heard = own
	return more
}

// hear notes a state under its name and says whether it is newer than the last. What
// can't be read is counted and dropped, and what was heard before stays.
func (n *nodes) hear(params json.RawMessage, under map[string]heardState, name func(*stateNote) string) (note stateNote, s, old heardState, ok bool) {
	now := boottime.Now()
	err := json.Unmarshal(params, &note)
	if err == nil {
		s, err = heardOf(&note, now)
	}
	if err != nil {
		n.dropped.Add(1)
		n.log.Debug("node state can't be decoded", "err", err)
		return note, s, old, false
	}
	if note.From == n.self.Name {
		return note, s, old, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	old = under[name(&note)]
	same := s.from == old.from && s.boot == old.boot
	if same && s.seq <= old.seq && now.Sub(old.at) < stateTerm {
		return note, s, old, false
	}
	under[name(&note)] = s
	n.loads.changed = true
	return note, s, old, true
}

// moreThan is what has been done with links since an older state of the same node.
func (s *heardState) moreThan(old heardState) tallies {
	more := tallies{}
	if s.boot != old.boot || s.from != old.from {
		return more
	}
	for store, t := range s.links {
		if d := t.Since(old.links[store]); !d.Empty() {
			more[store] = d
		}
	}
	return more
}

// addPeers has others' moves take their time on the links.
func (n *nodes) addPeers(links tallies) {
	now := boottime.Now()
	for store, t := range links {
		n.kept.AddPeerTally(store, t, now)
	}
}

// settleEvery is after how long what was told is added up again though nothing new was:
// some of it may have to be forgotten. It is a fifth of the time until then.
const settleEvery = stateTerm / 5

// settle has the pools know what the others have in flight, as far as was told. It is to
// be called before a replica is chosen: a node of a large fleet hears 27 notes a second
// and chooses some 10 times.
func (n *nodes) settle(now time.Time) {
	n.mu.Lock()
	due := n.loads.changed || now.Sub(n.loads.settled) >= settleEvery
	n.mu.Unlock()
	if due {
		n.merge(now)
	}
}

// merge adds up what the others have in flight.
func (n *nodes) merge(now time.Time) {
	n.mergeMu.Lock()
	defer n.mergeMu.Unlock()
	sum := n.addUp(now)
	for _, p := range n.beliefs.Pools() {
		p.SetPeers(sum)
	}
}

func (n *nodes) addUp(now time.Time) map[route.NameHash]route.PeerLoad {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads.changed, n.loads.settled = false, now
	sum := map[route.NameHash]route.PeerLoad{}
	for _, heard := range []map[string]heardState{n.loads.states, n.loads.halls} {
		for name, s := range heard {
			switch {
			case now.Sub(s.at) > stateTerm:
				delete(heard, name)
			case !n.ignores(s.hall):
				addLoads(sum, s.loads)
			}
		}
	}
	if _, summed := n.loads.halls[n.self.DataHall]; summed {
		for _, l := range n.loads.told {
			sum[l.Key] = sum[l.Key].Minus(l.Load)
		}
	}
	return sum
}

// ignores says whether what nodes of a hall have in flight is left out of account.
func (n *nodes) ignores(hall string) bool {
	if hall == n.self.DataHall {
		return n.beliefs.without.HallLoads
	}
	return n.beliefs.without.FarLoads
}
