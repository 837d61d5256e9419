package route

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/site"
)

func enginesInHalls(halls, perHall int) (list []site.Upstream) {
	for i := range halls * perHall {
		list = append(list, site.Upstream{ID: fmt.Sprintf("i-%06d", i*7919), DataHall: fmt.Sprint("h", i%halls)})
	}
	return list
}

func poolOf(engines []site.Upstream) *Pool {
	p := NewPool("", rand.New(rand.NewPCG(1, 2)))
	p.Configure(engines, testNow)
	return p
}

func trackedIDs(tracked map[string][]site.Upstream) map[string]bool {
	ids := map[string]bool{}
	for _, list := range tracked {
		for _, u := range list {
			ids[u.ID] = true
		}
	}
	return ids
}

// If a fleet grows by one engine, at most one other engine stops being tracked. Tracking
// used to stop for a whole service when it exceeded a limit by one engine.
func TestGrowingFleetReplacesAtMostOneTrackedEngine(t *testing.T) {
	const most = 64
	all := enginesInHalls(5, 120)
	p := poolOf(all[:1])
	before := trackedIDs(p.Tracked("h0", most))
	for n := 2; n <= len(all); n++ {
		p.Put(all[n-1], testNow)
		now := trackedIDs(p.Tracked("h0", most))
		assert.Equal(t, len(now), min(n, most))
		lost := 0
		for id := range before {
			if !now[id] {
				lost++
			}
		}
		assert.Assert(t, lost <= 1, "%d of %d lost at %d engines", lost, len(before), n)
		before = now
	}
}

// What a hall tracks of another hall's engines, that hall's own nodes track too.
func TestEnginesTrackedElsewhereAreTrackedInTheirOwnHall(t *testing.T) {
	const most = 64
	for _, each := range []int{1, 3, 12, 51, 330} {
		p := poolOf(enginesInHalls(5, each))
		own := map[string]map[string]bool{}
		for h := range 5 {
			hall := fmt.Sprint("h", h)
			own[hall] = trackedIDs(map[string][]site.Upstream{hall: p.Tracked(hall, most)[hall]})
		}
		for h := range 5 {
			for hall, list := range p.Tracked(fmt.Sprint("h", h), most) {
				for _, u := range list {
					assert.Assert(t, own[hall][u.ID], "%s of %s, %d each", u.ID, hall, each)
				}
			}
		}
	}
}
