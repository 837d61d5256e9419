package route

import (
	"math/rand/v2"
	"time"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/site"
)

// Pool is this node's view of the replicas of one service; it picks the replica for each
// request.
//
// A pick estimates, for each replica, the delay from work that is queued there (this
// node's own requests, and those that other nodes report), from the tokens that the
// replica would have to prefill, from its recent latency, and from the distance to its
// data hall. All of these are times, so they are added up without weights.
type Pool struct {
	mu       locks.Mutex
	rng      *rand.Rand
	dataHall string // The data hall of this node.
	// subsetSeed selects this node's subset of the replicas for requests without a prompt.
	subsetSeed uint64
	byID       map[string]*member
	byStart    map[NameHash]*member // By the hash of the start key.
	members    []*member            // In no particular order.
	// hallOrder has the replicas of each data hall in the order of their hashes.
	hallOrder map[string][]*member
	busy      map[*member]struct{} // Replicas with requests of this node in flight.
	reported  []*member            // Replicas with requests of other nodes.
	ejected   []*member            // Replicas that were ejected and may still be.
	// revision counts the changes of the list and of the versions of weights.
	revision uint64
	// softwareCounts counts the replicas by the version of their software.
	softwareCounts map[string]int
	// secondsPerToken and baseSeconds are learnt from answers: the time to prefill one
	// token, and the time to the first byte of a prompt with few tokens to prefill.
	secondsPerToken float64
	baseSeconds     float64
	meanRequestTime time.Duration // Mean duration of requests without a prompt.
	meanFailureRate float64       // Mean share of failed requests over all replicas.
	// meanLatencyRatio is the mean of actual over expected time to the first byte, over
	// all replicas.
	meanLatencyRatio float64
	memory           memoryUsage
	peerSum          PeerLoad      // Of other nodes, at all replicas.
	loadAge          time.Duration // Age of the loads of other nodes.
	// queueKey is the key of the service's queues among the loads, queued the prompts in
	// this node's queue, and peerQueued those in the queues of other nodes.
	queueKey   NameHash
	queued     PeerLoad
	peerQueued PeerLoad
	engineRate rateMean
	usable     int // Replicas that took prompts at usableAt.
	usableAt   time.Time
	// prefills has the parts that this node's own prompts are prefilling.
	prefills map[uint64]*partPrefill
	// hallExits are the integrals of decideHall for each priority band.
	hallExits    [bandCount]hallExitIntegral
	engineMemory int // Memory of one engine, in tokens; 0 if unknown.
	// coldLimit is the number of requests a second that a cold replica may get from all
	// nodes, if hasColdLimit is set; coldShares returns this node's share of it.
	hasColdLimit bool
	coldLimit    int
	coldShares   ColdShares
	rateLimits   RateLimits   // May be nil.
	requestBytes RequestBytes // May be nil.
	slotShares   SlotShares   // May be nil.
	// brittleSeenAt is when an answer last said that the replicas are brittle, zero if they aren't.
	brittleSeenAt time.Time
	// consecutiveUnreachable counts the connection failures since a replica last answered.
	consecutiveUnreachable int
	// backoffs maps the start key of a replica to the end of the backoff it asked for. It
	// also covers replicas that are not listed at the moment, as they may be listed again.
	backoffs map[string]time.Time
	disabled config.DisabledMechanisms
	// decodeGroup has, by data hall, how far down the order runs were handed over of late.
	decodeGroup map[string][]groupPosition
	// losses has the time at which a replica was last lost, by its ID.
	losses map[string]time.Time
	// candidates is a buffer that choose reuses.
	candidates []candidate
}

