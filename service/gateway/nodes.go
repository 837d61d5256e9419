package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/service/peer"
	"github.com/drumpath/drumpath/service/ratelimit"
	"github.com/drumpath/drumpath/service/suspects"
)

const (
	// discoverInterval is how often a node that knows no other node reads the list of
	// nodes in the platform's store.
	discoverInterval = time.Second
	// rediscoverInterval is how often a node that knows others reads that list, per
	// rediscoverNodes nodes known, so that the load on the store does not grow with the
	// fleet. In this way two groups that were partitioned when they started find each
	// other.
	rediscoverInterval = 15 * time.Second
	rediscoverNodes    = 10
	// discoverRetryDelay is the pause after a failed read for a node that knows others:
	// calls to the store are paid for, and it does not need the list soon.
	discoverRetryDelay = 5 * time.Second
	// seedProbeInterval and seedProbeBatches spread the first probes of all nodes in the
	// store's list: they are sent within memberResponseTime, with time left for the
	// answers.
	seedProbeInterval = 50 * time.Millisecond
	seedProbeBatches  = 10
)

// nodes exchanges state with the other nodes: membership, requests in flight, replicas to
// avoid, and the newest weights.
type nodes struct {
	self       control.Member
	regions    map[string]string // By data hall.
	coldShares *coldShares
	// suspects loads the blocked requests that the nodes' table also lists.
	suspects     *suspects.Suspects
	rateLimits   *ratelimit.Limits
	members      *control.Members
	probes       *peer.Probes
	store        Store
	siteState    *SiteState
	cacheIndex   *route.CacheIndex
	log          *slog.Logger
	loadsDue     chan struct{} // Signals that the loads must be sent soon; capacity 1.
	incarnation  uint64        // Distinguishes this run of the node from earlier ones.
	notesDropped atomic.Int64  // Datagrams that could not be decoded.
	mergeMu      sync.Mutex    // Serializes updates of the pools; taken before mu.

	mu              sync.Mutex
	announced       bool
	membersReadAt   time.Time
	nextMembersRead time.Time        // The list of nodes is not read before this.
	unprobed        []netip.AddrPort // Known by address only, probed probeBatch at a time.
	probeBatch      int
	readFailedSince time.Time // Since when the list of nodes can't be read, zero if it can.
	loads           loadState
	pendingUpdates  []replicaUpdate // Sent together in the next batch.
}

// nodeRow is the row that a node writes so that nodes that start later find it.
type nodeRow struct {
	Peer netip.AddrPort `json:"peer"`
}

// probe sends membership probes; the timer service calls it.
func (n *nodes) probe(context.Context) {
	n.probes.Send(n.members.Tick(time.Now(), 0))
}

// probeIndirectly asks other nodes to probe members that have not answered.
func (n *nodes) probeIndirectly(context.Context) {
	n.probes.Send(n.members.IndirectProbes(time.Now(), 0))
}

// discover writes this node's address to the platform's store and reads those of the others,
// until it has done so and knows other nodes, and then again from time to time.
func (n *nodes) discover(ctx context.Context) {
	now := boottime.Now()
	known := n.members.View().Counts().Working
	n.mu.Lock()
	interval := rediscoverInterval * time.Duration(max(1, known/rediscoverNodes))
	due := !n.announced || known <= 1 || now.Sub(n.membersReadAt) >= interval
	due = due && !now.Before(n.nextMembersRead)
	n.mu.Unlock()
	if !due {
		return
	}
	rows, err := n.readNodes(ctx)
	n.mu.Lock()
	wasReadable := n.readFailedSince.IsZero()
	failedFor := now.Sub(n.readFailedSince)
	if err != nil {
		if wasReadable {
			n.readFailedSince = now
		}
		if known > 1 {
			n.nextMembersRead = now.Add(discoverRetryDelay)
		}
	} else {
		n.membersReadAt, n.readFailedSince = now, time.Time{}
	}
	n.mu.Unlock()
	switch {
	case err == nil:
		if !wasReadable {
			n.log.Info("nodes read again", "away", failedFor)
		}
		n.addSeeds(rows)
		n.coldShares.markMembersRead(now)
	case wasReadable:
		n.log.Warn("nodes not read", "err", err)
	}
}

// readNodes writes this node's address and reads the others' rows.
func (n *nodes) readNodes(ctx context.Context) (rows []site.Row, err error) {
	if err := n.announce(ctx); err != nil {
		return nil, eris.Wrap(err, "write this node's address")
	}
	l, err := n.store.List(ctx, site.TableNodes)
	return l.Rows, eris.Wrap(err, "read addresses of nodes")
}

// announce writes this node's address unless that is done.
func (n *nodes) announce(ctx context.Context) error {
	n.mu.Lock()
	done := n.announced
	n.mu.Unlock()
	if done {
		return nil
	}
	body, err := json.Marshal(nodeRow{Peer: n.self.Peer})
	if err != nil {
		return err
	}
	if err := n.store.PutUnconditionally(ctx, site.TableNodes, n.self.Name, body); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.announced = true
	return nil
}

// addSeeds loads the rows of the nodes' table and begins to probe the nodes in it.
func (n *nodes) addSeeds(rows []site.Row) {
	var unprobed []netip.AddrPort
	for _, r := range rows {
		if r.Key == suspects.BlockedRowKey {
			n.suspects.LoadRow(r, boottime.Now())
			continue
		}
		var row nodeRow
		if err := json.Unmarshal(r.Value, &row); err != nil {
			n.log.Error("node row can't be decoded", "row", r.Key, "err", err)
			continue
		}
		if r.Key != n.self.Name && row.Peer.IsValid() {
			n.members.AddSeed(row.Peer)
			unprobed = append(unprobed, row.Peer)
		}
	}
	n.suspects.MarkLearned()
	rand.Shuffle(len(unprobed), func(i, j int) { unprobed[i], unprobed[j] = unprobed[j], unprobed[i] })
	n.mu.Lock()
	n.unprobed, n.probeBatch = unprobed, (len(unprobed)+seedProbeBatches-1)/seedProbeBatches
	n.mu.Unlock()
	n.probeSeeds(context.Background())
}

// probeSeeds probes the next batch of nodes of which only the address is known; the timer
// service calls it. Nodes that have contacted this one meanwhile are left out: if all nodes
// start together, each pair exchanges one probe instead of two.
func (n *nodes) probeSeeds(context.Context) {
	n.mu.Lock()
	batch := n.unprobed[:min(len(n.unprobed), n.probeBatch)]
	n.unprobed = n.unprobed[len(batch):]
	n.mu.Unlock()
	if len(batch) > 0 {
		n.probes.Send(n.members.ProbeSeeds(batch))
	}
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

// suspectNotifier sends the notes about suspected requests to other nodes.
type suspectNotifier struct{ n *nodes }

// SendNote implements suspects.Notifier.
func (s suspectNotifier) SendNote(to []netip.AddrPort, method string, params any) int {
	return s.n.sendNote(to, method, params)
}

// Recipients implements suspects.Notifier.
func (s suspectNotifier) Recipients(try int) (direct, relays []netip.AddrPort) {
	return s.n.updateRecipients(try)
}

// HallPeers implements suspects.Notifier.
func (s suspectNotifier) HallPeers() []netip.AddrPort { return s.n.hallPeers() }
