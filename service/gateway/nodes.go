package gateway

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/service/peer"
	"github.com/drumpath/drumpath/service/ratelimit"
	"github.com/drumpath/drumpath/service/suspects"
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
	eras        *history.Eras  // Of the store.
	nodeTable   *tableFollower // Of the list of nodes, read through other nodes.
	siteState   *SiteState
	cacheIndex  *route.CacheIndex
	log         *slog.Logger
	loadsDue    chan struct{} // Signals that the loads must be sent soon; capacity 1.
	incarnation uint64        // Distinguishes this run of the node from earlier ones.
	// firstStart is set if the node's row did not exist when it started, and was not lost with an era
	// of the store: it had no earlier process.
	firstStart   atomic.Bool
	notesDropped atomic.Int64 // Datagrams that could not be decoded.
	// onUnreachable is called when a node reports that it can't reach a replica. It may be
	// nil.
	onUnreachable func(*route.Pool, *site.Upstream)
	mergeMu       sync.Mutex // Serializes updates of the pools; taken before mu.

	mu             sync.Mutex
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
