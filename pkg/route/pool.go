package route

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/rendezvous"
	"github.com/drumpath/drumpath/pkg/site"
)

// Pool is this node's view of one service's replicas, and picks where requests
// run.
//
// A pick weighs, for each replica, the work that is known to wait there (this
// node's own requests, and what other nodes tell of theirs), the tokens that it
// would have to read, how late it has been lately, and the way. All of it is in
// time, so the parts need no weights against each other.
type Pool struct {
	mu       sync.Mutex
	rng      *rand.Rand
	hall     string // Of this node.
	replicas map[string]*member
	list     []*member
	// perToken is the learnt time to read one token, and base that of an answer
	// with little to read, in seconds.
	perToken float64
	base     float64
	meanRun  time.Duration // Of requests without a prompt.
	failing  float64       // Mean share of failures over all replicas.
	// late is the mean over all replicas of the time taken over the time expected.
	late     float64
	memory   memoryUse
	capacity int // Of an engine's memory, in tokens; 0 if not known.
	// coldMost is how many requests a cold replica may get from all nodes in a second, if
	// coldLimited, and coldShares tells this node's share.
	coldLimited bool
	coldMost    int
	coldShares  ColdShares
	// lostInRow counts replicas that were not reached since one last answered.
	lostInRow int
	without   config.WithoutSettings
	// candidates is kept for choose.
	candidates []candidate
}

// member is one replica of a pool.
type member struct {
	site.Upstream
	hash uint64 // Of the ID.
	// key is of this start of the replica: what was told of an earlier one is not its.
	key     Key
	flights map[*Flight]struct{} // Own requests in flight.
	pending Banded               // Tokens of those without a first answer byte.
	memory  int                  // Tokens that they hold of an engine's memory.
	others  PeerLoad             // In flight at other nodes.
	late    float64              // Mean of the time taken over the time expected.
	lateAt  time.Time
	failing float64 // Mean share of failures.
	outcome outlier
	avoid   time.Time // Until when it is passed over if others can take over.
	steered time.Time // Until when its weights are expected to be being replaced.
	cold    time.Time // Bears little until.
	// presumed is until when the replica is taken to be cold though it has not said so:
	// it was not reached, and may have started again.
	presumed time.Time
	sends    []time.Time // Of requests within coldWindow, if there is a limit.
}

// PeerLoad is what other nodes have in flight at a replica.
type PeerLoad struct {
	Requests int
	Tokens   Banded // To be read.
	Memory   int    // Tokens held of an engine's memory.
}

// Plus is the sum of two loads.
func (l PeerLoad) Plus(o PeerLoad) PeerLoad {
	return PeerLoad{Requests: l.Requests + o.Requests, Tokens: l.Tokens.Plus(o.Tokens), Memory: l.Memory + o.Memory}
}

// Minus takes another load away; nothing becomes less than none.
func (l PeerLoad) Minus(o PeerLoad) PeerLoad {
	return PeerLoad{
		Requests: max(0, l.Requests-o.Requests),
		Tokens:   l.Tokens.Minus(o.Tokens),
		Memory:   max(0, l.Memory-o.Memory),
	}
}

const (
	// startPerToken is the time to read a token that is assumed before any was
	// measured: some 20,000 tokens a second.
	startPerToken = 50e-6
	// startBase is the time to the first byte of a prompt with little to read
	// that is assumed before any was measured.
	startBase = 0.03
	// startRun is how long a request without a prompt is assumed to take.
	startRun = 50 * time.Millisecond
	// learnShare is the weight of the newest sample in learnt means.
	learnShare = 0.05
	// lateShare is the weight of the newest sample in a replica's lateness.
	lateShare = 0.2
	// lateMemory is how fast an unused replica's lateness is forgotten.
	lateMemory = 5 * time.Second
	// leastExpected keeps short requests from looking late for the time that
	// any takes.
	leastExpected = 20 * time.Millisecond
	mostLateness  = 20.0
	// hallTime is the price of another data hall: the way there and back, and
	// what the bytes between halls cost, in the time that is worth the same.
	hallTime = 4 * time.Millisecond
	// oldWeightsTime is the price of weights that are to be replaced.
	oldWeightsTime = 100 * time.Millisecond
	// runTime is the price of each request that runs at a replica: the others'
	// tokens come more slowly for it.
	runTime = 500 * time.Microsecond
	// homeShare is the share of a prompt's shared tokens that its home replica
	// is assumed to still have.
	homeShare = 0.1
)

// NewPool returns a pool without replicas for a node in the given data hall.
func NewPool(hall string, rng *rand.Rand) *Pool {
	return &Pool{hall: hall, rng: rng, replicas: map[string]*member{}, perToken: startPerToken, base: startBase, meanRun: startRun, late: 1}
}

// Without switches mechanisms off; it is to be called before the pool is used.
func (p *Pool) Without(w config.WithoutSettings) { p.without = w }

