package control

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/locks"
)

const (
	// ackTimeoutDivisor sets the time to wait for an ack before indirect probes
	// are sent to period/ackTimeoutDivisor.
	ackTimeoutDivisor = 3
	// indirectProbes is the number of members asked to probe an unresponsive node.
	indirectProbes = 3
	// maxRemoteUpdates and maxLocalUpdates bound the updates on a probe to another
	// data hall and within one, so that its size does not grow with the fleet.
	// Traffic within a hall is free: with 6 there too, 295 nodes took 63 periods
	// to learn that a hall of 98 was lost; with 30, 18.
	maxRemoteUpdates = 6
	maxLocalUpdates  = 30
	// spreadFactor times log2 of the fleet's size is how often an update is sent.
	spreadFactor = 3
	// duplicateWeight is how many sends a received duplicate of a pending update
	// counts as, since another node knows it already. In the first 40 periods after
	// 71 nodes start at once, probes to other halls take 317 bytes per node and
	// period with it, 417 without.
	duplicateWeight = 2
	// localProbeBoost is the factor by which probes of other halls are rarer than
	// with a uniformly random choice, because traffic between halls is paid for. It
	// applies in full where the own hall has localMembersForFullBoost other members.
	localProbeBoost          = 4
	localMembersForFullBoost = 8
	// suspectPeriods times log10 of the fleet's size, but at least suspectPeriods,
	// is the number of periods before a suspect is declared dead.
	suspectPeriods = 4
	// deadRetention is how long dead members are remembered, so that a stale
	// update does not bring them back.
	deadRetention = 10 * time.Minute
	// rejoinProbePeriods is the number of periods between probes of a dead member
	// or unused seed, which let the halves of a partitioned fleet rejoin.
	rejoinProbePeriods = 8
)

// Members is this node's view of the fleet, kept by a SWIM-style gossip protocol.
//
// Each period it probes one member, mostly of its own data hall, in shuffled
// rounds. A member that does not answer is probed through others, then marked
// suspect, then dead unless it refutes this with a higher incarnation. Probes
// carry a bounded number of membership updates, each sent until most members seem
// to know it, so the cost per second does not depend on the fleet's size. Members
// does no I/O: its methods return the packets to send.
type Members struct {
	mu            locks.Mutex
	self          Member
	period        time.Duration
	rng           *rand.Rand
	seeds         map[netip.AddrPort]bool // Addresses at which nodes should exist.
	known         map[string]*memberEntry
	entries       []*memberEntry // Those of known, in no particular order.
	halls         map[string]*hallMembers
	suspects      map[string]*memberEntry
	dead          map[string]*memberEntry
	byPeer        map[netip.AddrPort]string
	localRound    []string // Members of the own hall still to be probed in this round.
	remoteRound   []string // The same for other halls.
	seq           uint64
	ticks         int
	pendingProbes map[uint64]*pendingProbe
	updateSends   map[string]int // By member: how often its pending update was sent.
	watchers      []func()
	view          *View // Cached; nil when out of date.
	// generation rises whenever the set of working members changes.
	generation uint64
}

type memberEntry struct {
	Member
	index      int       // Position in Members.entries.
	stateSince time.Time // When it entered its state.
}

// pendingProbe is a probe without an ack so far.
type pendingProbe struct {
	target       Member
	sentAt       time.Time
	indirectSent bool
	requester    netip.AddrPort // Sender of the indirect probe, if this is one.
	requesterSeq uint64
}

// NewMembers returns a view with only this node and the seeds' addresses.
func NewMembers(self Member, period time.Duration, seeds []netip.AddrPort, rng *rand.Rand) *Members {
	if self.Incarnation == 0 {
		// A restarted node must override the record of its previous process.
		self.Incarnation = uint64(time.Now().UnixMilli())
	}
	m := &Members{
		self:          self,
		period:        period,
		rng:           rng,
		seeds:         map[netip.AddrPort]bool{},
		known:         map[string]*memberEntry{},
		halls:         map[string]*hallMembers{},
		suspects:      map[string]*memberEntry{},
		dead:          map[string]*memberEntry{},
		byPeer:        map[netip.AddrPort]string{},
		pendingProbes: map[uint64]*pendingProbe{},
		updateSends:   map[string]int{},
	}
	for _, addr := range seeds {
		m.seeds[addr] = true
	}
	m.setEntry(&memberEntry{Member: self})
	m.updateSends[self.Name] = 0
	return m
}

