package gateway

import (
	"encoding/json"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/route"
)

// receivedLoads is a decoded loadNote and when it was received.
type receivedLoads struct {
	from        string
	hall        string
	incarnation uint64
	seq         uint64
	loads       []route.ReplicaLoad
	links       linkTallies
	receivedAt  time.Time
	// interval is the time since the note before it: what the note says was taken in it.
	interval time.Duration
}

func decodeLoads(note *loadNote, now time.Time) (r receivedLoads, err error) {
	r = receivedLoads{from: note.From, hall: note.Hall, incarnation: note.Incarnation, seq: note.Seq, receivedAt: now}
	if r.loads, err = unpackLoads(note.Loads); err != nil {
		return r, err
	}
	links, err := unpackTallies(note.Links)
	r.links = newLinkTallies(links)
	return r, err
}

// handleLoads records the loads of another node of this hall.
func (n *nodes) handleLoads(params json.RawMessage) {
	if _, r, old, ok := n.receiveLoads(params, n.loads.byNode, func(note *loadNote) string { return note.From }); ok {
		added := r.talliesSince(old)
		n.mu.Lock()
		for store, t := range added {
			n.loads.hallTallies[store] = n.loads.hallTallies[store].Plus(t)
		}
		n.mu.Unlock()
		n.addPeerTallies(added)
	}
}

// handleHallLoads records the sum of a hall. The hall's load relay forwards the sums
// of other halls within its own.
func (n *nodes) handleHallLoads(params json.RawMessage) {
	note, r, old, ok := n.receiveLoads(params, n.loads.byHall, func(note *loadNote) string { return note.Hall })
	if !ok {
		return
	}
	if r.hall == n.self.DataHall {
		n.addPeerTallies(n.subtractOwn(r.talliesSince(old)))
		return
	}
	if n.loadRelays()[n.self.DataHall].Name == n.self.Name {
		n.forwardHallLoads(note)
	}
	n.addPeerTallies(r.talliesSince(old))
}

// forwardHallLoads sends the sum of another hall to the nodes of this one, unless the last
// one still occupies the link. A skipped sum is covered by the next.
func (n *nodes) forwardHallLoads(note loadNote) {
	now := boottime.Now()
	n.mu.Lock()
	due := !now.Before(n.loads.nextForward[note.Hall])
	n.mu.Unlock()
	if !due {
		return
	}
	sent := n.sendNote(n.hallPeers(), noteHallLoads, note)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads.nextForward[note.Hall] = now.Add(n.transmitTime(sent))
}

// subtractOwn removes this node's own part from the hall's link totals.
func (n *nodes) subtractOwn(added linkTallies) linkTallies {
	own := newLinkTallies(n.cacheIndex.Tallies())
	n.mu.Lock()
	defer n.mu.Unlock()
	for store, t := range own {
		added[store] = added[store].Since(t.Since(n.loads.ownTalliesAtHallSum[store]))
	}
	n.loads.ownTalliesAtHallSum = own
	return added
}

// receiveLoads stores a note by its key and reports whether it is newer than the last one.
// A note that can't be decoded is counted and dropped, and the last one stays.
func (n *nodes) receiveLoads(params json.RawMessage, received map[string]receivedLoads, key func(*loadNote) string) (note loadNote, r, old receivedLoads, ok bool) {
	now := boottime.RefreshNow() // Notes may be the first thing that a node reads after a suspension.
	err := json.Unmarshal(params, &note)
	if err == nil {
		r, err = decodeLoads(&note, now)
	}
	if err != nil {
		n.notesDropped.Add(1)
		n.log.Debug("node state can't be decoded", "err", err)
		return note, r, old, false
	}
	if note.From == n.self.Name {
		return note, r, old, false
	}
	if note.Era > 0 {
		n.eras.Observe(note.Era, now)
	}
	n.siteState.learnWeightAges(note.Weights, now)
	n.siteState.LearnSharing(note.Sharing, sharingTold, now)
	n.mu.Lock()
	defer n.mu.Unlock()
	old = received[key(&note)]
	same := r.from == old.from && r.incarnation == old.incarnation
	if same && r.seq <= old.seq && now.Sub(old.receivedAt) < loadExpiry {
		return note, r, old, false
	}
	if same && !old.receivedAt.IsZero() {
		r.interval = min(loadExpiry, now.Sub(old.receivedAt))
	}
	received[key(&note)] = r
	n.loads.changed = true
	return note, r, old, true
}

