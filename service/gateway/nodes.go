package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/service/peer"
)

const (
	// noteState is the note by which nodes tell what they have in flight.
	noteState = "gateway.state"
	// stateTerm is after how long what another node told is forgotten.
	stateTerm = 1200 * time.Millisecond
	// meetEvery is how often a node that knows no other looks for some.
	meetEvery = time.Second
	// meetAgain is how often one looks that knows others: two halves that were
	// cut apart when they started find each other so.
	meetAgain = 15 * time.Second
)

// nodes is what the nodes tell each other: who there is, what each has in flight,
// which replicas to pass over, and the newest weights.
type nodes struct {
	self    control.Member
	members *control.Members
	probes  *peer.Probes
	store   Store
	beliefs *Beliefs
	kept    *route.Kept
	log     *slog.Logger
	due     chan struct{} // Holds one when the state is to be told soon.

	mu        sync.Mutex
	seq       uint64
	states    map[string]heardState
	steered   map[string]time.Time // Replicas to pass over, and until when.
	swaps     []swapped
	announced bool
	met       time.Time
}

// nodeState is the note's parameters. Its JSON names are short, as it is sent
// several times a second.
type nodeState struct {
	From  string            `json:"f"`
	Boot  uint64            `json:"b"`
	Seq   uint64            `json:"q"`
	Loads map[string][2]int `json:"l,omitempty"` // Requests and tokens, by replica.
	Steer map[string]int64  `json:"s,omitempty"` // Milliseconds, by replica.
	Known map[string]int64  `json:"w,omitempty"` // Newest weights, by model.
	Swaps []swapped         `json:"x,omitempty"`
	Moves map[string]int64  `json:"m,omitempty"` // Bytes of all moves asked for, by store.
}

// swapped says that a replica has just got other weights.
type swapped struct {
	Replica string    `json:"r"`
	Model   string    `json:"m"`
	Version int64     `json:"v"`
	At      time.Time `json:"-"`
}

// swappedTerm is for how long that is told; the list of upstreams tells it too.
const swappedTerm = 2 * time.Second

type heardState struct {
	nodeState
	at time.Time
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
	n.probes.Send(n.members.Late(time.Now(), 0))
}

// meet writes this node's address to the store and learns those of others, as
// long as it has not, or knows nobody.
func (n *nodes) meet(ctx context.Context) {
	now := time.Now()
	n.mu.Lock()
	alone := len(n.members.Working()) <= 1
	due := !n.announced || alone || now.Sub(n.met) >= meetAgain
	n.mu.Unlock()
	if !due {
		return
	}
	if err := n.announce(ctx); err != nil {
		n.log.Warn("address not written", "err", err)
		return
	}
	l, err := n.store.List(ctx, site.TableNodes)
	if err != nil {
		n.log.Warn("nodes not read", "err", err)
		return
	}
	n.mu.Lock()
	n.met = now
	n.mu.Unlock()
	n.greet(l.Rows)
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
		var row nodeRow
		if err := json.Unmarshal(r.Value, &row); err != nil {
			n.log.Error("node row can't be read", "row", r.Key, "err", err)
			continue
		}
		if r.Key != n.self.Name && row.Peer.IsValid() {
			n.members.AddSeed(row.Peer)
			strangers = append(strangers, row.Peer)
		}
	}
	n.probes.Send(n.members.Greet(strangers))
}

// tellEach is for how long one state is kept from being followed by another, for
// each other node: so the cost of telling is bounded whatever the fleet's size.
const tellEach = 3 * time.Millisecond

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
		n.tell()
		sleep(ctx, min(every, time.Duration(n.count())*tellEach))
	}
}

// tell sends this node's state to the others.
func (n *nodes) tell() {
	now := time.Now()
	state := nodeState{
		From:  n.self.Name,
		Boot:  n.members.Self().Incarnation,
		Known: n.beliefs.NewestWeights(),
		Loads: map[string][2]int{},
		Steer: map[string]int64{},
		Moves: n.kept.Moved(),
	}
	for _, p := range n.beliefs.Pools() {
		for id, l := range p.Loads() {
			state.Loads[id] = [2]int{l.Requests, l.Tokens}
		}
	}
	n.mu.Lock()
	n.seq++
	state.Seq = n.seq
	for id, until := range n.steered {
		if left := until.Sub(now); left > 0 {
			state.Steer[id] = left.Milliseconds()
		} else {
			delete(n.steered, id)
		}
	}
	n.swaps = slices.DeleteFunc(n.swaps, func(w swapped) bool { return now.Sub(w.At) > swappedTerm })
	state.Swaps = slices.Clone(n.swaps)
	n.mu.Unlock()
	if err := n.probes.Note(n.others(), noteState, state); err != nil {
		n.log.Error("state not told", "err", err)
	}
	n.merge(now)
}