// Configure sets which replicas there are; what is known of those that stay is
// kept.
func (p *Pool) Configure(list []site.Upstream, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.replicas
	p.replicas = make(map[string]*member, len(list))
	p.list = p.list[:0]
	for _, u := range list {
		m, ok := old[u.ID]
		if !ok || m.OlderStart(&u) {
			// What is known of an earlier start goes with it: its weights, its lateness,
			// its failures and what was in flight there.
			m = &member{hash: rendezvous.Hash(u.ID), key: KeyOf(u.StartKey()), flights: map[*Flight]struct{}{}, late: 1}
		}
		weights := m.Weights
		m.Upstream = u
		// What answers have told is newer than the list.
		for model, v := range weights {
			if v > u.Weights[model] {
				m.setWeights(model, v)
			}
		}
		if u.ColdUntil.After(now) {
			m.cold = u.ColdUntil
		}
		p.replicas[u.ID] = m
		p.list = append(p.list, m)
	}
	slices.SortFunc(p.list, func(a, b *member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

// setWeights notes a version; the map is replaced, as the old one is shared.
func (m *member) setWeights(model string, v int64) {
	next := make(map[string]int64, len(m.Weights)+1)
	for k, old := range m.Weights {
		next[k] = old
	}
	next[model] = v
	m.Weights = next
}

// SetPeers sets what other nodes have in flight, by replica.
func (p *Pool) SetPeers(loads map[Key]PeerLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.list {
		m.others = loads[m.key]
	}
}

// Avoid has a replica passed over for a while where others can take over.
func (p *Pool) Avoid(id string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.replicas[id]; ok && until.After(m.avoid) && !p.without.Avoidance {
		m.avoid = until
	}
}

// Whom names a replica of which something is told.
type Whom struct {
	ID string
	// Started tells its start, zero if that is not known; what is told of another start
	// than the one that this node knows is void.
	Started time.Time
}

// WhomOf names an upstream.
func WhomOf(u *site.Upstream) Whom { return Whom{ID: u.ID, Started: u.Started} }

// find returns the replica that is meant, if this node knows that start of it.
func (p *Pool) find(w Whom) (m *member, ok bool) {
	m, ok = p.replicas[w.ID]
	if ok && !w.Started.IsZero() && !m.Started.IsZero() && !w.Started.Equal(m.Started) {
		return nil, false
	}
	return m, ok
}

// Steer has a replica passed over while it gets weights of a version. Word of that
// may come after word that it has them, and is void then.
func (p *Pool) Steer(w Whom, model string, version int64, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.find(w)
	if !ok || m.Weights[model] >= version {
		return
	}
	if until.After(m.avoid) && !p.without.Steering {
		m.avoid = until
	}
	if until.After(m.steered) {
		m.steered = until
	}
}

// Steered is how many replicas are passed over as their weights are replaced.
func (p *Pool) Steered(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, m := range p.list {
		if now.Before(m.steered) {
			n++
		}
	}
	return n
}

// Serves notes the version of a model's weights that a replica has, as it was
// just seen.
func (p *Pool) Serves(w Whom, model string, version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.find(w)
	if ok && version > 0 && m.Weights[model] != version {
		m.setWeights(model, version)
		m.avoid, m.steered = time.Time{}, time.Time{}
	}
}

// ReplicaLoad is what is in flight at one replica.
type ReplicaLoad struct {
	Key  Key
	Load PeerLoad
}

// AppendLoads adds what this node has in flight to a list.
func (p *Pool) AppendLoads(list []ReplicaLoad) []ReplicaLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.list {
		if len(m.flights) > 0 {
			load := PeerLoad{Requests: len(m.flights), Tokens: m.pending, Memory: m.memory}
			list = append(list, ReplicaLoad{Key: m.key, Load: load})
		}
	}
	return list
}

// Pick chooses a replica; ok is false if none may take the request.
func (p *Pool) Pick(n *Need, now time.Time) (c Choice, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.capacity = max(p.capacity, n.Capacity)
	home := p.home(n)
	chosen := p.choose(n, home, now)
	if chosen == nil {
		return Choice{}, false
	}
	if n.Send {
		p.noteSend(chosen, now)
	}
	offer := n.Offers[chosen.ID]
	return Choice{
		Upstream: chosen.Upstream,
		Weights:  chosen.Weights[n.Model],
		Expected: seconds(p.firstByte(chosen, n, chosen == home, p.lateness(chosen, now), now)),
		Plain:    seconds(p.firstByte(chosen, n, chosen == home, 1, now)),
		Fetch:    offer.Wait,
		Read:     int(n.toRead(offer, chosen == home)),
		Memory:   n.Memory,
		Ahead:    chosen.ahead(n),
		Band:     bandOf(n.Priority),
		Wait:     seconds(p.promptWait(chosen, n, now)),
	}, true
}

// usable says whether a replica may take a request at all.
func (m *member) usable(n *Need) bool {
	if m.Draining || m.Evacuated || !n.mayRunIn(m.Region) || slices.Contains(n.Exclude, m.ID) {
		return false
	}
	if n.Model == "" || len(m.Weights) == 0 {
		return true
	}
	version, serves := m.Weights[n.Model]
	return serves && version >= n.Oldest
}

// passedOver says whether a replica is left out as long as others are there.
func (m *member) passedOver(now time.Time) bool {
	return now.Before(m.avoid) || m.outcome.ejected(now)
}

// home is the replica to which a prompt's shared parts belong: all nodes take
// the same one without a word, so it is the likeliest to have them.
func (p *Pool) home(n *Need) *member {
	if n.Affinity == 0 || p.without.Home {
		return nil
	}
	var best *member
	weight := uint64(0)
	for _, m := range p.list {
		if m.Draining {
			continue
		}
		if w := rendezvous.Weight(n.Affinity, m.hash); best == nil || w > weight {
			best, weight = m, w
		}
	}
	return best
}

// idleCost is the price of a replica at which nothing waits, in seconds.
func (p *Pool) idleCost(m *member, n *Need, home bool, now time.Time) float64 {
	cost := p.idleTime(m, n, home, p.lateness(m, now))
	if m.DataHall != p.hall {
		cost += hallTime.Seconds()
	}
	if n.Newest > 0 && m.Weights[n.Model] < n.Newest {
		cost += oldWeightsTime.Seconds() * n.Urgency
	}
	cost += p.warmCost(m, now).Seconds()
	return cost
}

// firstByte is the expected time to the first byte of the answer, in seconds.
func (p *Pool) firstByte(m *member, n *Need, home bool, late float64, now time.Time) float64 {
	return p.idleTime(m, n, home, late) + p.busyTime(m, n, late, now)
}

// idleTime is the part of firstByte that a replica at which nothing waits would take.
func (p *Pool) idleTime(m *member, n *Need, home bool, late float64) float64 {
	if n.Tokens == 0 {
		return p.meanRun.Seconds() * late
	}
	offer := n.Offers[m.ID]
	return (p.base+n.toRead(offer, home)*p.perToken)*late + offer.Wait.Seconds()
}

// busyTime is the part of firstByte that comes from others at the replica.
func (p *Pool) busyTime(m *member, n *Need, late float64, now time.Time) float64 {
	if n.Tokens > 0 {
		return p.wait(m, n, late, now)
	}
	running := len(m.flights) + m.others.Requests
	wait := 0.0
	if over := running + 1 - max(1, m.Slots); over > 0 {
		wait = float64(over) * p.meanRun.Seconds() / float64(max(1, m.Slots))
	}
	// Replicas with some to do come after idle ones.
	wait += p.meanRun.Seconds() * float64(running) / float64(4*max(1, m.Slots))
	return wait * late
}

// promptWait is wait, and nothing for requests without a prompt.
func (p *Pool) promptWait(m *member, n *Need, now time.Time) float64 {
	if n.Tokens == 0 {
		return 0
	}
	return p.wait(m, n, p.lateness(m, now), now)
}

// wait is how long a prompt waits at a replica until it is begun, in seconds.
func (p *Pool) wait(m *member, n *Need, late float64, now time.Time) float64 {
	running := float64(len(m.flights) + m.others.Requests)
	reading := float64(m.ahead(n)) * p.perToken
	slots := 0.0
	if over := running + 1 - float64(m.Slots); m.Slots > 0 && over > 0 {
		slots = over / float64(m.Slots) * p.memory.hold()
	}
	return (reading+running*runTime.Seconds())*late + slots + p.memoryWait(m, n.Memory) + p.overdue(m, now)
}

// overdue is by how much the first byte of this node's longest unanswered prompt at a
// replica is overdue, in seconds: a replica that has fallen silent shows by nothing
// else until time is up, and the next prompt would wait no less.
func (p *Pool) overdue(m *member, now time.Time) float64 {
	if p.without.Overdue {
		return 0
	}
	most := time.Duration(0)
	for k := range m.flights {
		if !k.first && k.tokens > 0 {
			most = max(most, now.Sub(k.begun)-2*k.expected)
		}
	}
	return most.Seconds()
}

// ahead is how many tokens are read at a replica before a prompt's.
func (m *member) ahead(n *Need) int {
	return m.pending.Plus(m.others.Tokens).upTo(bandOf(n.Priority))
}

// lateness is how much longer than the others' the replica's answers take.
//
// The load pattern that it answers is a replica that is slow among others that are not. When
// all are late, as under a burst, that is learnt as the time that a token takes to be read, and
// is not to be counted once more for each replica that answered last.
func (p *Pool) lateness(m *member, now time.Time) float64 {
	if p.without.Lateness {
		return 1
	}
	return min(mostLateness, p.ownLate(m, now)/p.late)
}

// ownLate is the mean of the time taken over the time expected at one replica; the longer ago
// the last answer, the more it is that of all.
func (p *Pool) ownLate(m *member, now time.Time) float64 {
	fade := math.Exp(-max(0, now.Sub(m.lateAt).Seconds()/lateMemory.Seconds()))
	return p.late + (m.late-p.late)*fade
}
