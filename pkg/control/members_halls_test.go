package control

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// hallsFleet is a testFleet spread over halls. All nodes start at once and know
// two seeds. It counts the bytes sent between halls, which are paid for.
type hallsFleet struct {
	*testFleet
	halls       int
	remoteBytes int // Bytes sent between halls.
}

func newHallsFleet(n, halls int) *hallsFleet {
	f := &hallsFleet{testFleet: newTestFleet(0), halls: halls}
	f.bytes = make([]int, n)
	for i := range n {
		self := Member{
			Name: fmt.Sprint("front-north-", i), Peer: testAddr(i), Entry: testAddr(i), DataHall: fmt.Sprint("north-", i%halls),
			Incarnation: uint64(testNow.UnixMilli()) + uint64(i), Link: 200,
		}
		f.byAddr[testAddr(i)] = i
		f.views = append(f.views, NewMembers(self, testPeriod, []netip.AddrPort{testAddr(0), testAddr(1)}, rand.New(rand.NewPCG(1, uint64(i)))))
	}
	f.onSend = func(from, to, bytes int) {
		if from%halls != to%halls {
			f.remoteBytes += bytes
		}
	}
	return f
}

// probeAllSeeds has each node probe all others by address, a tenth at a time, as a
// starting node does.
func (f *hallsFleet) probeAllSeeds() {
	const batches = 10
	order := rand.New(rand.NewPCG(1, 2)).Perm(len(f.views))
	for batch := range batches {
		for i, v := range f.views {
			var addrs []netip.AddrPort
			for at, j := range order {
				if j != i && (at+i)%batches == batch {
					addrs = append(addrs, testAddr(j))
				}
			}
			f.send(i, v.ProbeSeeds(addrs))
		}
	}
}

// alivePairs counts the pairs of nodes of which the first sees the second as alive.
func (f *hallsFleet) alivePairs() (pairs int) {
	for _, v := range f.views {
		pairs += len(v.View().Alive())
	}
	return pairs
}

// All nodes start at once, as after a power loss, and later a whole hall is lost.
// Nodes kept sending updates to nodes that already knew them, as often to other
// halls as to their own: with 71 nodes, probes of 970 bytes each were a third of the
// bytes between halls on a quiet day. The loss of a hall also spread too slowly: with
// 150 nodes, one of its nodes still counted as working 59 periods later.
func TestProbesCostFewBytesBetweenHalls(t *testing.T) {
	const halls, periods = 3, 40
	for _, size := range []struct{ n, maxPerNode, maxPeriods int }{{7, 250, 10}, {71, 360, 19}, {150, 700, 20}} {
		t.Run(fmt.Sprint(size.n), func(t *testing.T) {
			t.Parallel()
			f := newHallsFleet(size.n, halls)
			f.probeAllSeeds()
			assert.Equal(t, f.alivePairs(), size.n*size.n)
			f.run(periods)
			perNode := f.remoteBytes / size.n / periods
			inLostHall := func(i int) bool { return i%halls == 1 }
			f.blocked = func(from, to int) bool { return inLostHall(from) || inLostHall(to) }
			periodsToDead := 0
			for ; f.anyWorkingIn("north-1", inLostHall); periodsToDead++ {
				assert.Assert(t, periodsToDead < 3*size.maxPeriods)
				f.run(1)
			}
			t.Logf("%d bytes a node and period between halls; a lost hall is known to be after %d periods", perNode, periodsToDead)
			assert.Check(t, perNode <= size.maxPerNode, "%d bytes", perNode)
			assert.Check(t, periodsToDead <= size.maxPeriods, "%d periods", periodsToDead)
		})
	}
}

// anyWorkingIn reports whether any node that is not lost sees a working member in
// a hall.
func (f *hallsFleet) anyWorkingIn(hall string, lost func(i int) bool) bool {
	for i, v := range f.views {
		if !lost(i) && len(v.View().Hall(hall).Working) > 0 {
			return true
		}
	}
	return false
}

// After a partition of a hall ends, nodes could take too long to see each other
// as alive again.
func TestPartitionedHallRejoinsWithinBound(t *testing.T) {
	f := newHallsFleet(71, 3)
	f.probeAllSeeds()
	f.run(20)
	f.blocked = func(from, to int) bool { return (from%3 == 1) != (to%3 == 1) }
	f.run(30)
	f.blocked = func(int, int) bool { return false }
	periodsToRejoin := 0
	for ; f.alivePairs() < 71*71; periodsToRejoin++ {
		assert.Assert(t, periodsToRejoin < 60, "%d of %d pairs", f.alivePairs(), 71*71)
		f.run(1)
	}
	t.Logf("back after %d periods", periodsToRejoin)
	assert.Assert(t, periodsToRejoin <= 24)
}
