package control

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testPeriod = time.Second

// testFleet delivers probes between views in memory and in order.
type testFleet struct {
	now     time.Time
	views   []*Members
	byAddr  map[netip.AddrPort]int
	blocked func(from, to int) bool
	// suspended is the index of a view whose machine is suspended: it sends nothing
	// and its clock stands still. -1 for none.
	suspended int
	bytes     []int // Bytes sent by each view.
	onSend    func(from, to, bytes int)
}

func newTestFleet(n int) *testFleet {
	f := &testFleet{now: testNow, byAddr: map[netip.AddrPort]int{}, suspended: -1, bytes: make([]int, n)}
	f.blocked = func(int, int) bool { return false }
	for i := range n {
		f.byAddr[testAddr(i)] = i
		f.views = append(f.views, newTestView(i, 1))
	}
	return f
}

var testNow = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 9000)
}

func newTestView(i int, incarnation uint64) *Members {
	self := Member{Name: fmt.Sprint("vm-", i), Peer: testAddr(i), DataHall: "north", Incarnation: incarnation}
	return NewMembers(self, testPeriod, []netip.AddrPort{testAddr(0), testAddr(1)}, rand.New(rand.NewPCG(1, uint64(i))))
}

func (f *testFleet) send(from int, out []Packet) {
	for _, p := range out {
		body, _ := json.Marshal(p.Probe)
		f.bytes[from] += len(body)
		to, known := f.byAddr[p.To]
		if known && f.onSend != nil {
			f.onSend(from, to, len(body))
		}
		if !known || f.blocked(from, to) {
			continue
		}
		var probe Probe
		_ = json.Unmarshal(body, &probe)
		f.send(to, f.views[to].Handle(testAddr(from), probe, f.now, 0))
	}
}

// run simulates a number of periods.
func (f *testFleet) run(periods int) {
	for range periods {
		for i, v := range f.views {
			if i != f.suspended {
				f.send(i, v.Tick(f.now, 0))
			}
		}
		f.now = f.now.Add(testPeriod / 2)
		for i, v := range f.views {
			if i != f.suspended {
				f.send(i, v.IndirectProbes(f.now, 0))
			}
		}
		f.now = f.now.Add(testPeriod / 2)
	}
}

func (f *testFleet) stateOf(viewer, target int) MemberState {
	for _, m := range f.views[viewer].All() {
		if m.Name == fmt.Sprint("vm-", target) {
			return m.State
		}
	}
	return MemberDead
}

func TestAllMembersDiscoverEachOther(t *testing.T) {
	f := newTestFleet(30)
	f.run(40)
	for _, v := range f.views {
		assert.Equal(t, len(v.Working()), 30)
	}
}

func TestUnreachableMemberIsMarkedDeadAndRejoins(t *testing.T) {
	f := newTestFleet(8)
	f.run(30)
	f.blocked = func(from, to int) bool { return from == 3 || to == 3 }
	f.run(30)
	assert.Equal(t, f.stateOf(0, 3), MemberDead)
	f.blocked = func(int, int) bool { return false }
	f.run(40)
	assert.Equal(t, f.stateOf(0, 3), MemberAlive)
}

// A member whose machine was suspended is marked dead in the meantime and must
// refute this. Its monotonic clock stood still, so it must mark no other as dead.
func TestSuspendedMemberRejoins(t *testing.T) {
	f := newTestFleet(8)
	f.run(30)
	f.suspended = 3
	f.blocked = func(from, to int) bool { return from == 3 || to == 3 }
	f.run(30)
	for viewer := range f.views {
		if viewer != 3 {
			assert.Equal(t, f.stateOf(viewer, 3), MemberDead)
		}
		assert.Equal(t, f.stateOf(3, viewer), MemberAlive)
	}
	f.suspended = -1
	f.blocked = func(int, int) bool { return false }
	f.run(10)
	for viewer := range f.views {
		assert.Equal(t, f.stateOf(viewer, 3), MemberAlive)
		assert.Equal(t, f.stateOf(3, viewer), MemberAlive)
	}
}

func TestIndirectProbesKeepMemberAliveDuringPairwisePartition(t *testing.T) {
	f := newTestFleet(8)
	f.run(30)
	f.blocked = func(from, to int) bool { return (from == 1 && to == 2) || (from == 2 && to == 1) }
	for range 60 {
		f.run(1)
		for viewer := range f.views {
			assert.Assert(t, f.stateOf(viewer, 2) != MemberDead)
		}
	}
}

func TestHalvesRejoinAfterPartition(t *testing.T) {
	f := newTestFleet(10)
	f.run(30)
	f.blocked = func(from, to int) bool { return (from < 5) != (to < 5) }
	f.run(60)
	assert.Equal(t, len(f.views[0].Working()), 5)
	f.blocked = func(int, int) bool { return false }
	f.run(120)
	for _, v := range f.views {
		assert.Equal(t, len(v.Working()), 10)
	}
}

func TestLeavingMemberIsKnownWithinThreePeriods(t *testing.T) {
	f := newTestFleet(30)
	f.run(40)
	f.send(4, f.views[4].Leave(f.now))
	f.run(3)
	for viewer := range f.views {
		assert.Equal(t, f.stateOf(viewer, 4), MemberLeaving)
	}
}

