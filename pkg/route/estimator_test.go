package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/prompt"
)

func testFleet(n int) *Fleet {
	f := NewFleet(rand.New(rand.NewPCG(1, 2)))
	var list []Replica
	for i := range n {
		list = append(list, Replica{Name: fmt.Sprint("e", i), DataHall: "north", Model: "m"})
	}
	f.Configure(list, testNow)
	for i := range n {
		f.Report(fmt.Sprint("e", i), testReport(0))
	}
	return f
}

func testReport(backlog int) Report {
	return Report{
		Taken:        testNow.Add(time.Millisecond),
		Slots:        8,
		PrefillQueue: backlog,
		PrefillRate:  10_000,
		TokenBytes:   1000,
		Weights:      "w1",
	}
}

func testRequest(chunks int) *Request {
	text := strings.Repeat("spec", chunks*prompt.ChunkBytes/4)
	return &Request{
		Model:    "m",
		Weights:  "w1",
		DataHall: "north",
		Chain:    prompt.NewChain(prompt.Scope{Organisation: "o"}, text),
	}
}

func hotLocation(engine string, chunks int) prompt.CacheLocation {
	return prompt.CacheLocation{Upstream: engine, Chunks: chunks}
}

func storedLocation(store string, chunks int) prompt.CacheLocation {
	return prompt.CacheLocation{Upstream: store, Chunks: chunks, Object: &prompt.Object{Chunks: chunks}}
}

var evenWeights = CostWeights{Latency: 1, Recompute: 1, Link: 0.1, Patience: 200 * time.Millisecond}

func place(t *testing.T, f *Fleet, l *Links, q *Request) Decision {
	t.Helper()
	d, err := NewPolicy(config.PolicyDrumpath, f, l, evenWeights).Place(q, testNow.Add(2*time.Millisecond))
	assert.NilError(t, err)
	return d
}

func TestPlaceGoesToTheHotPrefix(t *testing.T) {
	q := testRequest(100)
	q.Match.Locations = []prompt.CacheLocation{hotLocation("e7", 100)}
	d := place(t, testFleet(20), NewLinks(), q)
	assert.Equal(t, d.Replica, "e7")
	assert.Equal(t, d.Recompute, 0)
}

func TestPlaceImportsPrefixThatIsOnlyStored(t *testing.T) {
	q := testRequest(100)
	q.Match.Locations = []prompt.CacheLocation{storedLocation("s1", 100)}
	d := place(t, testFleet(20), NewLinks(), q)
	assert.Assert(t, d.Import != nil)
	assert.Equal(t, d.Import.Chunks, 100)
}

func TestPlaceRecomputesWhenTheLinkIsBooked(t *testing.T) {
	q := testRequest(100)
	q.Match.Locations = []prompt.CacheLocation{storedLocation("s1", 100)}
	l := NewLinks()
	l.Report("s1", 1e6, 50e6, testNow)
	d := place(t, testFleet(20), l, q)
	assert.Assert(t, d.Import == nil)
}

func TestPlaceAvoidsABusyReplicaWithAHotPrefix(t *testing.T) {
	f := testFleet(20)
	q := testRequest(10)
	f.Report("e7", Report{Taken: testNow.Add(2 * time.Millisecond), Slots: 8, PrefillQueue: 500_000, PrefillRate: 10_000, Weights: "w1"})
	q.Match.Locations = []prompt.CacheLocation{hotLocation("e7", 10)}
	d := place(t, f, NewLinks(), q)
	assert.Assert(t, d.Replica != "e7")
}

func TestPlaceNeverUsesOtherWeightsOrLeavingReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := testFleet(12)
		for i := range 12 {
			r := testReport(rapid.IntRange(0, 10_000).Draw(t, "backlog"))
			r.Taken = r.Taken.Add(time.Millisecond)
			r.Weights = rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "weights")
			r.Leaving = rapid.Bool().Draw(t, "leaving")
			f.Report(fmt.Sprint("e", i), r)
		}
		q := testRequest(20)
		q.Exclude = []string{"e0", "e1"}
		q.Match.Locations = []prompt.CacheLocation{hotLocation("e0", 20), hotLocation("e3", 20), storedLocation("s1", 20)}
		for _, name := range []string{
			config.PolicyDrumpath, config.PolicyNeverImport, config.PolicyLongestPrefix,
			config.PolicyLeastLoaded, config.PolicyRoundRobin,
		} {
			d, err := NewPolicy(name, f, NewLinks(), evenWeights).Place(q, testNow)
			if err != nil {
				continue
			}
			r := f.replicas[d.Replica].report
			assert.Assert(t, r.Weights == "w1" && !r.Leaving)
			assert.Assert(t, d.Replica != "e0" && d.Replica != "e1")
		}
	})
}

