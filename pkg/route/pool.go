package route

import (
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
	memory   memoryUsage
	capacity int // Of an engine's memory, in tokens; 0 if not known.
	// coldMost is how many requests a cold replica may get from all nodes in a second, if
	// coldLimited, and coldShares tells this node's share.
	coldLimited bool
	coldMost    int
	coldShares  ColdShares
	rates       RateLimits // Nil for none.
	// lostInRow counts replicas that were not reached since one last answered.
	lostInRow int
	// backoffs are until when starts of replicas are sent nothing, as they asked; also of those
	// whose rows have gone, and may come again.
	backoffs map[string]time.Time
	without  config.DisabledMechanisms
	// candidates is kept for choose.
	candidates []candidate
}

// member is one replica of a pool.
type member struct {
	site.Upstream
	hash uint64 // Of the ID.
	// key is of this start of the replica: what was told of an earlier one is not its.
	key NameHash
	// start names this start of it.
	start   string
	flights map[*InFlightRequest]struct{} // Own requests in flight.
	pending BandTokens                    // Tokens of those without a first answer byte.
	memory  int                           // Tokens that they hold of an engine's memory.
	others  PeerLoad                      // In flight at other nodes.
	late    float64                       // Mean of the time taken over the time expected.
	lateAt  time.Time
	failing float64 // Mean share of failures.
	outcome outlier
	avoid   time.Time // Until when it is passed over if others can take over.
	backoff time.Time // Until when it is sent nothing, as it asked.
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
	Tokens   BandTokens // To be read.
	Memory   int        // Tokens held of an engine's memory.
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
	return &Pool{hall: hall, rng: rng, replicas: map[string]*member{}, perToken: startPerToken, base: startBase, meanRun: startRun, late: 1, backoffs: map[string]time.Time{}}
}

// Disable switches mechanisms off; it is to be called before the pool is used.
func (p *Pool) Disable(w config.DisabledMechanisms) { p.without = w }

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
		if !ok || m.StartedBefore(&u) {
			// What is known of an earlier start goes with it: its weights, its lateness,
			// its failures and what was in flight there.
			m = &member{hash: rendezvous.Hash(u.ID), key: HashName(u.StartKey()), start: u.StartKey(), flights: map[*InFlightRequest]struct{}{}, late: 1}
			m.backoff = p.backoffs[m.start]
		}
		if !m.Started.Equal(u.Started) { // The same start, told with its time or without.
			m.key, m.start = HashName(u.StartKey()), u.StartKey()
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

// ReplicaLoad is what is in flight at one replica.
type ReplicaLoad struct {
	Key  NameHash
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
func (p *Pool) Pick(n *PickInput, now time.Time) (c Choice, ok bool) {
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
	offer := n.Coverage[chosen.ID]
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

// passedOver says whether a replica is left out as long as others are there.
func (m *member) passedOver(now time.Time) bool {
	return now.Before(m.avoid) || m.outcome.ejected(now)
}
