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
	// meetEvery is how often a node that knows no other looks for some.
	meetEvery = time.Second
	// meetAgain is how often one of ten nodes looks that knows others, and more
	// seldom the more there are: two halves that were cut apart when they started
	// find each other so.
	meetAgain = 15 * time.Second
	meetNodes = 10
	// meetRetry is the pause after a failure for a node that knows others: each
	// call is paid for, and it needs no more of them soon.
	meetRetry = 5 * time.Second
	// greetEvery and greetParts are in what time a node greets all others that the store
	// names: within meetTime, with time left for their answers.
	greetEvery = 50 * time.Millisecond
	greetParts = 10
)

// nodes is what the nodes tell each other: who there is, what each has in flight,
// which replicas to pass over, and the newest weights.
type nodes struct {
	self    control.Member
	regions map[string]string // Of data halls.
	shares  *coldShares
	// suspects are told of what the nodes' table has of them.
	suspects   *suspects.Suspects
	rateLimits *ratelimit.Limits
	members    *control.Members
	probes     *peer.Probes
	store      Store
	beliefs    *SiteState
	kept       *route.CacheIndex
	log        *slog.Logger
	due        chan struct{} // Holds one when the state is to be told soon.
	boot       uint64        // Tells this life of the node from others.
	dropped    atomic.Int64  // Notes that could not be read.
	mergeMu    sync.Mutex    // Has the pools told one sum after the other; taken before mu.

	mu        sync.Mutex
	announced bool
	met       time.Time
	meetNext  time.Time        // Not looked for others before.
	strangers []netip.AddrPort // Yet to be greeted, greetEach at a time.
	greetEach int
	missed    time.Time // Since when the store does not tell the nodes, zero if it does.
	loads     loads
	gathered  []news // To be told soon.
}

// nodeRow is what a node writes of itself for those that start later.
type nodeRow struct {
	Peer netip.AddrPort `json:"peer"`
}

// probe sends membership probes; the timer service calls it.
func (n *nodes) probe(context.Context) {
	n.probes.Send(n.members.Tick(time.Now(), 0))
}

func (n *nodes) probeLate(context.Context) {
	n.probes.Send(n.members.IndirectProbes(time.Now(), 0))
}

// meet writes this node's address to the store and learns those of others, as
// long as it has not, or knows nobody.
func (n *nodes) meet(ctx context.Context) {
	now := boottime.Now()
	known := len(n.members.Working())
	n.mu.Lock()
	again := meetAgain * time.Duration(max(1, known/meetNodes))
	due := !n.announced || known <= 1 || now.Sub(n.met) >= again
	due = due && !now.Before(n.meetNext)
	n.mu.Unlock()
	if !due {
		return
	}
	rows, err := n.readNodes(ctx)
	n.mu.Lock()
	first := n.missed.IsZero()
	missed := now.Sub(n.missed)
	if err != nil {
		if first {
			n.missed = now
		}
		if known > 1 {
			n.meetNext = now.Add(meetRetry)
		}
	} else {
		n.met, n.missed = now, time.Time{}
	}
	n.mu.Unlock()
	switch {
	case err == nil:
		if !first {
			n.log.Info("nodes read again", "away", missed)
		}
		n.greet(rows)
		n.shares.haveMet(now)
	case first:
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

func (n *nodes) greet(rows []site.Row) {
	var strangers []netip.AddrPort
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
			strangers = append(strangers, row.Peer)
		}
	}
	n.suspects.MarkLearned()
	rand.Shuffle(len(strangers), func(i, j int) { strangers[i], strangers[j] = strangers[j], strangers[i] })
	n.mu.Lock()
	n.strangers, n.greetEach = strangers, (len(strangers)+greetParts-1)/greetParts
	n.mu.Unlock()
	n.greetSome(context.Background())
}

// greetSome greets the next ones of the nodes of which only the address is known; the timer
// service calls it. Who has been heard of meanwhile is left out: where all nodes start
// together, each pair greets once instead of both ways.
func (n *nodes) greetSome(context.Context) {
	n.mu.Lock()
	some := n.strangers[:min(len(n.strangers), n.greetEach)]
	n.strangers = n.strangers[len(some):]
	n.mu.Unlock()
	if len(some) > 0 {
		n.probes.Send(n.members.ProbeSeeds(some))
	}
}

// announceStop tells the others that this node is stopping.
func (n *nodes) announceStop() { n.probes.Send(n.members.Leave(time.Now())) }

// count is how many nodes there are, as far as is known.
func (n *nodes) count() int { return max(1, len(n.members.Working())) }

// entries lists where callers of a data hall are to go: to its own nodes, to those of its
// region if it has too few that are well, or else to all, where what they ask for has homes
// to those of these regions.
func (n *nodes) entries(hall, region string, homes []string) []netip.AddrPort {
	view := n.members.View()
	list := view.Hall(hall).Alive
	if region == "" {
		region = n.regions[hall]
	}
	if len(list) < leastNear {
		list = larger(n.inRegions(view.Alive, []string{region}), list)
	}
	if len(list) < leastNear {
		list = larger(n.inRegions(view.Alive, homes), list)
	}
	if len(list) == 0 || len(list) < leastNear && len(homes) == 0 {
		list = view.Alive
	}
	addrs := make([]netip.AddrPort, len(list))
	for i, m := range list {
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

// larger is the larger one of two lists, the second if they are alike.
func larger(more, list []control.Member) []control.Member {
	if len(more) > len(list) {
		return more
	}
	return list
}

// leastNear is how many nodes of its own data hall a caller is to have at least:
// with one alone it would have nowhere to go when that one fails.
const leastNear = 2

// suspectTeller tells other nodes of suspects.
type suspectTeller struct{ n *nodes }

// SendNote implements suspects.Notifier.
func (t suspectTeller) SendNote(to []netip.AddrPort, method string, params any) int {
	return t.n.note(to, method, params)
}

// Recipients implements suspects.Notifier.
func (t suspectTeller) Recipients(try int) (direct, relays []netip.AddrPort) {
	return t.n.newsAudience(try)
}

// HallPeers implements suspects.Notifier.
func (t suspectTeller) HallPeers() []netip.AddrPort { return t.n.inHall(t.n.self.DataHall) }