// Bookings of a link follow each other: no time is booked twice, and ended bookings
// free their time.
func TestLinksAreNotOverbooked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLinks()
		l.Report("s", 1e6, 0, testNow)
		l.Report("e", 1e9, 0, testNow)
		var booked time.Duration
		var open []*Booking
		for range rapid.IntRange(1, 30).Draw(t, "n") {
			bytes := int64(rapid.IntRange(1, 5_000_000).Draw(t, "bytes"))
			want := booked + seconds(float64(bytes)/1e6)
			booking := l.Book("s", "e", bytes, testNow)
			assert.Assert(t, booking.Expected() >= want-time.Microsecond, "expected %s, wanted %s", booking.Expected(), want)
			booked = want
			open = append(open, booking)
		}
		for _, booking := range open {
			booking.End(0, testNow)
			booking.End(0, testNow)
		}
		assert.Assert(t, l.Booked("s", testNow) < time.Millisecond)
	})
}

func TestSlowLinkIsNoticedAndRecovers(t *testing.T) {
	l := NewLinks()
	l.Report("s", 100e6, 0, testNow)
	l.Report("e", 100e6, 0, testNow)
	now := testNow
	for range 6 {
		booking := l.Book("s", "e", 10e6, now)
		now = now.Add(time.Second) // Ten times as long as it should take.
		booking.End(10e6, now)
	}
	assert.Assert(t, l.Estimate("s", "e", 10e6, now) > 500*time.Millisecond)
	now = now.Add(5 * rateRecovery)
	assert.Assert(t, l.Estimate("s", "e", 10e6, now) < 150*time.Millisecond)
}

func TestOutliersAreEjectedUpToAShare(t *testing.T) {
	f := testFleet(10)
	now := testNow
	for i := range 10 {
		for range ejectAfterFailures {
			f.Begin(fmt.Sprint("e", i), 1, now).End(OutcomeFailed, now)
		}
	}
	n := 0
	for _, s := range f.Status(now) {
		if s.Ejected {
			n++
		}
	}
	assert.Equal(t, n, int(10*maxEjectedShare))
	for _, s := range f.Status(now.Add(firstEjection)) {
		assert.Assert(t, !s.Ejected)
	}
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	b := NewRetryBudget(0.1)
	n := 0
	for range 1000 {
		b.Success()
		for b.Take() {
			n++
		}
	}
	assert.Assert(t, n <= maxRetryCredit+100, "%d retries for 1000 successes", n)
}

