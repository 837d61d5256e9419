package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/drumpath/drumpath/pkg/site"
)

// The cost of one pick, by the number of replicas.
func BenchmarkPoolPick(b *testing.B) {
	for _, n := range []int{18, 60, 600, 2300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newTestPool(n, 1)
			input := &PickInput{Model: "m", Tokens: 9000, Shared: 7500, Affinity: 7}
			b.ReportAllocs()
			for b.Loop() {
				c, ok := p.Pick(input, testNow)
				if !ok {
					b.Fatal("no replica picked")
				}
				request := p.Begin(c, testNow)
				request.FirstByte(testNow)
				request.End(OutcomeOK, testNow)
			}
		})
	}
}

// The cost of one plan, by the number of stores with 1,000 parts each.
func BenchmarkCacheIndexPlan(b *testing.B) {
	for _, n := range []int{5, 14, 140} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var stores []*site.Service
			for i := range n {
				stores = append(stores, testStore(fmt.Sprintf("s%d", i), fmt.Sprintf("h%d", i%3), fmt.Sprintf("10.0.%d.%d:1", i/200, 1+i%200), 2_000_000, 4e9))
			}
			index := newTestIndex(stores...)
			for i, s := range stores {
				for j := range 1000 {
					index.ApplyStoreChanges(s.Name, site.CacheChanges{Boot: 1, Changes: storeChanges("r", site.Part{ID: fmt.Sprintf("%d-%d", i, j), Tokens: 5000})}, testNow)
				}
			}
			now := testNow
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(10 * time.Millisecond)
				parts := []site.Part{{ID: "common", Tokens: 2500}, {ID: fmt.Sprintf("%d-%d", i%n, i%1000), Tokens: 5000}}
				index.Plan("r", site.Upstream{DataHall: "h0"}, parts, testEngine, PlanLimits{MaxFetchTime: time.Second}, now)
			}
		})
	}
}

// The cost of one lookup, by the number of engines with 20 parts each.
func BenchmarkCacheIndexCoverage(b *testing.B) {
	for _, n := range []int{9, 60, 256} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			engines := testReplicas(n, 1)
			index := NewCacheIndex()
			index.SetEngines("", engines, testEngine)
			for i, u := range engines {
				parts := []site.Part{{ID: "common", Tokens: 2500}}
				for j := range 19 {
					parts = append(parts, site.Part{ID: fmt.Sprint(i*7 + j), Tokens: 5000})
				}
				index.ApplyEngineUpdate(EngineCacheUpdate{Engine: u.ID, Full: true, Changes: engineChanges("r", parts...)})
			}
			realms := map[int64]Realm{1: {Name: "r"}}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				parts := []site.Part{{ID: "common", Tokens: 2500}, {ID: fmt.Sprint(i % (7 * n)), Tokens: 5000}}
				index.Coverage(engines, "m", realms, parts, testEngine, time.Second, testNow)
			}
		})
	}
}

// The additional cost of the bound in bytes on a pick, by the number of replicas; see
// BenchmarkPoolPick.
func BenchmarkPoolPickWithRequestBytes(b *testing.B) {
	for _, n := range []int{18, 60} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newTestPool(n, 1)
			p.SetRequestBytes(fixedBytes{least: 1 << 20})
			input := &PickInput{Model: "m", Tokens: 9000, Shared: 7500, Affinity: 7, Bytes: 50_000}
			b.ReportAllocs()
			for b.Loop() {
				c, ok := p.Pick(input, testNow)
				if !ok {
					b.Fatal("no replica picked")
				}
				p.Begin(c, testNow).End(OutcomeOK, testNow)
			}
		})
	}
}

// The cost of one pick that prefers the own hall, compared with one that does not, while all
// replicas are idle and while half of them have no room.
func BenchmarkPoolPickInOwnHall(b *testing.B) {
	for _, n := range []int{18, 140, 2300} {
		for _, within := range []time.Duration{0, 100 * time.Millisecond} {
			for _, busy := range []bool{false, true} {
				b.Run(fmt.Sprintf("%d/within=%s/busy=%v", n, within, busy), func(b *testing.B) {
					p := newTestPool(n, 1)
					if busy {
						loads := map[NameHash]PeerLoad{}
						for i, m := range p.members {
							if i%2 == 0 {
								loads[m.startHash] = PeerLoad{Requests: 3, Tokens: BandTokens{40_000}}
							}
						}
						p.SetPeers(loads)
					}
					b.ReportAllocs()
					for b.Loop() {
						if _, ok := p.Pick(&PickInput{Model: "m", Tokens: 9000, Shared: 7500, Affinity: 7, BeginWithin: within}, testNow); !ok {
							b.Fatal("no replica picked")
						}
					}
				})
			}
		}
	}
}
