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
	// discoverInterval is how often a node that knows no other looks for some.
	discoverInterval = time.Second
	// rediscoverInterval is how often one of ten nodes looks that knows others, and more
	// seldom the more there are: two halves that were cut apart when they started
	// find each other so.
	rediscoverInterval = 15 * time.Second
	rediscoverNodes    = 10
	// discoverRetryDelay is the pause after a failure for a node that knows others: each
	// call is paid for, and it needs no more of them soon.
	discoverRetryDelay = 5 * time.Second
	// seedProbeInterval and greetParts are in what time a node greets all others that the store
	// names: within meetTime, with time left for their answers.
	seedProbeInterval = 50 * time.Millisecond
	seedProbeBatches  = 10
)

// nodes is what the nodes tell each other: who there is, what each has in flight,
// which replicas to pass over, and the newest weights.
type nodes struct {
	self       control.Member
	regions    map[string]string // Of data halls.
	coldShares *coldShares
	// suspects are told of what the nodes' table has of them.
	suspects     *suspects.Suspects
	rateLimits   *ratelimit.Limits
	members      *control.Members
	probes       *peer.Probes
	store        Store
	siteState    *SiteState
	cacheIndex   *route.CacheIndex
	log          *slog.Logger
	loadsDue     chan struct{} // Holds one when the state is to be told soon.
	incarnation  uint64        // Tells this life of the node from others.
	notesDropped atomic.Int64  // Notes that could not be read.
	mergeMu      sync.Mutex    // Has the pools told one sum after the other; taken before mu.

	mu              sync.Mutex
	announced       bool
	membersReadAt   time.Time
	nextMembersRead time.Time        // Not looked for others before.
	unprobed        []netip.AddrPort // Yet to be greeted, greetEach at a time.
	probeBatch      int
	readFailedSince time.Time // Since when the store does not tell the nodes, zero if it does.
	loads           loadState
	pendingUpdates  []replicaUpdate // To be told soon.
}

// nodeRow is what a node writes of itself for those that start later.
type nodeRow struct {
	Peer netip.AddrPort `json:"peer"`
}

// probe sends membership probes; the timer service calls it.
func (n *nodes) probe(context.Context) {
	n.probes.Send(n.members.Tick(time.Now(), 0))
}

func (n *nodes) probeIndirectly(context.Context) {
	n.probes.Send(n.members.IndirectProbes(time.Now(), 0))
}

// discover writes this node's address to the store and learns those of others, as
// long as it has not, or knows nobody.
func (n *nodes) discover(ctx context.Context) {
	now := boottime.Now()
	known := len(n.members.Working())
	n.mu.Lock()
	again := rediscoverInterval * time.Duration(max(1, known/rediscoverNodes))
	due := !n.announced || known <= 1 || now.Sub(n.membersReadAt) >= again
	due = due && !now.Before(n.nextMembersRead)
	n.mu.Unlock()
	if !due {
		return
	}
	rows, err := n.readNodes(ctx)
	n.mu.Lock()
	firstFailure := n.readFailedSince.IsZero()
	failedFor := now.Sub(n.readFailedSince)
	if err != nil {
		if firstFailure {
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
		if !firstFailure {
			n.log.Info("nodes read again", "away", failedFor)
		}
		n.addSeeds(rows)
		n.coldShares.markMembersRead(now)
	case firstFailure:
		n.log.Warn("nodes not read", "err", err)
	}
}

// readNodes writes this node's address and reads those of others.
func (n *nodes) readNodes(ctx context.Context) (rows []site.Row, err error) {
	if err := n.announce(ctx); err != nil {
		return nil, eris.Wrap(err, "write the own address")
	}
	l, err := n.store.List(ctx, site.TableNodes)
	return l.Rows, eris.Wrap(err, "read the nodes' addresses")
}

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
	if err := n.store.Announce(ctx, site.TableNodes, n.self.Name, body); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.announced = true
	return nil
}

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

// probeSeeds greets the next ones of the nodes of which only the address is known; the timer
// service calls it. Who has been heard of meanwhile is left out: where all nodes start
// together, each pair greets once instead of both ways.
func (n *nodes) probeSeeds(context.Context) {
	n.mu.Lock()
	batch := n.unprobed[:min(len(n.unprobed), n.probeBatch)]
	n.unprobed = n.unprobed[len(batch):]
	n.mu.Unlock()
	if len(batch) > 0 {
		n.probes.Send(n.members.ProbeSeeds(batch))
	}
}

// announceStop tells the others that this node is stopping.
func (n *nodes) announceStop() { n.probes.Send(n.members.Leave(time.Now())) }

// count is how many nodes there are, as far as is known.
func (n *nodes) count() int { return max(1, len(n.members.Working())) }

// entryAddrs lists where callers of a data hall are to go: to its own nodes, to those of its
// region if it has too few that are well, or else to all, where what they ask for has homes
// to those of these regions.
func (n *nodes) entryAddrs(hall, region string, homes []string) []netip.AddrPort {
	view := n.members.View()
	candidates := view.Hall(hall).Alive
	if region == "" {
		region = n.regions[hall]
	}
	if len(candidates) < minEntries {
		candidates = longer(n.inRegions(view.Alive, []string{region}), candidates)
	}
	if len(candidates) < minEntries {
		candidates = longer(n.inRegions(view.Alive, homes), candidates)
	}
	if len(candidates) == 0 || len(candidates) < minEntries && len(homes) == 0 {
		candidates = view.Alive
	}
	addrs := make([]netip.AddrPort, len(candidates))
	for i, m := range candidates {
		addrs[i] = m.Entry
	}
	return addrs
}

// inRegions lists those of some nodes that stand in one of the regions.
func (n *nodes) inRegions(list []control.Member, regions []string) (in []control.Member) {
	for _, m := range list {
		if region := n.regions[m.DataHall]; region != "" && slices.Contains(regions, region) {
			in = append(in, m)
		}
	}
	return in
}

// longer is the larger one of two lists, the second if they are alike.
func longer(a, b []control.Member) []control.Member {
	if len(a) > len(b) {
		return a
	}
	return b
}

// minEntries is how many nodes of its own data hall a caller is to have at least:
// with one alone it would have nowhere to go when that one fails.
const minEntries = 2

// suspectNotifier tells other nodes of suspects.
type suspectNotifier struct{ n *nodes }

// SendNote implements suspects.Notifier.
func (t suspectNotifier) SendNote(to []netip.AddrPort, method string, params any) int {
	return t.n.sendNote(to, method, params)
}

// Recipients implements suspects.Notifier.
func (t suspectNotifier) Recipients(try int) (direct, relays []netip.AddrPort) {
	return t.n.updateRecipients(try)
}

// HallPeers implements suspects.Notifier.
func (t suspectNotifier) HallPeers() []netip.AddrPort { return t.n.hallPeers(t.n.self.DataHall) }
