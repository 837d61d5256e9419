package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/service/peer"
	"github.com/drumpath/drumpath/service/ratelimit"
	"github.com/drumpath/drumpath/service/suspects"
	"github.com/drumpath/drumpath/service/tables"
)

// nodes exchanges state with the other nodes: membership, requests in flight, replicas to
// avoid, and the newest weights.
type nodes struct {
	self       control.Member
	regions    map[string]string // By data hall.
	coldShares *coldShares
	// suspects loads the blocked requests that the nodes' table also lists.
	suspects    *suspects.Suspects
	rateLimits  *ratelimit.Limits
	members     *control.Members
	probes      *peer.Probes
	store       Store
	eras        *history.Eras    // Of the store.
	nodeTable   *tables.Follower // Of the list of nodes, read through other nodes.
	siteState   *SiteState
	canaries    *canaries
	cacheIndex  *route.CacheIndex
	log         *slog.Logger
	loadsDue    chan struct{} // Signals that the loads must be sent soon; capacity 1.
	incarnation uint64        // Distinguishes this run of the node from earlier ones.
	// firstStart is set if the node's row did not exist when it started, and was not lost with an era
	// of the store: it had no earlier process.
	firstStart atomic.Bool
	// started is set once this node has asked the others for their startState.
	started      atomic.Bool
	notesDropped atomic.Int64 // Datagrams that could not be decoded.
	// onUnreachable is called when a node reports that it can't reach a replica. It may be
	// nil.
	onUnreachable func(*route.Pool, *site.Upstream)
	mergeMu       locks.Mutex // Serializes updates of the pools; taken before mu.

	mu             locks.Mutex
	discovery      discovery
	loads          loadState
	pendingUpdates []replicaUpdate // Sent together in the next batch.
}

// probe sends membership probes; the timer service calls it.
func (n *nodes) probe(context.Context) {
	n.probes.Send(n.members.Tick(time.Now(), 0))
}

// probeIndirectly asks other nodes to probe members that have not answered.
func (n *nodes) probeIndirectly(context.Context) {
	n.probes.Send(n.members.IndirectProbes(time.Now(), 0))
}

// announceStop tells the other nodes that this node is stopping.
func (n *nodes) announceStop() { n.probes.Send(n.members.Leave(time.Now())) }

// count returns the number of nodes known to work, at least 1.
func (n *nodes) count() int { return max(1, n.members.View().Counts().Working) }

// entryAddrs lists the nodes that clients in a data hall may use: those of the hall; if
// fewer than minEntries are alive there, those of its region; then those in the homes, the
// regions in which the requested host may run; or else all nodes.
func (n *nodes) entryAddrs(hall, region string, homes []string) []netip.AddrPort {
	view := n.members.View()
	candidates := view.Hall(hall).Alive
	if region == "" {
		region = n.regions[hall]
	}
	if len(candidates) < minEntries {
		candidates = longer(n.inRegions(view.Alive(), []string{region}), candidates)
	}
	if len(candidates) < minEntries {
		candidates = longer(n.inRegions(view.Alive(), homes), candidates)
	}
	if len(candidates) == 0 || len(candidates) < minEntries && len(homes) == 0 {
		candidates = view.Alive()
	}
	addrs := make([]netip.AddrPort, len(candidates))
	for i, m := range candidates {
		addrs[i] = m.Entry
	}
	return addrs
}

// inRegions filters the members in one of the regions.
func (n *nodes) inRegions(list []control.Member, regions []string) (in []control.Member) {
	for _, m := range list {
		if region := n.regions[m.DataHall]; region != "" && slices.Contains(regions, region) {
			in = append(in, m)
		}
	}
	return in
}

// longer returns the longer list, b if both have the same length.
func longer(a, b []control.Member) []control.Member {
	if len(a) > len(b) {
		return a
	}
	return b
}

// minEntries is the least number of nodes to give a client: with only one it has no
// alternative when that node fails.
const minEntries = 2

// maxDirectLookups is the number of other nodes of a hall up to which all are asked directly for the origin
// of a stream: a relay costs the client time, and may have failed together with the stream's node.
const maxDirectLookups = 32

// noteSender sends notes to other nodes. Broadcasts go directly to halls with up to maxDirect others.
type noteSender struct {
	n         *nodes
	maxDirect int
}

// SendNote sends a note to some nodes and returns the bytes sent.
func (s noteSender) SendNote(to []netip.AddrPort, method string, params any) int {
	if len(to) == 0 {
		return 0
	}
	return s.n.sendNote(to, method, params)
}

// Recipients returns the nodes to send a broadcast to, and those that forward it.
func (s noteSender) Recipients(try int) (direct, relays []netip.AddrPort) {
	return s.n.members.View().Recipients(s.n.self.Name, s.maxDirect, updateRelayDuty, try)
}

// HallPeers returns the other nodes of this node's hall.
func (s noteSender) HallPeers() []netip.AddrPort { return s.n.hallPeers() }

const (
	// methodStartState asks a node for what another one has to know as it starts.
	methodStartState = "gateway.start_state"
	// startStateTimeout limits a call, and startStateTime all of them: a node that starts serves nobody meanwhile.
	startStateTimeout = 300 * time.Millisecond
	startStateTime    = 600 * time.Millisecond
	// startStatesLearned is from how many nodes it learns, and startStatesAsked how many it asks: others may have
	// just started as well.
	startStatesLearned = 2
	startStatesAsked   = 8
)

