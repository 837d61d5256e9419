package control

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// ackTimeoutDivisor is the share of a period after which others are asked.
	ackTimeoutDivisor = 3
	// indirectProbes is how many others are asked to probe a silent node.
	indirectProbes = 3
	// maxRemoteUpdates bounds a probe's size whatever the fleet's, and nearUpdates that of one within
	// a data hall, where bytes are not paid for: with 6 there as well, that a hall of 98
	// nodes was lost took 295 nodes 63 periods to tell, with 30 18.
	maxRemoteUpdates = 6
	maxLocalUpdates  = 30
	// spreadFactor times log2 of the fleet is how often an update is sent on.
	spreadFactor = 3
	// duplicateWeight is how much being told what one tells oneself counts against telling it
	// again: somebody else knew it already. Over 40 periods from a start of all of 71 nodes
	// probes take 317 bytes a node and period to other halls with it, 417 without.
	duplicateWeight = 2
	// localProbeBoost is how much more seldom than at random members of other halls are probed
	// where a hall has nearEnough others to be probed often: bytes between halls are paid for.
	localProbeBoost          = 4
	localMembersForFullBoost = 8
	// suspectPeriods times log10 of the fleet is how long a node is suspect.
	suspectPeriods = 4
	// deadRetention is how long the dead are remembered, so that old news of them
	// isn't taken for new.
	deadRetention = 10 * time.Minute
	// rejoinProbePeriods is every how many periods a dead node or a seed is probed,
	// so that halves of a cut fleet find each other again.
	rejoinProbePeriods = 8
)

// Members is this node's view of the fleet.
//
// Each period it probes one member, mostly of its own data hall, in shuffled rounds; a
// silent one is probed through others, then suspected, then held for dead unless it
// refutes with a higher incarnation. News travels on probes, a bounded number on each and
// until most seem to know it, so the cost a second is the same at any size. It does no
// I/O: Tick and Handle return what is to be sent.
type Members struct {
	mu            sync.Mutex
	self          Member
	period        time.Duration
	rng           *rand.Rand
	seeds         []netip.AddrPort
	known         map[string]*memberEntry
	byPeer        map[netip.AddrPort]string
	localRound    []string // Members of the own hall that are yet to be probed in this round.
	remoteRound   []string // Those of other halls.
	seq           uint64
	ticks         int
	pendingProbes map[uint64]*pendingProbe
	updateSends   map[string]int // Member to how often its update was sent.
	watchers      []func()
	view          *View // Nil when out of date.
	// generation rises with each change of who works.
	generation uint64
}

type memberEntry struct {
	Member
	since time.Time // When it came into its state.
}

// pendingProbe is a probe that has not been answered.
type pendingProbe struct {
	target       Member
	sent         time.Time
	indirectSent bool
	requester    netip.AddrPort // Who asked for it, if it is an indirect one.
	requesterSeq uint64
}

// NewMembers returns a view that knows only this node and the seeds' addresses.
func NewMembers(self Member, period time.Duration, seeds []netip.AddrPort, rng *rand.Rand) *Members {
	if self.Incarnation == 0 {
		// A restarted node must outbid what is remembered of its last life.
		self.Incarnation = uint64(time.Now().UnixMilli())
	}
	m := &Members{
		self:          self,
		period:        period,
		rng:           rng,
		seeds:         seeds,
		known:         map[string]*memberEntry{},
		byPeer:        map[netip.AddrPort]string{},
		pendingProbes: map[uint64]*pendingProbe{},
		updateSends:   map[string]int{},
	}
	m.known[self.Name] = &memberEntry{Member: self}
	m.updateSends[self.Name] = 0
	return m
}

// Watch has fn called, without locks, after each change of who works.
func (m *Members) Watch(fn func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watchers = append(m.watchers, fn)
}

// AddSeed adds an address at which there should be a node.
func (m *Members) AddSeed(addr netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !slices.Contains(m.seeds, addr) {
		m.seeds = append(slices.Clone(m.seeds), addr)
	}
}

// Self returns this node as others should know it.
func (m *Members) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// All lists every member known, the dead included, by name; the caller must not change
// the list.
func (m *Members) All() []Member { return m.View().All }

// Generation rises with each change of who works.
func (m *Members) Generation() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.generation
}