// talliesSince returns what was added to the link totals since an older note of the same
// node.
func (r *receivedLoads) talliesSince(old receivedLoads) linkTallies {
	added := linkTallies{}
	if r.incarnation != old.incarnation || r.from != old.from {
		return added
	}
	for store, t := range r.links {
		if d := t.Since(old.links[store]); !d.Empty() {
			added[store] = d
		}
	}
	return added
}

// addPeerTallies counts other nodes' transfers towards the use of the links.
func (n *nodes) addPeerTallies(links linkTallies) {
	now := boottime.Now()
	for store, tally := range links {
		n.cacheIndex.AddPeerTally(store, tally, now)
	}
}

// mergeInterval is after how long the loads are summed again although nothing was
// received: some may have expired. It is a fifth of loadExpiry.
const mergeInterval = loadExpiry / 5

// refreshPeerLoads updates the pools with the loads of the other nodes if needed. It is
// called before a replica is chosen, which is less often than notes arrive: a node of a
// large fleet receives 27 notes a second and chooses some 10 times.
func (n *nodes) refreshPeerLoads(now time.Time) {
	n.mu.Lock()
	due := n.loads.changed || now.Sub(n.loads.mergedAt) >= mergeInterval
	n.mu.Unlock()
	if due {
		n.mergePeerLoads(now)
	}
}

// mergePeerLoads updates the pools with the summed loads of the other nodes.
func (n *nodes) mergePeerLoads(now time.Time) {
	n.mergeMu.Lock()
	defer n.mergeMu.Unlock()
	sum, age := n.sumPeerLoads(now), n.meanLoadAge(now)
	for _, p := range n.siteState.Pools() {
		p.SetLoadAge(age)
		p.SetPeers(sum)
	}
}

// meanLoadAge is how old the loads of other nodes are on average. A note says what was in
// flight at some time since the one before it, so the interval between them counts too.
func (n *nodes) meanLoadAge(now time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum, count := time.Duration(0), 0
	for _, received := range []map[string]receivedLoads{n.loads.byNode, n.loads.byHall} {
		for _, r := range received {
			if !n.ignoresHall(r.hall) {
				sum, count = sum+now.Sub(r.receivedAt)+r.interval, count+1
			}
		}
	}
	return min(loadExpiry, sum/time.Duration(max(1, count)))
}

// sumPeerLoads sums the loads of the other nodes and drops expired ones.
func (n *nodes) sumPeerLoads(now time.Time) map[route.NameHash]route.PeerLoad {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads.changed, n.loads.mergedAt = false, now
	sum := map[route.NameHash]route.PeerLoad{}
	for _, received := range []map[string]receivedLoads{n.loads.byNode, n.loads.byHall} {
		for name, r := range received {
			switch {
			case now.Sub(r.receivedAt) > loadExpiry:
				delete(received, name)
			case !n.ignoresHall(r.hall):
				addLoads(sum, r.loads)
			}
		}
	}
	if _, hallSumReceived := n.loads.byHall[n.self.DataHall]; hallSumReceived {
		for _, l := range n.loads.lastSent {
			sum[l.Key] = sum[l.Key].Minus(l.Load)
		}
	}
	return sum
}

// ignoresHall reports whether the settings disable taking the loads of a hall's nodes into
// account.
func (n *nodes) ignoresHall(hall string) bool {
	if hall == n.self.DataHall {
		return n.siteState.disabled.HallLoadUpdates
	}
	return n.siteState.disabled.InterHallLoadUpdates
}
