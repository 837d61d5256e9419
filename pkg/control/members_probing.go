package control

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// expire marks members that did not answer as suspect and suspects as dead, and
// removes members that have been dead for deadRetention.
func (m *Members) expire(now time.Time) (changed bool) {
	for seq, pending := range m.pendingProbes {
		if now.Sub(pending.sentAt) < m.period {
			continue
		}
		delete(m.pendingProbes, seq)
		e, known := m.known[pending.target.Name]
		if pending.requester.IsValid() || !known || e.State == MemberDead || e.State == MemberSuspect {
			continue
		}
		u := e.Member
		// A leaving node that no longer answers has stopped, so it is not suspected.
		u.State = MemberSuspect
		if e.State == MemberLeaving {
			u.State = MemberDead
		}
		m.setMember(u, now)
		changed = true
	}
	suspectTimeout := time.Duration(suspectPeriods*max(1, math.Log10(float64(len(m.known)+1)))) * m.period
	for _, e := range m.suspects {
		if now.Sub(e.stateSince) >= suspectTimeout {
			u := e.Member
			u.State = MemberDead
			m.setMember(u, now)
			changed = true
		}
	}
	for _, e := range m.dead {
		if now.Sub(e.stateSince) >= deadRetention {
			m.removeEntry(e)
		}
	}
	return changed
}

// probeNext probes the next member of a round and, every rejoinProbePeriods or if
// there is no member to probe, an unreachable address.
func (m *Members) probeNext(now time.Time) []Packet {
	m.ticks++
	local, remote, remoteSuspect := m.countOthers()
	var out []Packet
	probeRemote := m.rng.Float64() < remoteShare(local, remote)
	if probeRemote || remoteSuspect {
		out = m.probeOne(out, &m.remoteRound, true, now)
	}
	if !probeRemote || len(out) == 0 {
		out = m.probeOne(out, &m.localRound, false, now)
	}
	if len(out) == 0 || m.ticks%rejoinProbePeriods == 0 {
		if addr, ok := m.pickUnreachable(); ok {
			out = append(out, m.packet(addr, Probe{Kind: ProbePing, Seq: m.nextSeq()}))
		}
	}
	return out
}

// countOthers counts the other members that are not dead, in the own hall and in
// other halls. remoteSuspect reports whether one of the latter is suspect, as when
// a hall is lost; other halls are then probed every period.
func (m *Members) countOthers() (local, remote int, remoteSuspect bool) {
	local = m.halls[m.self.DataHall].notDead - 1 // Without this node.
	remote = len(m.known) - len(m.dead) - local - 1
	for _, e := range m.suspects {
		remoteSuspect = remoteSuspect || e.DataHall != m.self.DataHall
	}
	return local, remote, remoteSuspect
}

// remoteShare returns the fraction of probes that go to other halls. It is that of
// a uniformly random choice if the own hall has no other members, and falls with
// their number to 1/localProbeBoost of it. Members of large halls are probed by
// each other, and updates carry the results to other halls.
func remoteShare(local, remote int) float64 {
	if remote == 0 {
		return 0
	}
	reduction := 1 + (localProbeBoost-1)*min(1, float64(local)/localMembersForFullBoost)
	return float64(remote) / float64(local+remote) / reduction
}

// probeOne appends a probe of the next member of a round.
func (m *Members) probeOne(out []Packet, round *[]string, remote bool, now time.Time) []Packet {
	for range len(m.known) {
		if len(*round) == 0 {
			*round = m.newRound(remote)
		}
		if len(*round) == 0 {
			break
		}
		name := (*round)[0]
		*round = (*round)[1:]
		e, known := m.known[name]
		if !known || e.State == MemberDead {
			continue
		}
		seq := m.nextSeq()
		m.pendingProbes[seq] = &pendingProbe{target: e.Member, sentAt: now}
		return append(out, m.packet(e.Peer, Probe{Kind: ProbePing, Seq: seq}))
	}
	return out
}

// newRound returns the members of the own hall or of all others in random order.
func (m *Members) newRound(remote bool) (round []string) {
	for _, e := range m.entries {
		if e.Name != m.self.Name && e.State != MemberDead && (e.DataHall != m.self.DataHall) == remote {
			round = append(round, e.Name)
		}
	}
	slices.Sort(round)
	m.rng.Shuffle(len(round), func(i, j int) { round[i], round[j] = round[j], round[i] })
	return round
}

// pickUnreachable returns a random address among those of dead members and seeds
// that no other member uses.
func (m *Members) pickUnreachable() (netip.AddrPort, bool) {
	addrs := make([]netip.AddrPort, 0, len(m.dead)+len(m.seeds))
	for _, e := range m.dead {
		if m.byPeer[e.Peer] == e.Name {
			addrs = append(addrs, e.Peer)
		}
	}
	for seed := range m.seeds {
		if seed != m.self.Peer {
			addrs = append(addrs, seed)
		}
	}
	if len(addrs) == 0 {
		return netip.AddrPort{}, false
	}
	return addrs[m.rng.IntN(len(addrs))], true
}

// maxHelperDraws bounds the members that are drawn to find indirectProbes of them.
const maxHelperDraws = 20 * indirectProbes

// pickHelpers returns random members to ask for an indirect probe of target.
func (m *Members) pickHelpers(target string) []Member {
	var list []Member
	for range maxHelperDraws {
		e := m.entries[m.rng.IntN(len(m.entries))]
		drawn := slices.ContainsFunc(list, func(h Member) bool { return h.Name == e.Name })
		if !drawn && e.State == MemberAlive && e.Name != m.self.Name && e.Name != target {
			list = append(list, e.Member)
		}
		if len(list) == indirectProbes {
			break
		}
	}
	return list
}
