package gateway

import (
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/service/ratelimit"
)

// Replica updates go to every node. In a small fleet each is sent at once to all nodes. In
// a large one a roll-out of weights changes hundreds of replicas a second: updates are
// batched and sent to one relay in each large hall, which forwards them there, so that
// traffic between halls does not grow with the number of nodes. Each batch is sent once
// more through another relay, as a datagram or the first relay may be lost.
const (
	// noteReplicaUpdates carries changes of replicas, such as weights being replaced.
	noteReplicaUpdates = "gateway.news"
	// updateResendDelay is after how long updates are sent a second time.
	updateResendDelay = 120 * time.Millisecond
	// updateBatchDelay is how long updates are collected in a large fleet: a small part of
	// the time between diverting requests from a replica and its order.
	updateBatchDelay = 30 * time.Millisecond
	// maxUpdatesPerNote limits the updates in one datagram; each takes some 60 bytes.
	maxUpdatesPerNote = 200
	// updateRelayDuty is the prefix of the duty of relaying updates in a hall.
	updateRelayDuty = "news/"
)

// replicaUpdate is a change of one replica. Without Unreachable, Draining, Brittle, AvoidMs and
// Rate it means that the replica has new weights.
type replicaUpdate struct {
	Replica string `json:"r"`
	// Started is the start of the replica that is meant, in Unix milliseconds; 0 for any.
	Started int64 `json:"t,omitempty"`
	// Unreachable means that a node could not reach the replica: it may have restarted and
	// be cold.
	Unreachable bool `json:"x,omitempty"`
	// Draining means that the replica reports in its responses that it drains.
	Draining bool `json:"d,omitempty"`
	// Brittle means that the replicas of its service are brittle.
	Brittle bool `json:"b,omitempty"`
	// AvoidMs is for how many milliseconds to avoid the replica while it loads the
	// weights.
	AvoidMs int64 `json:"a,omitempty"`
	// Rate is the request rate that the replica accepts from all nodes together. It
	// identifies the replica's start by itself, so Started is not set.
	Rate *ratelimit.RateUpdate `json:"l,omitempty"`
	// Model and Version name the weights.
	Model   string `json:"m,omitempty"`
	Version int64  `json:"v,omitempty"`
}

// replicaUpdatesNote is the content of one datagram; Relay asks the receiver to forward it
// in its hall.
type replicaUpdatesNote struct {
	Updates []replicaUpdate `json:"n"`
	Relay   bool            `json:"p,omitempty"`
}

// announceSwap has all nodes avoid a replica for a while, from now on, so that it can swap
// weights.
func (n *nodes) announceSwap(replica route.ReplicaRef, model string, version int64, d time.Duration) {
	n.broadcast(updateFor(replica, replicaUpdate{AvoidMs: d.Milliseconds(), Model: model, Version: version}))
}

// announceWeights notifies all nodes that a replica serves other weights.
func (n *nodes) announceWeights(replica route.ReplicaRef, model string, version int64) {
	n.broadcast(updateFor(replica, replicaUpdate{Model: model, Version: version}))
}

// announceUnreachable notifies all nodes that a replica could not be reached.
func (n *nodes) announceUnreachable(replica route.ReplicaRef) {
	n.broadcast(updateFor(replica, replicaUpdate{Unreachable: true}))
}

// recordDraining records that a replica reported to this node that it drains, and
// notifies all nodes the first time.
func (n *nodes) recordDraining(replica route.ReplicaRef) {
	if n.siteState.ApplyDraining(replica, boottime.Now()) {
		n.broadcast(updateFor(replica, replicaUpdate{Draining: true}))
	}
}

// AnnounceRate implements ratelimit.Announcer.
func (n *nodes) AnnounceRate(r ratelimit.RateUpdate) {
	n.broadcast(replicaUpdate{Replica: r.Replica, Rate: &r})
}

// updateFor returns the update with the replica filled in.
func updateFor(replica route.ReplicaRef, update replicaUpdate) replicaUpdate {
	update.Replica = replica.ID
	if !replica.Started.IsZero() {
		update.Started = replica.Started.UnixMilli()
	}
	return update
}

// replicaRef returns the replica that the update is about.
func (u *replicaUpdate) replicaRef() route.ReplicaRef {
	ref := route.ReplicaRef{ID: u.Replica}
	if u.Started > 0 {
		ref.Started = time.UnixMilli(u.Started)
	}
	return ref
}

// broadcast applies an update on this node and sends it to all others.
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

// sendPending sends the updates collected since the last batch.
func (n *nodes) sendPending() {
	n.mu.Lock()
	list := n.pendingUpdates
	n.pendingUpdates = nil
	n.mu.Unlock()
	for part := range slices.Chunk(list, maxUpdatesPerNote) {
		n.sendTwice(part)
	}
}

// sendTwice sends updates now and once more after updateResendDelay.
func (n *nodes) sendTwice(list []replicaUpdate) {
	n.sendUpdates(list, 0)
	time.AfterFunc(updateResendDelay, func() { n.sendUpdates(list, 1) })
}

func (n *nodes) sendUpdates(list []replicaUpdate, try int) {
	n.sendToAll(try, noteReplicaUpdates, func(relay bool) any { return replicaUpdatesNote{Updates: list, Relay: relay} })
}

// sendToAll sends a note to all other nodes: to the relay of each large hall one that asks for being
// forwarded there, to the others one that doesn't.
func (n *nodes) sendToAll(try int, method string, note func(relay bool) any) {
	direct, relays := n.updateRecipients(try)
	n.sendNote(direct, method, note(false))
	n.sendNote(relays, method, note(true))
}

// updateRecipients returns the nodes that this one sends updates to: all nodes of small
// halls, and one relay for each large hall, a different one at each try.
func (n *nodes) updateRecipients(try int) (direct, relays []netip.AddrPort) {
	return n.members.View().Recipients(n.self.Name, control.MaxDirectNodes, updateRelayDuty, try)
}

// handleReplicaUpdates applies another node's updates and relays them if asked to.
func (n *nodes) handleReplicaUpdates(params json.RawMessage) {
	var note replicaUpdatesNote
	if err := json.Unmarshal(params, &note); err != nil {
		n.notesDropped.Add(1)
		n.log.Debug("replica updates can't be decoded", "err", err)
		return
	}
	if note.Relay {
		n.sendNote(n.hallPeers(), noteReplicaUpdates, replicaUpdatesNote{Updates: note.Updates})
	}
	for _, u := range note.Updates {
		n.applyUpdate(u)
	}
}

// applyUpdate applies an update to the state of this node.
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
		case u.Brittle:
			if _, ok := p.Find(u.replicaRef()); ok {
				p.RecordBrittle(now)
			}
		case u.Unreachable:
			p.PresumeCold(u.replicaRef(), now)
			n.reportUnreachable(p, u.replicaRef())
		case u.AvoidMs > 0:
			p.AvoidForSwap(u.replicaRef(), u.Model, u.Version, until)
		case u.Version > 0:
			p.RecordWeights(u.replicaRef(), u.Model, u.Version)
		}
	}
}
