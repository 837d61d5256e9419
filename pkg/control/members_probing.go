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
	for seq, a := range m.awaits {
		if now.Sub(a.sent) < m.period {
			continue
		}
		delete(m.awaits, seq)
		e, known := m.known[a.target.Name]
		if a.origin.IsValid() || !known || e.State == MemberDead || e.State == MemberSuspect {
			continue
		}
		u := e.Member
		// A leaving node that falls silent has left.
		u.State = MemberSuspect
		if e.State == MemberLeaving {
			u.State = MemberDead
		}
		m.set(u, now)
		changed = true
	}
	term := time.Duration(suspectPeriods*max(1, math.Log10(float64(len(m.known)+1)))) * m.period
	for name, e := range m.known {
		switch {
		case e.State == MemberSuspect && now.Sub(e.since) >= term:
			u := e.Member
			u.State = MemberDead
			m.set(u, now)
			changed = true
		case e.State == MemberDead && now.Sub(e.since) >= deadTerm:
			delete(m.known, name)
			delete(m.byPeer, e.Peer)
			delete(m.news, name)
			m.view = nil
		}
	}
	return changed
}

// probeNext probes the next member of the round, and now and then one that is
// dead or only known as a seed.
func (m *Members) probeNext(now time.Time) []Packet {
	var out []Packet
	m.ticks++
	for range len(m.known) {
		if len(m.round) == 0 {
			m.newRound()
		}
		if len(m.round) == 0 {
			break
		}
		name := m.round[0]
		m.round = m.round[1:]
		e, known := m.known[name]
		if !known || e.State == MemberDead {
			continue
		}
		seq := m.nextSeq()
		m.awaits[seq] = &await{target: e.Member, sent: now}
		out = append(out, m.packet(e.Peer, Probe{Kind: ProbePing, Seq: seq}))
		break
	}
	if len(out) == 0 || m.ticks%reachPeriods == 0 {
		if addr, ok := m.lost(); ok {
			out = append(out, m.packet(addr, Probe{Kind: ProbePing, Seq: m.nextSeq()}))
		}
	}
	return out
}

func (m *Members) newRound() {
	for name, e := range m.known {
		if name != m.self.Name && e.State != MemberDead {
			m.round = append(m.round, name)
		}
	}
	slices.Sort(m.round)
	m.rng.Shuffle(len(m.round), func(i, j int) { m.round[i], m.round[j] = m.round[j], m.round[i] })
}

// lost picks a dead member or a seed that no working member has.
func (m *Members) lost() (netip.AddrPort, bool) {
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

// helpers picks members for indirect probes.
func (m *Members) helpers(target string) []Member {
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
