package canary

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/site"
)

// badness is how a version differs from a good one.
type badness struct {
	name    string
	fails   float64       // Share of its answers that fail in addition.
	slower  float64       // Factor of its durations, 0 for 1.
	from    time.Duration // After the order.
	load    float64       // Only while it gets at least this share of the requests.
	route   int           // Only on this route, 0 for all.
	appFail float64       // Share of the answers of either version that fail by themselves.
}

func (b *badness) isBad() bool { return b.fails > 0 || b.slower > 1 }

// simulated is one roll-out in virtual time.
type simulated struct {
	nodes    int
	perS     float64
	duration time.Duration
	kind     badness
	limits   Limits
}

var simulatedSeeds = flag.Int("seeds", 8, "number of simulated roll-outs of each kind and size")

// Simulated routes, and how the requests are divided among them.
var routeShares = []float64{0.5, 0.25, 0.15, 0.1}

const (
	simStep    = 50 * time.Millisecond
	simSlack   = 50 // Requests that a bad version may get beyond its share.
	rollback   = 5 * time.Second
	badAnswers = 50
)

type simResult struct {
	state   site.RolloutState
	at      time.Duration // Of the verdict.
	exposed int           // Requests to the new version before the deadline.
	allowed float64
	tooLate int // Requests later than rollback after the last of badAnswers.
}

// simNode is a node as the simulation has it: what it counted, what it last reported, and what it
// was told.
type simNode struct {
	stats    Stats
	reported Stats
	reportAt time.Duration
	stage    int
	told     []toldStage
}

type toldStage struct {
	at    time.Duration
	stage int
}

func (s *simulated) run(seed uint64) (result simResult) {
	rng := rand.New(rand.NewPCG(seed, 7))
	result.allowed = s.limits.Share*s.perS*s.duration.Seconds() + simSlack
	order := site.RolloutOrder{Service: "s", Version: "v2", Duration: s.duration}
	c := NewController(order)
	interval := min(1500*time.Millisecond, max(250*time.Millisecond, time.Duration(s.nodes)*1500*time.Microsecond))
	list := make([]simNode, s.nodes)
	for i := range list {
		list[i] = simNode{stats: Stats{}, reported: Stats{}, reportAt: time.Duration(rng.Int64N(int64(interval))), stage: StageHalted}
	}
	stage, badCount, badAt := StageHalted, 0, s.duration
	for now := time.Duration(0); now < s.duration; now += simStep {
		for range poisson(rng, s.perS*simStep.Seconds()) {
			n := &list[rng.IntN(s.nodes)]
			for len(n.told) > 0 && n.told[0].at <= now {
				n.stage, n.told = n.told[0].stage, n.told[1:]
			}
			share := ShareOf(n.stage, s.limits)
			arm := ArmOld
			if UsesNewVersion(fmt.Sprint(seed, rng.Uint64()), share) {
				arm = ArmNew
				result.exposed++
				if now > badAt+rollback {
					result.tooLate++
				}
			}
			if s.request(rng, n, arm, share, now) {
				if badCount++; badCount == badAnswers {
					badAt = now
				}
			}
		}
		total := Stats{}
		for i := range list {
			n := &list[i]
			if now >= n.reportAt {
				n.reportAt += interval
				n.reported = cloneStats(n.stats)
				delay := 50*time.Millisecond + time.Duration(rng.Int64N(int64(200*time.Millisecond)))
				n.told = append(n.told, toldStage{now + delay, stage})
			}
		}
		if now%(10*simStep) != 0 {
			continue
		}
		for i := range list {
			total.Plus(list[i].reported)
		}
		d := c.Step(&Report{Elapsed: now, Total: total})
		if d.State.Final() && result.at == 0 {
			result.state, result.at = d.State, now
			for i := range list { // Decisions that can't wait are told to all nodes.
				list[i].told = append(list[i].told, toldStage{now + 100*time.Millisecond + time.Duration(rng.Int64N(int64(1200*time.Millisecond))), d.Stage})
			}
		}
		stage = d.Stage
		if result.state == site.RolloutCompleted {
			break
		}
	}
	return result
}