// Working lists the members that take part in duties, by name; the caller must
// not change the list.
func (m *Members) Working() []Member { return m.View().Working }

// Leave marks this node as leaving and returns the news for every member that
// a probe reaches at once.
func (m *Members) Leave(now time.Time) []Packet {
	m.mu.Lock()
	m.self.Incarnation++
	m.self.State = MemberLeaving
	m.setMember(m.self, now)
	var out []Packet
	for _, e := range m.known {
		if e.Name != m.self.Name && e.State != MemberDead {
			out = append(out, m.packet(e.Peer, Probe{Kind: ProbePing, Seq: m.nextSeq()}))
		}
		if len(out) == maxLeavePackets {
			break
		}
	}
	m.mu.Unlock()
	m.notifyWatchers()
	return out
}

// maxLeavePackets bounds the burst of a leaving node; the rest hear it from
// those.
const maxLeavePackets = 32

// Tick is to be called every period; version is the configuration's.
func (m *Members) Tick(now time.Time, version uint64) []Packet {
	m.mu.Lock()
	changed := m.expire(now)
	out := m.probeNext(now)
	m.setConfigVersion(out, version)
	m.mu.Unlock()
	if changed {
		m.notifyWatchers()
	}
	return out
}

// IndirectProbes returns the indirect probes for members that have not answered in good
// time; it is to be called a few times a period.
func (m *Members) IndirectProbes(now time.Time, version uint64) []Packet {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Packet
	for seq, a := range m.pendingProbes {
		if a.indirectSent || a.requester.IsValid() || now.Sub(a.sent) < m.period/ackTimeoutDivisor {
			continue
		}
		a.indirectSent = true
		for _, helper := range m.pickHelpers(a.target.Name) {
			out = append(out, m.packet(helper.Peer, Probe{
				Kind:       ProbeIndirect,
				Seq:        seq,
				Target:     a.target.Peer,
				TargetName: a.target.Name,
			}))
		}
	}
	m.setConfigVersion(out, version)
	return out
}

// Handle takes a received probe and returns the answers.
func (m *Members) Handle(from netip.AddrPort, p Probe, now time.Time, version uint64) []Packet {
	m.mu.Lock()
	changed := m.merge(p.Updates, now)
	var out []Packet
	switch p.Kind {
	case ProbePing:
		out = append(out, m.packet(from, Probe{Kind: ProbeAck, Seq: p.Seq, Bare: p.Bare}))
	case ProbeIndirect:
		seq := m.nextSeq()
		m.pendingProbes[seq] = &pendingProbe{sent: now, requester: from, requesterSeq: p.Seq, target: Member{Name: p.TargetName}}
		out = append(out, m.packet(p.Target, Probe{Kind: ProbePing, Seq: seq}))
	case ProbeAck:
		if a, ok := m.pendingProbes[p.Seq]; ok {
			delete(m.pendingProbes, p.Seq)
			if a.requester.IsValid() {
				out = append(out, m.packet(a.requester, Probe{Kind: ProbeAck, Seq: a.requesterSeq}))
			}
		}
	}
	m.setConfigVersion(out, version)
	m.mu.Unlock()
	if changed {
		m.notifyWatchers()
	}
	return out
}

// Merge takes in a peer's whole list.
func (m *Members) Merge(list []Member, now time.Time) {
	m.mu.Lock()
	changed := m.merge(list, now)
	m.mu.Unlock()
	if changed {
		m.notifyWatchers()
	}
}

func (m *Members) notifyWatchers() {
	m.mu.Lock()
	watchers := slices.Clone(m.watchers)
	m.mu.Unlock()
	for _, fn := range watchers {
		fn()
	}
}

func (m *Members) nextSeq() uint64 {
	m.seq++
	return m.seq
}

// ProbeSeeds returns probes for nodes of which only the address is known. They tell of this node
// only: where all nodes start together, each is greeted by each.
func (m *Members) ProbeSeeds(addrs []netip.AddrPort) []Packet {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Packet
	for _, addr := range addrs {
		if e := m.known[m.byPeer[addr]]; e != nil && e.State != MemberDead {
			continue
		}
		out = append(out, m.packet(addr, Probe{Kind: ProbePing, Seq: m.nextSeq(), Bare: true}))
	}
	return out
}