// others are the addresses of the other nodes that may live.
func (n *nodes) others() []netip.AddrPort {
	var list []netip.AddrPort
	for _, m := range n.members.All() {
		if m.Name != n.self.Name && m.State != control.MemberDead {
			list = append(list, m.Peer)
		}
	}
	return list
}

// hear takes in another node's state.
func (n *nodes) hear(params json.RawMessage) {
	var s nodeState
	if err := json.Unmarshal(params, &s); err != nil {
		n.log.Debug("state not understood", "err", err)
		return
	}
	now := time.Now()
	n.mu.Lock()
	old := n.states[s.From]
	newer := s.Boot > old.Boot || s.Boot == old.Boot && s.Seq > old.Seq || now.Sub(old.at) > stateTerm
	if newer && s.From != n.self.Name {
		n.states[s.From] = heardState{nodeState: s, at: now}
	}
	n.mu.Unlock()
	if !newer {
		return
	}
	n.merge(now)
	for store, bytes := range s.Moves {
		if more := bytes - old.Moves[store]; s.Boot == old.Boot && more > 0 {
			n.kept.AddPeer(store, more, now)
		}
	}
	for model, version := range s.Known {
		n.beliefs.HearWeights(model, version, now)
	}
	for _, p := range n.beliefs.Pools() {
		for _, w := range s.Swaps {
			p.Serves(w.Replica, w.Model, w.Version)
		}
		for id, ms := range s.Steer {
			p.Avoid(id, now.Add(time.Duration(ms)*time.Millisecond))
		}
	}
}

// merge adds up what the others have in flight.
func (n *nodes) merge(now time.Time) {
	sum := map[string]route.PeerLoad{}
	n.mu.Lock()
	for name, s := range n.states {
		if now.Sub(s.at) > stateTerm {
			delete(n.states, name)
			continue
		}
		for id, l := range s.Loads {
			v := sum[id]
			v.Requests += l[0]
			v.Tokens += l[1]
			sum[id] = v
		}
	}
	n.mu.Unlock()
	for _, p := range n.beliefs.Pools() {
		p.SetPeers(sum)
	}
}

// steer has all nodes pass a replica over for a while, beginning at once.
func (n *nodes) steer(id string, d time.Duration) {
	now := time.Now()
	n.mu.Lock()
	n.steered[id] = now.Add(d)
	n.mu.Unlock()
	for _, p := range n.beliefs.Pools() {
		p.Avoid(id, now.Add(d))
	}
	n.soon()
}

// served tells all nodes that a replica has got other weights.
func (n *nodes) served(id, model string, version int64) {
	n.mu.Lock()
	delete(n.steered, id)
	n.swaps = append(n.swaps, swapped{Replica: id, Model: model, Version: version, At: time.Now()})
	n.mu.Unlock()
	n.soon()
}

// leave tells the others that this node is stopping.
func (n *nodes) leave() { n.probes.Send(n.members.Leave(time.Now())) }

// count is how many nodes there are, as far as is known.
func (n *nodes) count() int { return max(1, len(n.members.Working())) }

// entries lists where callers of a data hall are to go: to its own nodes, or to
// all if it has too few that are well.
func (n *nodes) entries(hall string) []netip.AddrPort {
	var near, all []netip.AddrPort
	for _, m := range n.members.All() {
		if m.State != control.MemberAlive {
			continue
		}
		all = append(all, m.Entry)
		if m.DataHall == hall {
			near = append(near, m.Entry)
		}
	}
	if len(near) >= leastNear {
		return near
	}
	return all
}

// leastNear is how many nodes of its own data hall a caller is to have at least:
// with one alone it would have nowhere to go when that one fails.
const leastNear = 2
