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
	halls int
	far   int // Bytes between halls.
}

func newHallsFleet(n, halls int) *hallsFleet {
	f := &hallsFleet{testFleet: newTestFleet(0), halls: halls}
	f.bytes = make([]int, n)
	for i := range n {
		self := Member{
			Name: fmt.Sprint("front-north-", i), Peer: testAddr(i), Entry: testAddr(i), DataHall: fmt.Sprint("north-", i%halls),
			Incarnation: uint64(testNow.UnixMilli()) + uint64(i), Link: 200,
		}
		f.byAdr[testAddr(i)] = i
		f.views = append(f.views, NewMembers(self, testPeriod, []netip.AddrPort{testAddr(0), testAddr(1)}, rand.New(rand.NewPCG(1, uint64(i)))))
	}
	f.sent = func(from, to, bytes int) {
		if from%halls != to%halls {
			f.far += bytes
		}
	}
	return f
}

// greetAll has each node greet all others, as it does once it has read their addresses, a
// tenth at a time.
func (f *hallsFleet) greetAll() {
	const parts = 10
	order := rand.New(rand.NewPCG(1, 2)).Perm(len(f.views))
	for part := range parts {
		for i, v := range f.views {
			var addrs []netip.AddrPort
			for at, j := range order {
				if j != i && (at+i)%parts == part {
					addrs = append(addrs, testAddr(j))
				}
			}
			f.send(i, v.ProbeSeeds(addrs))
		}
	}
}

// knownBy counts the pairs of nodes of which one knows the other as well.
func (f *hallsFleet) knownBy() (pairs int) {
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
	for _, size := range []struct{ n, perNode, dead int }{{7, 250, 10}, {71, 360, 19}, {150, 700, 20}} {
		t.Run(fmt.Sprint(size.n), func(t *testing.T) {
			t.Parallel()
			f := newHallsFleet(size.n, halls)
			f.greetAll()
			assert.Equal(t, f.knownBy(), size.n*size.n)
			f.run(periods)
			perNode := f.far / size.n / periods
			lost := func(i int) bool { return i%halls == 1 }
			f.cut = func(from, to int) bool { return lost(from) || lost(to) }
			dead := 0
			for ; f.worksIn("north-1", lost); dead++ {
				assert.Assert(t, dead < 3*size.dead)
				f.run(1)
			}
			t.Logf("%d bytes a node and period between halls; a lost hall is known to be after %d periods", perNode, dead)
			assert.Check(t, perNode <= size.perNode, "%d bytes", perNode)
			assert.Check(t, dead <= size.dead, "%d periods", dead)
		})
	}
}

// worksIn says whether anybody that is not lost holds a node of a hall for working.
func (f *hallsFleet) worksIn(hall string, lost func(i int) bool) bool {
	for i, v := range f.views {
		if !lost(i) && len(v.View().Hall(hall).Working) > 0 {
			return true
		}
	}
	return false
}

// A hall that was cut off comes back, and is known to be back everywhere soon.
func TestHallThatWasCutOffIsBackSoon(t *testing.T) {
	f := newHallsFleet(71, 3)
	f.greetAll()
	f.run(20)
	f.cut = func(from, to int) bool { return (from%3 == 1) != (to%3 == 1) }
	f.run(30)
	f.cut = func(int, int) bool { return false }
	back := 0
	for ; f.knownBy() < 71*71; back++ {
		assert.Assert(t, back < 60, "%d of %d pairs", f.knownBy(), 71*71)
		f.run(1)
	}
	t.Logf("back after %d periods", back)
	assert.Assert(t, back <= 24)
}