// request plays one request and reports whether its answer shows that the version is bad.
func (s *simulated) request(rng *rand.Rand, n *simNode, arm Arm, share float64, now time.Duration) (bad bool) {
	route, at := 0, rng.Float64()
	for at > routeShares[route] && route < len(routeShares)-1 {
		at -= routeShares[route]
		route++
	}
	o := Outcome{Route: fmt.Sprint("route-", route), Arm: arm}
	o.FirstByte = time.Duration(30 * math.Exp(0.5*rng.NormFloat64()) * float64(time.Millisecond))
	o.Failed = rng.Float64() < s.kind.appFail
	active := arm == ArmNew && now >= s.kind.from && share >= s.kind.load && (s.kind.route == 0 || route == s.kind.route)
	if active && rng.Float64() < s.kind.fails {
		o.Failed, bad = true, true
	}
	if active && s.kind.slower > 1 {
		o.FirstByte = time.Duration(s.kind.slower * float64(o.FirstByte))
		bad = true
	}
	n.stats.Add(&o)
	return bad
}

func cloneStats(s Stats) Stats {
	c := Stats{}
	c.Plus(s)
	return c
}

func poisson(rng *rand.Rand, mean float64) (n int) {
	for limit, p := math.Exp(-mean), rng.Float64(); p > limit; n++ {
		p *= rng.Float64()
	}
	return n
}

// simKinds are the ways in which versions are good or bad.
var simKinds = []badness{
	{name: "good"},
	{name: "good, the application fails 0.14", appFail: 0.14},
	{name: "fails 0.3 from the start", fails: 0.3},
	{name: "fails 0.3, the application 0.14", fails: 0.3, appFail: 0.14},
	{name: "4 times slower", slower: 4},
	{name: "fails 0.3 from a third on", fails: 0.3, from: -1},
	{name: "fails 0.4 under load", fails: 0.4, load: 0.1},
	{name: "5 times slower under load", slower: 5, load: 0.1},
	{name: "fails 0.5 on a route with 0.25 of the load", fails: 0.5, route: 1},
	{name: "4 times slower on that route", slower: 4, route: 1},
}

// A roll-out is taken back if the new version is bad, before it gets more than its share, and
// completed if it is good. go test -v prints the table; -seeds plays more of each kind.
func TestVerdictsOfSimulatedRollouts(t *testing.T) {
	seeds := *simulatedSeeds
	sizes := []simulated{
		{nodes: 68, perS: 152, duration: 20 * time.Second},
		{nodes: 295, perS: 570, duration: 12 * time.Second},
		{nodes: 985, perS: 570, duration: 20 * time.Second},
	}
	for _, size := range sizes {
		for _, kind := range simKinds {
			t.Run(fmt.Sprintf("%d nodes, %s", size.nodes, kind.name), func(t *testing.T) {
				t.Parallel()
				s := size
				s.kind, s.limits = kind, Limits{Share: 0.1}
				if kind.from < 0 {
					s.kind.from = s.duration / 3
				}
				wrong, overExposed, tooLate, worst, sum := 0, 0, 0, 0.0, time.Duration(0)
				for seed := range seeds {
					r := s.run(uint64(seed))
					sum += r.at
					want := site.RolloutCompleted
					if kind.isBad() {
						want = site.RolloutRolledBack
						worst = max(worst, float64(r.exposed)/r.allowed)
						if float64(r.exposed) > r.allowed {
							overExposed++
						}
						if r.tooLate > 0 {
							tooLate++
						}
					}
					if r.state != want {
						wrong++
					}
				}
				t.Logf("of %d: wrong verdicts %d, exposed too much %d, told too late %d; worst exposure %.2f of the allowed; verdict after %.1f s on average",
					seeds, wrong, overExposed, tooLate, worst, sum.Seconds()/float64(seeds))
				assert.Equal(t, wrong, 0)
				assert.Equal(t, overExposed, 0)
				assert.Equal(t, tooLate, 0)
			})
		}
	}
}