// member is one replica of a pool.
type member struct {
	site.Upstream
	index  int    // Position in Pool.members.
	idHash uint64 // Hash of the ID.
	// startHash is the hash of startKey. Reports about an earlier start of the replica
	// have another hash and are ignored.
	startHash NameHash
	// startKey identifies this start of the replica's process.
	startKey       string
	inFlight       map[*InFlightRequest]struct{} // Requests of this node.
	pendingTokens  BandTokens                    // Tokens to prefill of those still without a first byte.
	sentBytes      int64                         // Bytes of their bodies.
	copies         int                           // Backups of this node's runs.
	heldMemory     BandTokens                    // Engine memory that both hold, in tokens.
	peerLoad       PeerLoad                      // Requests of other nodes.
	latencyRatio   float64                       // Mean of actual over expected time to the first byte.
	latencyRatioAt time.Time
	failureRate    float64 // Mean share of failed requests.
	outlier        outlierState
	avoidUntil     time.Time // Until then it is used only if no other replica can be.
	backoffUntil   time.Time // Until then it is sent nothing, as it asked.
	swapUntil      time.Time // Until then its weights are expected to be replaced.
	coldUntil      time.Time // Until then it can take only few requests.
	// presumedColdUntil is like coldUntil for a replica that has not reported itself cold:
	// it could not be reached, and may have restarted.
	presumedColdUntil time.Time
	sends             []time.Time // Times of requests within coldWindow, if there is a cold limit.
}

// PeerLoad is the load that a node, or several nodes together, have in flight at a replica.
type PeerLoad struct {
	Requests int
	Tokens   BandTokens // Tokens to prefill, by priority band.
	Memory   int        // Engine memory held, in tokens.
	// BandMemory is the memory by priority band. Nodes of releases before it report none;
	// see memoryUpTo.
	BandMemory BandTokens
}

// Plus returns the sum of two loads.
func (l PeerLoad) Plus(o PeerLoad) PeerLoad {
	return PeerLoad{
		Requests:   l.Requests + o.Requests,
		Tokens:     l.Tokens.Plus(o.Tokens),
		Memory:     l.Memory + o.Memory,
		BandMemory: l.BandMemory.Plus(o.BandMemory),
	}
}

// Minus returns the difference of two loads, with negative values set to 0.
func (l PeerLoad) Minus(o PeerLoad) PeerLoad {
	return PeerLoad{
		Requests: max(0, l.Requests-o.Requests),
		Tokens:   l.Tokens.Minus(o.Tokens),
		Memory:   max(0, l.Memory-o.Memory),

		BandMemory: l.BandMemory.Minus(o.BandMemory),
	}
}

const (
	// initialSecondsPerToken is the assumed time to prefill a token until there are
	// measurements: 20,000 tokens a second.
	initialSecondsPerToken = 50e-6
	// initialBaseSeconds is the assumed time to the first byte of a prompt with few tokens
	// to prefill until there are measurements.
	initialBaseSeconds = 0.03
	// initialRequestTime is the assumed duration of a request without a prompt.
	initialRequestTime = 50 * time.Millisecond
	// learnWeight is the weight of the newest sample in the exponential means of a pool.
	learnWeight = 0.05
	// latencyRatioWeight is the weight of the newest sample in a replica's latency ratio.
	latencyRatioWeight = 0.2
	// latencyDecayTime is the time constant with which the latency statistics of an unused
	// replica or link decay.
	latencyDecayTime = 5 * time.Second
	// minExpectedTime keeps the fixed overhead of short requests from counting as
	// slowness.
	minExpectedTime = 20 * time.Millisecond
	maxLatencyRatio = 20.0
	// crossHallCost is the cost of a replica in another data hall: the round trip, and the
	// traffic between halls converted to an equivalent time.
	crossHallCost = 4 * time.Millisecond
	// staleWeightsCost is the cost of a replica with outdated weights.
	staleWeightsCost = 100 * time.Millisecond
	// runningRequestCost is the cost of each request that runs at a replica, as it slows
	// the token generation of the others.
	runningRequestCost = 500 * time.Microsecond
	// affinityCachedShare is the assumed share of a prompt's shared tokens that its
	// affinity replica still has cached.
	affinityCachedShare = 0.1
)

