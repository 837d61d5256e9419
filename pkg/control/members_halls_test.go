package control

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// hallsFleet is a testFleet in halls, of which all nodes start at once and know two seeds.
// Notes between halls are counted: they are paid for.
type hallsFleet struct {
	*testFleet
	halls       int
	remoteBytes int // Bytes between halls.
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

// probeAllSeeds has each node greet all others, as it does once it has read their addresses, a
// tenth at a time.
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

// alivePairs counts the pairs of nodes of which one knows the other as well.
func (f *hallsFleet) alivePairs() (pairs int) {
	for _, v := range f.views {
		pairs += len(v.View().Alive)
	}
	return pairs
}

// All nodes start at once, as after power was lost, and later a whole hall is lost. Each node
// told all that it had heard to nodes that knew it already, for minutes, and as likely to
// another hall as to its own: at 71 nodes a third of the bytes between halls on a calm day were
// probes, 970 bytes each. And the news that a hall was lost came through so slowly that at 150
// nodes its last node was held for working 59 periods later.
func TestProbesCostFewBytesBetweenHalls(t *testing.T) {
	const halls, periods = 3, 40
	for _, size := range []struct{ n, perNode, periodsToDead int }{{7, 250, 10}, {71, 360, 19}, {150, 700, 20}} {
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
				assert.Assert(t, periodsToDead < 3*size.periodsToDead)
				f.run(1)
			}
			t.Logf("%d bytes a node and period between halls; a lost hall is known to be after %d periods", perNode, periodsToDead)
			assert.Check(t, perNode <= size.perNode, "%d bytes", perNode)
			assert.Check(t, periodsToDead <= size.periodsToDead, "%d periods", periodsToDead)
		})
	}
}

// anyWorkingIn says whether anybody that is not lost holds a node of a hall for working.
func (f *hallsFleet) anyWorkingIn(hall string, lost func(i int) bool) bool {
	for i, v := range f.views {
		if !lost(i) && len(v.View().Hall(hall).Working) > 0 {
			return true
		}
	}
	return false
}

// A hall that was cut off comes back, and is known to be back everywhere soon.
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
