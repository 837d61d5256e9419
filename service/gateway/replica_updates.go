package gateway

import (
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/service/ratelimit"
)

// News of replicas go to every node. In a small fleet each is told at once and to
// all. In a large one a roll-out of weights changes hundreds of replicas a second:
// news go in groups, and to one node of each large hall, which tells the others
// there, so that bytes between halls don't grow with the nodes. They are told once
// more through another node, as a note or the first node may be lost.
const (
	// noteReplicaUpdates tells of replicas whose weights are being replaced, or were.
	noteReplicaUpdates = "gateway.news"
	// updateResendDelay is after how long news are told once more, as a note may be lost.
	updateResendDelay = 120 * time.Millisecond
	// updateBatchDelay is for how long news are gathered in a large fleet: a small part
	// of the time between steering requests away and an order.
	updateBatchDelay = 30 * time.Millisecond
	// maxUpdatesPerNote is how many go in one note, some 60 bytes each.
	maxUpdatesPerNote = 200
	// updateRelayDuty names the duty of telling news on in a hall.
	updateRelayDuty = "news/"
)

// replicaUpdate is about one replica.
type replicaUpdate struct {
	Replica string `json:"r"`
	// Started is the replica's start that is meant, in Unix milliseconds; 0 for any.
	Started int64 `json:"t,omitempty"`
	// Unreachable says that it was not reached: it may have started again, and be cold.
	Unreachable bool `json:"x,omitempty"`
	// Draining says that its answers say so.
	Draining bool `json:"d,omitempty"`
	// AvoidMs is for how many milliseconds it is to be passed over while it gets the
	// weights; without it, it has them.
	AvoidMs int64 `json:"a,omitempty"`
	// Rate says how many requests a second it takes from all nodes; it names the replica itself.
	Rate *ratelimit.RateUpdate `json:"l,omitempty"`
	// Model and Version are the weights.
	Model   string `json:"m,omitempty"`
	Version int64  `json:"v,omitempty"`
}

// replicaUpdatesNote is what is told in one note; Pass says that the hearer tells it on in
// its hall.
type replicaUpdatesNote struct {
	Updates []replicaUpdate `json:"n"`
	Relay   bool            `json:"p,omitempty"`
}

// announceSwap has all nodes pass a replica over for a while, beginning at once.
func (n *nodes) announceSwap(replica route.ReplicaRef, model string, version int64, d time.Duration) {
	n.broadcast(updateFor(replica, replicaUpdate{AvoidMs: d.Milliseconds(), Model: model, Version: version}))
}

// announceWeights tells all nodes that a replica has got other weights.
func (n *nodes) announceWeights(replica route.ReplicaRef, model string, version int64) {
	n.broadcast(updateFor(replica, replicaUpdate{Model: model, Version: version}))
}

// announceUnreachable tells all nodes that a replica was not reached.
func (n *nodes) announceUnreachable(replica route.ReplicaRef) {
	n.broadcast(updateFor(replica, replicaUpdate{Unreachable: true}))
}

// recordDraining takes in that a replica has told this node that it drains, and tells all nodes
// the first time.
func (n *nodes) recordDraining(replica route.ReplicaRef) {
	if n.siteState.ApplyDraining(replica, boottime.Now()) {
		n.broadcast(updateFor(replica, replicaUpdate{Draining: true}))
	}
}

// AnnounceRate implements ratelimit.Announcer.
func (n *nodes) AnnounceRate(r ratelimit.RateUpdate) {
	n.broadcast(replicaUpdate{Replica: r.Replica, Rate: &r})
}

// updateFor completes news with the replica that they are of.
func updateFor(replica route.ReplicaRef, update replicaUpdate) replicaUpdate {
	update.Replica = replica.ID
	if !replica.Started.IsZero() {
		update.Started = replica.Started.UnixMilli()
	}
	return update
}

// whom names the replica that news are of.
func (u *replicaUpdate) replicaRef() route.ReplicaRef {
	ref := route.ReplicaRef{ID: u.Replica}
	if u.Started > 0 {
		ref.Started = time.UnixMilli(u.Started)
	}
	return ref
}

// broadcast tells news to all nodes, this one included.
func (n *nodes) broadcast(u replicaUpdate) {
	n.applyUpdate(u)
	if _, relays := n.updateRecipients(0); len(relays) == 0 {
		n.sendTwice([]replicaUpdate{u})
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pendingUpdates = append(n.pendingUpdates, u)
	if len(n.pendingUpdates) == 1 {
		time.AfterFunc(updateBatchDelay, n.sendPending)
	}
}

func (n *nodes) sendPending() {
	n.mu.Lock()
	list := n.pendingUpdates
	n.pendingUpdates = nil
	n.mu.Unlock()
	for part := range slices.Chunk(list, maxUpdatesPerNote) {
		n.sendTwice(part)
	}
}

// sendTwice tells news twice.
func (n *nodes) sendTwice(list []replicaUpdate) {
	n.sendUpdates(list, 0)
	time.AfterFunc(updateResendDelay, func() { n.sendUpdates(list, 1) })
}

func (n *nodes) sendUpdates(list []replicaUpdate, try int) {
	direct, relays := n.updateRecipients(try)
	n.sendNote(direct, noteReplicaUpdates, replicaUpdatesNote{Updates: list})
	n.sendNote(relays, noteReplicaUpdates, replicaUpdatesNote{Updates: list, Relay: true})
}

// updateRecipients are the nodes that are told news by this one: all of small halls, and
// of each large one a node that tells the others, another one at each try.
func (n *nodes) updateRecipients(try int) (direct, relays []netip.AddrPort) {
	return n.members.View().Recipients(n.self.Name, directMost, updateRelayDuty, try)
}

// handleReplicaUpdates takes in another node's news, and tells them on if it is asked to.
func (n *nodes) handleReplicaUpdates(params json.RawMessage) {
	var note replicaUpdatesNote
	if err := json.Unmarshal(params, &note); err != nil {
		n.notesDropped.Add(1)
		n.log.Debug("replica updates can't be decoded", "err", err)
		return
	}
	if note.Relay {
		n.sendNote(n.hallPeers(n.self.DataHall), noteReplicaUpdates, replicaUpdatesNote{Updates: note.Updates})
	}
	for _, u := range note.Updates {
		n.applyUpdate(u)
	}
}

func (n *nodes) applyUpdate(u replicaUpdate) {
	now := boottime.Now()
	if u.Rate != nil {
		n.rateLimits.ApplyUpdate(*u.Rate)
		return
	}
	if u.Draining {
		n.siteState.ApplyDraining(u.replicaRef(), now)
		return
	}
	until := now.Add(time.Duration(u.AvoidMs) * time.Millisecond)
	for _, p := range n.siteState.Pools() {
		switch {
		case u.Unreachable:
			p.PresumeCold(u.replicaRef(), now)
		case u.AvoidMs > 0:
			p.AvoidForSwap(u.replicaRef(), u.Model, u.Version, until)
		case u.Version > 0:
			p.RecordWeights(u.replicaRef(), u.Model, u.Version)
		}
	}
}
