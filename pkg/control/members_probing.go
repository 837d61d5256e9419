package control

import (
	"cmp"
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
	for name, e := range m.known {
		switch {
		case e.State == MemberSuspect && now.Sub(e.stateSince) >= suspectTimeout:
			u := e.Member
			u.State = MemberDead
			m.setMember(u, now)
			changed = true
		case e.State == MemberDead && now.Sub(e.stateSince) >= deadRetention:
			delete(m.known, name)
			delete(m.byPeer, e.Peer)
			delete(m.updateSends, name)
			m.view = nil
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
	for name, e := range m.known {
		switch {
		case name == m.self.Name || e.State == MemberDead:
		case e.DataHall == m.self.DataHall:
			local++
		default:
			remote++
			remoteSuspect = remoteSuspect || e.State == MemberSuspect
		}
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
	for name, e := range m.known {
		if name != m.self.Name && e.State != MemberDead && (e.DataHall != m.self.DataHall) == remote {
			round = append(round, name)
		}
	}
	slices.Sort(round)
	m.rng.Shuffle(len(round), func(i, j int) { round[i], round[j] = round[j], round[i] })
	return round
}

// pickUnreachable returns a random address among those of dead members and seeds
// that no other member uses.
func (m *Members) pickUnreachable() (netip.AddrPort, bool) {
	var addrs []netip.AddrPort
	inUse := map[netip.AddrPort]bool{m.self.Peer: true}
	for _, e := range m.known {
		if e.State != MemberDead {
			inUse[e.Peer] = true
		}
	}
	for _, e := range m.known {
		if !inUse[e.Peer] {
			addrs = append(addrs, e.Peer)
		}
	}
	for _, seed := range m.seeds {
		if !inUse[seed] {
			addrs = append(addrs, seed)
		}
	}
	if len(addrs) == 0 {
		return netip.AddrPort{}, false
	}
	return addrs[m.rng.IntN(len(addrs))], true
}

// pickHelpers returns random members to ask for an indirect probe of target.
func (m *Members) pickHelpers(target string) []Member {
	var list []Member
	for _, e := range m.known {
		if e.State == MemberAlive && e.Name != m.self.Name && e.Name != target {
			list = append(list, e.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	m.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), indirectProbes)]
}