// Watch calls fn, without holding locks, after each change of a member.
func (m *Members) Watch(fn func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watchers = append(m.watchers, fn)
}

// AddSeed adds the address of a node that should exist.
func (m *Members) AddSeed(addr netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.byPeer[addr] == "" {
		m.seeds[addr] = true
	}
}

// AddListed adds nodes that are known only from a list, which may be outdated: each of them
// counts as alive until a record of the node itself, or of its failure, arrives. Other nodes
// read the same list, so they are not told.
func (m *Members) AddListed(list []Member, now time.Time) {
	m.mu.Lock()
	changed := false
	for _, u := range list {
		if m.known[u.Name] != nil || m.byPeer[u.Peer] != "" {
			continue
		}
		u.Incarnation, u.State = 0, MemberAlive
		m.storeRecord(u, now)
		changed = true
	}
	m.mu.Unlock()
	if changed {
		m.notifyWatchers()
	}
}

// Self returns this node's own record.
func (m *Members) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// All lists every known member, including the dead, by name; the caller must not
// change the list.
func (m *Members) All() []Member { return m.View().All() }

// Generation returns a number that rises whenever the set of working members
// changes.
func (m *Members) Generation() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.generation
}

// Working lists the members to which duties may be assigned, by name; the caller
// must not change the list.
func (m *Members) Working() []Member { return m.View().Working() }

// Leave marks this node as leaving and returns probes that announce it to up to
// maxLeavePackets members.
func (m *Members) Leave(now time.Time) []Packet {
	m.mu.Lock()
	m.self.Incarnation++
	m.self.State = MemberLeaving
	m.setMember(m.self, now)
	var out []Packet
	for _, e := range m.entries {
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

// maxLeavePackets bounds the burst of a leaving node; the receivers inform the
// other members.
const maxLeavePackets = 32

// Tick returns the probes of one period and expires unanswered ones. Call it every
// period, with the configuration's version.
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

// IndirectProbes returns the indirect probes for members that have not answered
// within the ack timeout. Call it a few times per period.
func (m *Members) IndirectProbes(now time.Time, version uint64) []Packet {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Packet
	for seq, pending := range m.pendingProbes {
		if pending.indirectSent || pending.requester.IsValid() || now.Sub(pending.sentAt) < m.period/ackTimeoutDivisor {
			continue
		}
		pending.indirectSent = true
		for _, helper := range m.pickHelpers(pending.target.Name) {
			out = append(out, m.packet(helper.Peer, Probe{
				Kind:       ProbeIndirect,
				Seq:        seq,
				Target:     pending.target.Peer,
				TargetName: pending.target.Name,
			}))
		}
	}
	m.setConfigVersion(out, version)
	return out
}

// Handle processes a received probe and returns the packets to send in response.
func (m *Members) Handle(from netip.AddrPort, p Probe, now time.Time, version uint64) []Packet {
	m.mu.Lock()
	changed := m.merge(p.Updates, now)
	var out []Packet
	switch p.Kind {
	case ProbePing:
		out = append(out, m.packet(from, Probe{Kind: ProbeAck, Seq: p.Seq, Bare: p.Bare}))
	case ProbeIndirect:
		seq := m.nextSeq()
		m.pendingProbes[seq] = &pendingProbe{sentAt: now, requester: from, requesterSeq: p.Seq, target: Member{Name: p.TargetName}}
		out = append(out, m.packet(p.Target, Probe{Kind: ProbePing, Seq: seq}))
	case ProbeAck:
		if pending, ok := m.pendingProbes[p.Seq]; ok {
			delete(m.pendingProbes, p.Seq)
			if pending.requester.IsValid() {
				out = append(out, m.packet(pending.requester, Probe{Kind: ProbeAck, Seq: pending.requesterSeq}))
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

// Merge applies a peer's member list.
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

// ProbeSeeds returns probes for nodes of which only the address is known. They
// carry no updates but this node's own record: when all nodes start together,
// each receives such a probe from every other.
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