// startStateRequest holds the parameters of methodStartState.
type startStateRequest struct {
	// Era is the newest one that the starting node knows.
	Era history.Era `json:"era,omitempty"`
}

// startState is what a node that starts can't learn from the store, or not from one that has come back from a copy.
type startState struct {
	// Starting is set if the node has only just started itself, and knows no more.
	Starting bool `json:"starting,omitempty"`
	// Era is the current one, and EraAgeMS for how many milliseconds it is known, 0 if it is the only one that
	// the node knows.
	Era      history.Era `json:"era,omitempty"`
	EraAgeMS int64       `json:"era_age_ms,omitempty"`
	// Draining are the replicas that have said that they drain. The store may list them as ready.
	Draining []replicaUpdate `json:"draining,omitempty"`
	// Left are the replicas whose rows are gone. The store may list them again.
	Left []leftNote `json:"left,omitempty"`
	// Evacuated are the data halls that are evacuated. The store may have lost their rows.
	Evacuated []string `json:"evacuated,omitempty"`
	// Rollouts are the orders of roll-outs, removed ones included. The store may have older ones, and
	// may have lost the states of those that have ended.
	Rollouts []knownRollout `json:"rollouts,omitempty"`
	// Weights are the versions of models' weights and their ages, which the operator's table does not have.
	Weights []weightAge `json:"weights,omitempty"`
	// Sharing is in which periods organisations share KV cache.
	Sharing []route.Sharing `json:"sharing,omitempty"`
}

// leftNote names a replica whose row is gone.
type leftNote struct {
	Replica  string           `json:"r"`
	Started  int64            `json:"t,omitempty"` // In Unix milliseconds, 0 if it is not known.
	Position history.Position `json:"position"`    // Of its last row.
}

// serveStartState handles methodStartState.
func (n *nodes) serveStartState(_ context.Context, q startStateRequest) (out startState, err error) {
	if q.Era > 0 {
		n.eras.Observe(q.Era, boottime.RefreshNow())
	}
	if !n.started.Load() {
		return startState{Starting: true}, nil
	}
	now := boottime.RefreshNow()
	if era, age, ok := n.eras.Begun(now); ok {
		out.Era, out.EraAgeMS = era, max(1, age.Milliseconds())
	}
	out.Evacuated = n.siteState.EvacuatedHalls()
	for _, replica := range n.siteState.DrainingReplicas(now) {
		out.Draining = append(out.Draining, updateFor(replica, replicaUpdate{Draining: true}))
	}
	for _, l := range n.siteState.LeftReplicas(now) {
		u := updateFor(l.replica, replicaUpdate{})
		out.Left = append(out.Left, leftNote{Replica: u.Replica, Started: u.Started, Position: l.position})
	}
	out.Rollouts = n.canaries.known(now)
	out.Weights = n.siteState.allWeightAges(now)
	out.Sharing = n.siteState.sharingHistory()
	return out, nil
}

// learnStartState has this node, which starts, ask others for their startState. retryWindow is that of the retry
// budget.
func (n *nodes) learnStartState(ctx context.Context, client *peer.Client, retryWindow time.Duration) {
	defer n.started.Store(true)
	ctx, cancel := context.WithTimeout(ctx, startStateTime)
	defer cancel()
	others := slices.DeleteFunc(slices.Clone(n.members.View().Alive()), func(m control.Member) bool { return m.Name == n.self.Name })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	learned := 0
	for _, m := range others[:min(startStatesAsked, len(others))] {
		if learned == startStatesLearned || ctx.Err() != nil {
			break
		}
		var s startState
		var q startStateRequest
		q.Era, _, _ = n.eras.Current()
		if err := client.CallWithin(ctx, startStateTimeout, m.Peer, methodStartState, q, &s); err != nil {
			n.log.Warn("state for the start not learned", "peer", m.Peer, "err", err)
			continue
		}
		if s.Starting {
			continue
		}
		learned++
		n.applyStartState(&s)
	}
	if !n.eras.IsSettled(boottime.Now(), retryWindow) {
		n.firstStart.Store(false) // The row of an earlier process may be lost.
	}
}

// applyStartState takes in what another node knows.
func (n *nodes) applyStartState(s *startState) {
	now := boottime.RefreshNow()
	if s.EraAgeMS > 0 {
		age := time.Duration(s.EraAgeMS) * time.Millisecond
		n.eras.ObserveBegun(s.Era, now.Add(-age), now)
		n.log.Info("era of store learned", "era", s.Era, "age", age)
	}
	for _, u := range s.Draining {
		n.applyUpdate(u)
	}
	for _, l := range s.Left {
		u := replicaUpdate{Replica: l.Replica, Started: l.Started}
		n.siteState.AssumeLeft(u.replicaRef(), l.Position, now)
	}
	for _, hall := range s.Evacuated {
		n.siteState.AssumeEvacuated(hall, now)
	}
	for _, r := range s.Rollouts {
		n.canaries.learn(r, now)
	}
	n.siteState.learnWeightAges(s.Weights, now)
	for _, known := range s.Sharing {
		n.siteState.LearnSharing(known, sharingTold, now)
	}
}
