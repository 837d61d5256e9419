package control

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"
)

// expire turns silent members suspect, suspects dead, and forgets the long
// dead.
func (m *Members) expire(now time.Time) (changed bool) {
	for seq, a := range m.pendingProbes {
		if now.Sub(a.sent) < m.period {
			continue
		}
		delete(m.pendingProbes, seq)
		e, known := m.known[a.target.Name]
		if a.requester.IsValid() || !known || e.State == MemberDead || e.State == MemberSuspect {
			continue
		}
		u := e.Member
		// A leaving node that falls silent has left.
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
		case e.State == MemberSuspect && now.Sub(e.since) >= suspectTimeout:
			u := e.Member
			u.State = MemberDead
			m.setMember(u, now)
			changed = true
		case e.State == MemberDead && now.Sub(e.since) >= deadRetention:
			delete(m.known, name)
			delete(m.byPeer, e.Peer)
			delete(m.updateSends, name)
			m.view = nil
		}
	}
	return changed
}

// probeNext probes the next member of a round, and now and then one that is dead or only
// known as a seed.
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

// countOthers counts the members of the own hall and of others that may be probed; doubt says
// that one of the latter is suspect, as when a hall is lost: then they are probed each time.
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

// farShare is the share of probes that go to other halls: as many as at random where the own
// hall has nobody else, and the fewer the more it has, down to a nearBoost part. Members of
// large halls are probed by each other instead, and what happens there is told on.
func remoteShare(local, remote int) float64 {
	if remote == 0 {
		return 0
	}
	reduction := 1 + (localProbeBoost-1)*min(1, float64(local)/localMembersForFullBoost)
	return float64(remote) / float64(local+remote) / reduction
}

// probeOne probes the next member of one of the rounds.
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
		m.pendingProbes[seq] = &pendingProbe{target: e.Member, sent: now}
		return append(out, m.packet(e.Peer, Probe{Kind: ProbePing, Seq: seq}))
	}
	return out
}

// newRound lists the members of the own hall or of the others in a random order.
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

// pickUnreachable picks a dead member or a seed that no working member has.
func (m *Members) pickUnreachable() (netip.AddrPort, bool) {
	var addrs []netip.AddrPort
	working := map[netip.AddrPort]bool{m.self.Peer: true}
	for _, e := range m.known {
		if e.State != MemberDead {
			working[e.Peer] = true
		}
	}
	for _, e := range m.known {
		if !working[e.Peer] {
			addrs = append(addrs, e.Peer)
		}
	}
	for _, seed := range m.seeds {
		if !working[seed] {
			addrs = append(addrs, seed)
		}
	}
	if len(addrs) == 0 {
		return netip.AddrPort{}, false
	}
	return addrs[m.rng.IntN(len(addrs))], true
}

// pickHelpers picks members for indirect probes.
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