func TestRestartedNodeReplacesItsDeadRecord(t *testing.T) {
	f := newTestFleet(8)
	f.run(30)
	f.blocked = func(from, to int) bool { return from == 3 || to == 3 }
	f.run(30)
	f.blocked = func(int, int) bool { return false }
	f.views[3] = newTestView(3, 2)
	f.run(20)
	assert.Equal(t, f.stateOf(0, 3), MemberAlive)
}

// A restarted node knows only addresses and could fail to learn of long-running
// members, whose records are in no pending update any more.
func TestRestartedNodeLearnsOfAllMembersAtOnce(t *testing.T) {
	const nodes = 9
	f := newTestFleet(nodes)
	f.run(60)
	for _, restarted := range []int{3, 0, 7} {
		f.views[restarted] = newTestView(restarted, 2)
		var addrs []netip.AddrPort
		for i := range nodes {
			if i != restarted {
				addrs = append(addrs, testAddr(i))
			}
		}
		f.send(restarted, f.views[restarted].ProbeSeeds(addrs))
		assert.Equal(t, len(f.views[restarted].Working()), nodes)
		f.run(2)
		for viewer := range nodes {
			assert.Equal(t, f.stateOf(viewer, restarted), MemberAlive)
		}
	}
}

func TestMemberLossMovesOnlyItsOwnDuties(t *testing.T) {
	f := newTestFleet(30)
	f.run(40)
	all := f.views[0].Working()
	without := append(append([]Member(nil), all[:7]...), all[8:]...)
	counts := map[string]int{}
	for i := range 3000 {
		duty := fmt.Sprint("duty-", i)
		before, _ := Owner(all, duty)
		after, _ := Owner(without, duty)
		counts[before.Name]++
		if before.Name != all[7].Name {
			assert.Equal(t, before.Name, after.Name)
		}
		assert.Equal(t, Owners(all, duty, 1)[0].Name, before.Name)
	}
	for name, n := range counts {
		assert.Assert(t, n > 50 && n < 200, "%s has %d of 3000 duties", name, n)
	}
}

// BenchmarkMembers reports the cost of membership per node and period without
// changes.
func BenchmarkMembers(b *testing.B) {
	for _, n := range []int{8, 30, 100, 300, 900} {
		b.Run(fmt.Sprint("nodes=", n), func(b *testing.B) {
			f := newTestFleet(n)
			f.knowAll()
			f.run(1)
			clear(f.bytes)
			periods := 0
			for b.Loop() {
				f.run(1)
				periods++
			}
			total := 0
			for _, sent := range f.bytes {
				total += sent
			}
			b.ReportMetric(float64(total)/float64(n*periods), "B/node/period")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n*periods), "ns/node/period")
		})
	}
}

// periodsToSpread returns the number of periods until every view has received a
// configuration version that one node has, as carried on probes.
func (f *testFleet) periodsToSpread() int {
	has := make([]bool, len(f.views))
	has[0] = true
	version := func(i int) uint64 {
		if has[i] {
			return 1
		}
		return 0
	}
	var deliver func(from int, out []Packet)
	deliver = func(from int, out []Packet) {
		for _, p := range out {
			to, known := f.byAddr[p.To]
			if !known {
				continue
			}
			has[to] = has[to] || p.Probe.Version > 0
			deliver(to, f.views[to].Handle(testAddr(from), p.Probe, f.now, version(to)))
		}
	}
	for periods := 1; ; periods++ {
		for i, v := range f.views {
			deliver(i, v.Tick(f.now, version(i)))
		}
		f.now = f.now.Add(testPeriod)
		if !slices.Contains(has, false) {
			return periods
		}
	}
}

// knowAll gives every view the whole fleet, with no pending updates.
func (f *testFleet) knowAll() {
	for _, v := range f.views {
		for i := range f.views {
			v.Merge([]Member{{Name: fmt.Sprint("vm-", i), Peer: testAddr(i), DataHall: "north", Incarnation: 1}}, f.now)
		}
		clear(v.updateSends)
	}
}

// BenchmarkSpread reports the number of periods until a configuration change is
// known to all nodes.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{8, 30, 100, 300, 900} {
		b.Run(fmt.Sprint("nodes=", n), func(b *testing.B) {
			f := newTestFleet(n)
			f.knowAll()
			total, worst, runs := 0, 0, 0
			for b.Loop() {
				periods := f.periodsToSpread()
				total += periods
				worst = max(worst, periods)
				runs++
			}
			b.ReportMetric(float64(total)/float64(runs), "periods")
			b.ReportMetric(float64(worst), "worst-periods")
		})
	}
}

func BenchmarkOwner(b *testing.B) {
	for _, n := range []int{8, 100, 900} {
		f := newTestFleet(n)
		f.knowAll()
		members := f.views[0].Working()
		b.Run(fmt.Sprint("owner/nodes=", n), func(b *testing.B) {
			for b.Loop() {
				Owner(members, "some duty")
			}
		})
		b.Run(fmt.Sprint("entries/nodes=", n), func(b *testing.B) {
			for b.Loop() {
				Owners(members, "some organisation", 4)
			}
		})
	}
}
