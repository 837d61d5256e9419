package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/drumpath/drumpath/pkg/site"
)

// The cost of one pick by the number of replicas.
func BenchmarkPoolPick(b *testing.B) {
	for _, n := range []int{18, 60, 600, 2300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newTestPool(n, 1)
			need := &PickInput{Model: "m", Tokens: 9000, Shared: 7500, Affinity: 7}
			b.ReportAllocs()
			for b.Loop() {
				c, ok := p.Pick(need, testNow)
				if !ok {
					b.Fatal("nothing picked")
				}
				k := p.Begin(c, testNow)
				k.FirstByte(testNow)
				k.End(OutcomeOK, testNow)
			}
		})
	}
}

// The cost of one plan by the number of stores, each with 1,000 parts.
func BenchmarkKeptPlan(b *testing.B) {
	for _, n := range []int{5, 14, 140} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var stores []*site.Service
			for i := range n {
				stores = append(stores, testStore(fmt.Sprintf("s%d", i), fmt.Sprintf("h%d", i%3), fmt.Sprintf("10.0.%d.%d:1", i/200, 1+i%200), 2_000_000, 4e9))
			}
			k := newTestIndex(stores...)
			for i, s := range stores {
				for j := range 1000 {
					k.ApplyStoreChanges(s.Name, site.CacheChanges{Boot: 1, Changes: storeChanges("r", site.Part{ID: fmt.Sprintf("%d-%d", i, j), Tokens: 5000})}, testNow)
				}
			}
			now := testNow
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(10 * time.Millisecond)
				parts := []site.Part{{ID: "common", Tokens: 2500}, {ID: fmt.Sprintf("%d-%d", i%n, i%1000), Tokens: 5000}}
				k.Plan("r", site.Upstream{DataHall: "h0"}, parts, testEngine, PlanLimits{MaxFetchTime: time.Second}, now)
			}
		})
	}
}

// The cost of one look-up by the number of engines, each of which holds 20 parts.
func BenchmarkKeptLook(b *testing.B) {
	for _, n := range []int{9, 60, 256} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			engines := testReplicas(n, 1)
			k := NewCacheIndex()
			k.SetEngines("", engines, testEngine)
			for i, u := range engines {
				parts := []site.Part{{ID: "common", Tokens: 2500}}
				for j := range 19 {
					parts = append(parts, site.Part{ID: fmt.Sprint(i*7 + j), Tokens: 5000})
				}
				k.ApplyEngineUpdate(EngineCacheUpdate{Engine: u.ID, Full: true, Changes: engineChanges("r", parts...)})
			}
			realm := func(int64) Realm { return Realm{Name: "r"} }
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				parts := []site.Part{{ID: "common", Tokens: 2500}, {ID: fmt.Sprint(i % (7 * n)), Tokens: 5000}}
				k.Coverage(engines, "m", realm, parts, testEngine, time.Second, testNow)
			}
		})
	}
}