func TestExportPolicyLearnsThatPromptsDoNotReturn(t *testing.T) {
	policy := NewExportPolicy(evenWeights)
	in := ExportInput{Organisation: "o", Chain: testRequest(100).Chain, PrefillRate: 10_000, TokenBytes: 1000, LinkRate: 100e6}
	_, ok := policy.SelectMark(in)
	assert.Assert(t, ok, "a first prompt may return")
	for range 100 {
		policy.SelectMark(in)
	}
	_, ok = policy.SelectMark(in)
	assert.Assert(t, !ok, "prompts of this organisation never return")
	in.Match.Occurrences = []prompt.Occurrence{{Chunks: 60, Count: 3}}
	mark, ok := policy.SelectMark(in)
	assert.Assert(t, ok)
	assert.Equal(t, mark.Chunks, 60)
	in.Match.Locations = []prompt.CacheLocation{storedLocation("s", 60)}
	_, ok = policy.SelectMark(in)
	assert.Assert(t, !ok, "it is stored already")
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{20, 200, 7000} {
		b.Run(fmt.Sprint("replicas=", n), func(b *testing.B) {
			f := testFleet(n)
			q := testRequest(200)
			q.Match.Locations = []prompt.CacheLocation{hotLocation("e3", 200), hotLocation("e5", 100), storedLocation("s1", 200), storedLocation("s2", 200)}
			p := NewPolicy(config.PolicyDrumpath, f, NewLinks(), evenWeights)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := p.Place(q, testNow); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Whatever the cost of recomputing, the first token comes at most Patience later than
// with the fastest decision.
func TestFirstTokenComesWithinPatience(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := testFleet(6)
		for i := range 6 {
			r := testReport(rapid.IntRange(0, 40_000).Draw(t, "backlog"))
			r.Taken = r.Taken.Add(time.Millisecond)
			f.Report(fmt.Sprint("e", i), r)
		}
		l := NewLinks()
		l.Report("s1", 1e6, int64(rapid.IntRange(0, 10_000_000).Draw(t, "queue")), testNow)
		q := testRequest(100)
		q.Match.Locations = []prompt.CacheLocation{hotLocation("e1", 100), storedLocation("s1", 100)}
		w := CostWeights{Latency: 1, Recompute: 100, Patience: 200 * time.Millisecond}
		now := testNow.Add(2 * time.Millisecond)
		d, err := NewPolicy(config.PolicyDrumpath, f, l, w).Place(q, now)
		assert.NilError(t, err)
		fastest, err := NewPolicy(config.PolicyDrumpath, f, l, CostWeights{Latency: 1}).Place(q, now)
		assert.NilError(t, err)
		assert.Assert(t, d.FirstToken() <= fastest.FirstToken()+w.Patience)
	})
}

func TestCountersGiveTheRateBeforeAnyTransfer(t *testing.T) {
	l := NewLinks()
	l.Report("s", 100e6, 0, testNow)
	l.Report("e", 100e6, 0, testNow)
	l.UpdateCounters("s", 500e6, 5*time.Second, testNow)
	assert.Equal(t, l.Estimate("s", "e", 10e6, testNow), 100*time.Millisecond)
	l.UpdateCounters("s", 510e6, 6*time.Second, testNow)
	assert.Equal(t, l.Estimate("s", "e", 10e6, testNow), time.Second)
	l.UpdateCounters("s", 0, 0, testNow) // The store has restarted.
	l.UpdateCounters("s", 100e6, time.Second, testNow)
	l.UpdateCounters("s", 200e6, 2*time.Second, testNow)
	assert.Equal(t, l.Estimate("s", "e", 10e6, testNow), 100*time.Millisecond)
}

// In a large fleet most replicas aren't polled by this node; they must not look idle.
func TestReplicasWithoutReportsAreNotTakenForIdle(t *testing.T) {
	f := NewFleet(rand.New(rand.NewPCG(1, 2)))
	var list []Replica
	for i := range 1000 {
		list = append(list, Replica{Name: fmt.Sprint("e", i), DataHall: "north", Model: "m"})
	}
	f.Configure(list, testNow)
	var near []string
	for i := range 30 {
		near = append(near, fmt.Sprint("e", i))
		f.Report(near[i], testReport(1000*i))
	}
	f.SetPolled(near)
	now := testNow.Add(time.Second)
	f.MedianWait(now)
	for range 50 {
		d, err := NewPolicy(config.PolicyDrumpath, f, NewLinks(), evenWeights).Place(testRequest(20), now)
		assert.NilError(t, err)
		assert.Assert(t, slices.Contains(near, d.Replica), "%s has no report", d.Replica)
	}
	q := testRequest(20)
	q.Match.Locations = []prompt.CacheLocation{hotLocation("e999", 20)}
	d, err := NewPolicy(config.PolicyDrumpath, f, NewLinks(), evenWeights).Place(q, testNow.Add(time.Minute))
	assert.NilError(t, err)
	assert.Assert(t, d.Replica != "e999" || d.Wait > 0, "a holder without a report has at least the others' wait")
}

func TestMedianWaitIgnoresOneBusyReplica(t *testing.T) {
	f := testFleet(5)
	r := testReport(10_000_000)
	r.Taken = r.Taken.Add(time.Millisecond)
	f.Report("e0", r)
	assert.Equal(t, f.MedianWait(testNow.Add(3*time.Millisecond)), time.Duration(0))
}
