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
	dataHall string // Of this node.
	byID     map[string]*member
	members  []*member
	// secondsPerToken is the learnt time to read one token, and base that of an answer
	// with little to read, in seconds.
	secondsPerToken float64
	baseSeconds     float64
	meanRequestTime time.Duration // Of requests without a prompt.
	meanFailureRate float64       // Mean share of failures over all replicas.
	// meanLatencyRatio is the mean over all replicas of the time taken over the time expected.
	meanLatencyRatio float64
	memory           memoryUse
	engineMemory     int // Of an engine's memory, in tokens; 0 if not known.
	// coldMost is how many requests a cold replica may get from all nodes in a second, if
	// coldLimited, and coldShares tells this node's share.
	hasColdLimit bool
	coldLimit    int
	coldShares   ColdShares
	rateLimits   RateLimits // Nil for none.
	// consecutiveUnreachable counts replicas that were not reached since one last answered.
	consecutiveUnreachable int
	// backoffs are until when starts of replicas are sent nothing, as they asked; also of those
	// whose rows have gone, and may come again.
	backoffs map[string]time.Time
	disabled config.DisabledMechanisms
	// candidates is kept for choose.
	candidates []candidate
}

// member is one replica of a pool.
type member struct {
	site.Upstream
	idHash uint64 // Of the ID.
	// startHash is of this start of the replica: what was told of an earlier one is not its.
	startHash NameHash
	// startKey names this start of it.
	startKey       string
	inFlight       map[*InFlightRequest]struct{} // Own requests in flight.
	pendingTokens  BandTokens                    // Tokens of those without a first answer byte.
	heldMemory     int                           // Tokens that they hold of an engine's memory.
	peerLoad       PeerLoad                      // In flight at other nodes.
	latencyRatio   float64                       // Mean of the time taken over the time expected.
	latencyRatioAt time.Time
	failureRate    float64 // Mean share of failures.
	outlier        outlierState
	avoidUntil     time.Time // Until when it is passed over if others can take over.
	backoffUntil   time.Time // Until when it is sent nothing, as it asked.
	swapUntil      time.Time // Until when its weights are expected to be being replaced.
	coldUntil      time.Time // Bears little until.
	// presumedColdUntil is until when the replica is taken to be cold though it has not said so:
	// it was not reached, and may have started again.
	presumedColdUntil time.Time
	sends             []time.Time // Of requests within coldWindow, if there is a limit.
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
	// initialSecondsPerToken is the time to read a token that is assumed before any was
	// measured: some 20,000 tokens a second.
	initialSecondsPerToken = 50e-6
	// initialBaseSeconds is the time to the first byte of a prompt with little to read
	// that is assumed before any was measured.
	initialBaseSeconds = 0.03
	// initialRequestTime is how long a request without a prompt is assumed to take.
	initialRequestTime = 50 * time.Millisecond
	// learnWeight is the weight of the newest sample in learnt means.
	learnWeight = 0.05
	// latencyRatioWeight is the weight of the newest sample in a replica's lateness.
	latencyRatioWeight = 0.2
	// latencyDecayTime is how fast an unused replica's lateness is forgotten.
	latencyDecayTime = 5 * time.Second
	// minExpectedTime keeps short requests from looking late for the time that
	// any takes.
	minExpectedTime = 20 * time.Millisecond
	maxLatencyRatio = 20.0
	// otherHallCost is the price of another data hall: the way there and back, and
	// what the bytes between halls cost, in the time that is worth the same.
	otherHallCost = 4 * time.Millisecond
	// staleWeightsCost is the price of weights that are to be replaced.
	staleWeightsCost = 100 * time.Millisecond
	// runningRequestCost is the price of each request that runs at a replica: the others'
	// tokens come more slowly for it.
	runningRequestCost = 500 * time.Microsecond
	// affinityCachedShare is the share of a prompt's shared tokens that its home replica
	// is assumed to still have.
	affinityCachedShare = 0.1
)

// NewPool returns a pool without replicas for a node in the given data hall.
func NewPool(hall string, rng *rand.Rand) *Pool {
	return &Pool{dataHall: hall, rng: rng, byID: map[string]*member{}, secondsPerToken: initialSecondsPerToken, baseSeconds: initialBaseSeconds, meanRequestTime: initialRequestTime, meanLatencyRatio: 1, backoffs: map[string]time.Time{}}
}

// Disable switches mechanisms off; it is to be called before the pool is used.
func (p *Pool) Disable(mechanisms config.DisabledMechanisms) { p.disabled = mechanisms }

// Configure sets which replicas there are; what is known of those that stay is
// kept.
func (p *Pool) Configure(list []site.Upstream, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.byID
	p.byID = make(map[string]*member, len(list))
	p.members = p.members[:0]
	for _, u := range list {
		m, ok := old[u.ID]
		if !ok || m.StartedBefore(&u) {
			// What is known of an earlier start goes with it: its weights, its lateness,
			// its failures and what was in flight there.
			m = &member{idHash: rendezvous.Hash(u.ID), startHash: HashName(u.StartKey()), startKey: u.StartKey(), inFlight: map[*InFlightRequest]struct{}{}, latencyRatio: 1}
			m.backoffUntil = p.backoffs[m.startKey]
		}
		if !m.Started.Equal(u.Started) { // The same start, told with its time or without.
			m.startHash, m.startKey = HashName(u.StartKey()), u.StartKey()
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
			m.coldUntil = u.ColdUntil
		}
		p.byID[u.ID] = m
		p.members = append(p.members, m)
	}
	slices.SortFunc(p.members, func(a, b *member) int {
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
	for _, m := range p.members {
		if len(m.inFlight) > 0 {
			load := PeerLoad{Requests: len(m.inFlight), Tokens: m.pendingTokens, Memory: m.heldMemory}
			list = append(list, ReplicaLoad{Key: m.startHash, Load: load})
		}
	}
	return list
}

// Pick chooses a replica; ok is false if none may take the request.
func (p *Pool) Pick(in *PickInput, now time.Time) (c Choice, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engineMemory = max(p.engineMemory, in.Capacity)
	affinity := p.affinityMember(in)
	chosen := p.choose(in, affinity, now)
	if chosen == nil {
		return Choice{}, false
	}
	if in.Send {
		p.recordSend(chosen, now)
	}
	coverage := in.Coverage[chosen.ID]
	return Choice{
		Upstream:              chosen.Upstream,
		Weights:               chosen.Weights[in.Model],
		Expected:              seconds(p.firstByteSeconds(chosen, in, chosen == affinity, p.relativeLatency(chosen, now), now)),
		ExpectedAtMeanLatency: seconds(p.firstByteSeconds(chosen, in, chosen == affinity, 1, now)),
		Fetch:                 coverage.Wait,
		Read:                  int(in.tokensToPrefill(coverage, chosen == affinity)),
		Memory:                in.Memory,
		TokensAhead:           chosen.tokensAhead(in),
		Band:                  bandOf(in.Priority),
		Wait:                  seconds(p.promptQueueSeconds(chosen, in, now)),
	}, true
}

// lastResort says whether a replica is left out as long as others are there.
func (m *member) lastResort(now time.Time) bool {
	return now.Before(m.avoidUntil) || m.outlier.ejected(now)
}