// NewPool returns an empty pool for a node in the given data hall.
func NewPool(hall string, rng *rand.Rand) *Pool {
	return &Pool{
		dataHall:         hall,
		rng:              rng,
		subsetSeed:       rng.Uint64(),
		byID:             map[string]*member{},
		byStart:          map[NameHash]*member{},
		hallOrder:        map[string][]*member{},
		busy:             map[*member]struct{}{},
		softwareCounts:   map[string]int{},
		secondsPerToken:  initialSecondsPerToken,
		baseSeconds:      initialBaseSeconds,
		meanRequestTime:  initialRequestTime,
		meanLatencyRatio: 1,
		backoffs:         map[string]time.Time{},
		decodeGroup:      map[string][]groupPosition{},
		losses:           map[string]time.Time{},
		prefills:         map[uint64]*partPrefill{},
	}
}

// Disable switches mechanisms off. It must be called before the pool is used.
func (p *Pool) Disable(mechanisms config.DisabledMechanisms) { p.disabled = mechanisms }

// ReplicaLoad is the load that this node has in flight at one replica.
type ReplicaLoad struct {
	Key  NameHash
	Load PeerLoad
}

// AppendLoads appends the load that this node has in flight at each replica, and what waits
// in its queue.
func (p *Pool) AppendLoads(list []ReplicaLoad) []ReplicaLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	for m := range p.busy {
		load := PeerLoad{
			Requests:   len(m.inFlight),
			Tokens:     m.pendingTokens,
			Memory:     m.heldMemory.sumUpTo(bandCount - 1),
			BandMemory: m.heldMemory,
		}
		list = append(list, ReplicaLoad{Key: m.startHash, Load: load})
	}
	if p.queueKey != 0 && p.queued != (PeerLoad{}) {
		list = append(list, ReplicaLoad{Key: p.queueKey, Load: p.queued})
	}
	return list
}

// Pick chooses a replica; ok is false if none is eligible.
func (p *Pool) Pick(in *PickInput, now time.Time) (c Choice, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engineMemory = max(p.engineMemory, in.Capacity)
	if len(in.candidates) == 0 {
		p.drawCandidates(in, now)
	}
	p.reserveHeadroom(in)
	affinity := p.affinityMember(in, now)
	in.meeting = affinity != nil && in.BeginWithin > 0 && in.Coverage[affinity.ID].Known
	chosen, exit := p.choose(in, affinity, now)
	in.candidates = in.candidates[:0]
	if chosen == nil {
		return Choice{}, false
	}
	if in.Send {
		p.recordSend(chosen, now)
	}
	coverage := in.Coverage[chosen.ID]
	return Choice{
		Upstream:              chosen.Upstream,
		NewConnection:         chosen.outlier.awaitsContact,
		HallExit:              exit,
		Follows:               chosen == affinity && in.follows,
		Weights:               chosen.Weights[in.Model],
		Expected:              seconds(p.firstByteSeconds(chosen, in, chosen == affinity, p.relativeLatency(chosen, now), now)),
		ExpectedAtMeanLatency: seconds(p.firstByteSeconds(chosen, in, chosen == affinity, 1, now)),
		Fetch:                 coverage.Wait,
		PrefillTokens:         int(in.tokensToPrefill(coverage, chosen == affinity)),
		Memory:                in.Memory,
		Bytes:                 in.Bytes,
		prefills:              in.partsToPrefill(coverage),
		TokensAhead:           chosen.tokensAhead(in),
		Band:                  bandOf(in.Priority),
		Wait:                  seconds(p.promptQueueSeconds(chosen, in, now)),
		NoRoom:                !p.hasRoom(chosen, in),
	}, true
}

// usable reports whether the replica accepts requests and is not just a last resort.
func (m *member) usable(now time.Time) bool {
	return m.generalExclusion(now) == NotExcluded && !m.lastResort(now)
}

// running returns how many requests of all nodes the replica is known to have.
func (m *member) running() int { return len(m.inFlight) + m.peerLoad.Requests }

// lastResort reports whether the replica is used only if there is no other.
func (m *member) lastResort(now time.Time) bool {
	return m.passedOver(now) || m.outlier.awaitsContact
}

// passedOver reports whether the replica is avoided or ejected.
func (m *member) passedOver(now time.Time) bool {
	return now.Before(m.avoidUntil) || m.outlier.ejected(now)
}
