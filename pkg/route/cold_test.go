package route

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/drumpath/drumpath/pkg/rendezvous"
	"github.com/drumpath/drumpath/pkg/site"
)

// hashedShares divides a limit among some of many nodes by hashing, for one of them.
type hashedShares struct {
	node, nodes    int
	sharers, share int
	cache          map[uint64]int
}

func (o *hashedShares) Share(replica uint64, _ string, _ int) int {
	if share, ok := o.cache[replica]; ok {
		return share
	}
	weight := func(i int) uint64 { return rendezvous.Weight(replica, rendezvous.Hash(fmt.Sprint("node", i))) }
	before := 0
	for i := range o.nodes {
		if weight(i) > weight(o.node) {
			before++
		}
	}
	o.cache[replica] = 0
	if before < o.sharers {
		o.cache[replica] = o.share
	}
	return o.cache[replica]
}

// shareAmongMost gives as many nodes a share as a limit has requests.
func shareAmongMost(node, nodes, limit int) *hashedShares {
	return shareAmong(node, nodes, min(nodes, limit), limit)
}

// among gives some nodes a share of a limit.
func shareAmong(node, nodes, sharers, limit int) *hashedShares {
	return &hashedShares{node: node, nodes: nodes, sharers: sharers, share: limit / sharers, cache: map[uint64]int{}}
}

func TestColdRequestLimitStaysWithinRateAndSlack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 500).Draw(t, "rate")
		overage := rapid.Float64Range(1, 3).Draw(t, "overage")
		slack := rapid.Float64Range(0, 10).Draw(t, "slack")
		most, ok := ColdRequestLimit(rate, overage, slack)
		assert.Equal(t, ok, rate > 0)
		assert.Assert(t, float64(most) <= rate*overage+slack)
		assert.Assert(t, !ok || most > 0 || rate*overage+slack < 1)
	})
}

// A node sends a cold replica no more than its share in any second, whatever comes, and
// nothing if it has none.
func TestNodeStaysWithinItsShareOfAColdReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := testNow
		p := newTestPool(1, 1)
		shares := shareAmongMost(0, rapid.IntRange(1, 8).Draw(t, "nodes"), rapid.IntRange(1, 20).Draw(t, "most"))
		p.SetColdLimit(0, shares)
		share := shares.Share(rendezvous.Hash("r00"), "", 0)
		list := testReplicas(1, 1)
		list[0].ColdUntil = now.Add(time.Minute)
		p.Configure(list, now)
		var sent []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			c, ok := p.Pick(&PickInput{Model: "m", Tokens: 100, Send: true}, now)
			if !ok {
				why := p.Availability(&PickInput{Model: "m", Tokens: 100}, now)
				assert.Equal(t, why.Excluded[ExcludedCold], 1)
				assert.Assert(t, why.RetryAfter >= minRetryAfter)
				continue
			}
			sent = append(sent, now)
			p.Begin(c, now).End(OutcomeOK, now)
		}
		if share == 0 {
			assert.Equal(t, len(sent), 0)
		}
		for i := share; i < len(sent); i++ {
			assert.Assert(t, sent[i].Sub(sent[i-share]) >= coldWindow)
		}
	})
}

// A replica that was not reached may have started again: it is taken to be cold, the other
// nodes are told once a second, and a node that reaches nobody tells nothing.
func TestUnreachableReplicaIsPresumedCold(t *testing.T) {
	p := newTestPool(6, 1)
	p.SetColdLimit(10, shareAmongMost(0, 1, 10))
	assert.Assert(t, p.RecordUnreachable("r00", testNow))
	assert.Assert(t, !p.RecordUnreachable("r00", testNow.Add(100*time.Millisecond)), "it was told of a moment ago")
	assert.Equal(t, p.CountCold(testNow), 1)
	p.Begin(pickFrom(t, p), testNow).End(OutcomeOK, testNow)
	assert.Assert(t, p.RecordUnreachable("r00", testNow.Add(2*time.Second)))
	assert.Assert(t, p.RecordUnreachable("r01", testNow.Add(2*time.Second)))
	assert.Assert(t, !p.RecordUnreachable("r02", testNow.Add(2*time.Second)), "this node's own way is at fault")
	p.PresumeCold(ReplicaRef{ID: "r03"}, testNow.Add(2*time.Second))
	assert.Equal(t, p.CountCold(testNow.Add(2*time.Second)), 3)
	assert.Equal(t, p.CountCold(testNow.Add(2*time.Second+presumedColdTerm)), 0)
	p.Begin(pickFrom(t, p), testNow).End(OutcomeOK, testNow)
	p.RecordDisconnect("r04", testNow.Add(2*time.Second))
	assert.Equal(t, p.CountCold(testNow.Add(2*time.Second)), 4)
	p = newTestPool(6, 1)
	p.SetColdLimit(10, shareAmongMost(0, 1, 10))
	for i := range 6 {
		p.RecordDisconnect(fmt.Sprintf("r%02d", i), testNow)
	}
	assert.Equal(t, p.CountCold(testNow), localFaultThreshold-1, "this node's connections are at fault")
	p.SetColdLimit(0, nil)
	assert.Equal(t, p.CountCold(testNow), 0, "the configuration has no limit any more")
	unlimited := newTestPool(6, 1)
	assert.Assert(t, !unlimited.RecordUnreachable("r00", testNow), "its replicas are never cold")
	assert.Equal(t, unlimited.CountCold(testNow), 0)
}

func pickFrom(t *testing.T, p *Pool) Choice {
	c, ok := p.Pick(&PickInput{Model: "m", Tokens: 100}, testNow)
	assert.Assert(t, ok)
	return c
}

// What is told of one start of a replica does not touch another, and nothing that was known
// of the last one stays.
func TestRestartedReplicaKeepsNoOldState(t *testing.T) {
	p := newTestPool(2, 1)
	list := testReplicas(2, 1)
	list[0].Started = testNow.Add(-time.Hour)
	p.Configure(list, testNow)
	old := RefOf(&list[0])
	p.RecordWeights(old, "m", 3)
	p.RecordUnreachable("r00", testNow)
	c, ok := p.Pick(&PickInput{Model: "m", Tokens: 100, Exclude: []string{"r01"}}, testNow)
	assert.Assert(t, ok && c.Weights == 3)
	p.Begin(c, testNow)
	list[0].Started = testNow
	p.Configure(list, testNow)
	c, ok = p.Pick(&PickInput{Model: "m", Tokens: 100, Exclude: []string{"r01"}}, testNow)
	assert.Assert(t, ok && c.Weights == 1 && c.TokensAhead == 0)
	assert.Equal(t, len(p.AppendLoads(nil)), 0)
	assert.Assert(t, !p.Status(testNow)[0].Ejected)
	p.RecordWeights(old, "m", 5) // Word of the old start comes late.
	p.AvoidForSwap(old, "m", 5, testNow.Add(time.Second))
	assert.Equal(t, p.Swapping(testNow), 0)
	assert.Equal(t, p.Upstreams()[0].Weights["m"], int64(1))
	p.SetPeers(map[NameHash]PeerLoad{HashName(list[0].ID + "@0"): {Requests: 9}})
	assert.Equal(t, p.Status(testNow)[0].Others.Requests, 0)
}

// Requests run in the regions of their homes only.
func TestRequestsStayInTheirHomeRegions(t *testing.T) {
	p := newTestPool(6, 1)
	list := testReplicas(6, 1)
	for i := range list {
		list[i].Region = fmt.Sprintf("region%d", i%3)
	}
	list[5].Region = "" // Not known.
	p.Configure(list, testNow)
	for range 50 {
		c, ok := p.Pick(&PickInput{Model: "m", Tokens: 100, HomesOnly: true, Homes: []string{"region1", "region2"}}, testNow)
		assert.Assert(t, ok && (c.ID == "r01" || c.ID == "r02" || c.ID == "r04"))
	}
	input := &PickInput{Model: "m", Tokens: 100, HomesOnly: true}
	_, ok := p.Pick(input, testNow)
	assert.Assert(t, !ok, "route and organisation have no region in common")
	assert.Equal(t, p.Availability(input, testNow).Excluded[ExcludedOutside], 6)
}

// coldReplay is a data hall's outage and return: a third of 60 replicas is down for 1 s while
// the nodes' lists still have them, and comes back cold and empty at one moment, which no
// list tells: each node hears of it 0.1 to 1.3 s later. What was not reached the nodes tell
// each other 50 ms late, and what they have in flight 0.1 s late.
type coldReplay struct {
	nodes int
	rate  float64 // Requests a second, of all clients.
	// shares tells what each node may send to cold replicas, nil for no limit.
	shares func(node int) ColdShares
}

// coldOutcome is what came of it, from the return on.
type coldOutcome struct {
	maxPerSecond  int     // The most requests that a cold replica got in a second.
	usedShare     float64 // Of the 11 requests a second that cold replicas bear, what they were sent.
	unplacedShare float64 // The part of the requests that found no replica.
}

const (
	coldReplayReplicas     = 60
	coldReplayReturning    = 20
	coldReplayLeadTime     = time.Second
	coldReplayDownTime     = time.Second
	coldReplayTerm         = 3 * time.Second // For which they are cold.
	coldReplayLoadInterval = 100 * time.Millisecond
	coldReplayNoticeDelay  = 50 * time.Millisecond
)

// runningRequest is a request under way.
type runningRequest struct {
	at     time.Time
	flight *InFlightRequest
}

type unreachableNotice struct {
	at time.Time
	id string
}

// hallReplay is a coldReplay under way.
type hallReplay struct {
	coldReplay
	rng      *rand.Rand
	list     []site.Upstream
	cold     []site.Upstream // The same, once it is known that they are cold.
	pools    []*Pool
	learnsAt []time.Time // When each node hears of that; zero once it has.
	running  []runningRequest
	notices  []unreachableNotice
	arrivals map[string][]time.Time
	sent     int
	unplaced int
}

func (r coldReplay) run(seed uint64) (o coldOutcome) {
	h := &hallReplay{coldReplay: r, rng: rand.New(rand.NewPCG(seed, 2)), list: testReplicas(coldReplayReplicas, 1), arrivals: map[string][]time.Time{}}
	slices.SortFunc(h.list, func(a, b site.Upstream) int { return cmp.Compare(a.DataHall, b.DataHall) })
	down := testNow.Add(coldReplayLeadTime)
	back := down.Add(coldReplayDownTime)
	for i := range h.list {
		h.list[i].Slots = 64
	}
	h.cold = slices.Clone(h.list)
	for i := range coldReplayReturning {
		h.cold[i].ColdUntil = back.Add(coldReplayTerm)
	}
	for i := range r.nodes {
		p := NewPool(fmt.Sprintf("h%d", i%3), rand.New(rand.NewPCG(seed, uint64(i))))
		p.Configure(h.list, testNow)
		if r.shares != nil {
			p.SetColdLimit(0, r.shares(i))
		}
		h.pools = append(h.pools, p)
		h.learnsAt = append(h.learnsAt, back.Add(time.Duration(100+h.rng.IntN(1200))*time.Millisecond))
	}
	nextExchange := testNow
	for now := testNow; now.Before(back.Add(coldReplayTerm)); now = now.Add(time.Duration(h.rng.ExpFloat64() / r.rate * float64(time.Second))) {
		h.advance(now)
		if !now.Before(nextExchange) {
			nextExchange = now.Add(coldReplayLoadInterval)
			exchangeLoads(h.pools)
		}
		h.request(h.rng.IntN(r.nodes), now, down, back)
	}
	return h.outcome()
}

// advance ends what is over by now, and tells what is due.
func (h *hallReplay) advance(now time.Time) {
	for len(h.running) > 0 && !h.running[0].at.After(now) {
		h.running[0].flight.FirstByte(h.running[0].at)
		h.running[0].flight.End(OutcomeOK, h.running[0].at)
		h.running = h.running[1:]
	}
	for len(h.notices) > 0 && !h.notices[0].at.After(now) {
		for _, p := range h.pools {
			p.PresumeCold(ReplicaRef{ID: h.notices[0].id}, now)
		}
		h.notices = h.notices[1:]
	}
}

// request sends one request from a node, to up to three replicas.
func (h *hallReplay) request(node int, now, down, back time.Time) {
	p := h.pools[node]
	if at := h.learnsAt[node]; !at.IsZero() && !now.Before(at) {
		h.learnsAt[node] = time.Time{}
		p.Configure(h.cold, now)
	}
	input := &PickInput{Model: "m", Tokens: 3000, Memory: 3000, Capacity: 40_000, Send: true}
	after := !now.Before(back)
	if after {
		h.sent++
	}
	for range 3 {
		c, ok := p.Pick(input, now)
		if !ok {
			break
		}
		f := p.Begin(c, now)
		if c.DataHall == h.list[0].DataHall && !now.Before(down) && !after {
			f.End(OutcomeFailed, now)
			if p.RecordUnreachable(c.ID, now) {
				h.notices = append(h.notices, unreachableNotice{now.Add(coldReplayNoticeDelay), c.ID})
			}
			input.Exclude = append(input.Exclude, c.ID)
			continue
		}
		if after {
			h.arrivals[c.ID] = append(h.arrivals[c.ID], now)
		}
		e := runningRequest{at: now.Add(c.Expected), flight: f}
		at, _ := slices.BinarySearchFunc(h.running, e, func(a, b runningRequest) int { return a.at.Compare(b.at) })
		h.running = slices.Insert(h.running, at, e)
		return
	}
	if after {
		h.unplaced++
	}
}

func (h *hallReplay) outcome() (o coldOutcome) {
	got := 0
	for i := range coldReplayReturning {
		times := h.arrivals[h.list[i].ID]
		got += len(times)
		o.maxPerSecond = max(o.maxPerSecond, maxInOneSecond(times))
	}
	o.usedShare = float64(got) / (coldReplayReturning * 11 * coldReplayTerm.Seconds())
	o.unplacedShare = float64(h.unplaced) / float64(h.sent)
	return o
}

func maxInOneSecond(times []time.Time) (most int) {
	first := 0
	for i := range times {
		for times[i].Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// exchangeLoads has each node know what the others have in flight.
func exchangeLoads(pools []*Pool) {
	sum := map[NameHash]PeerLoad{}
	own := make([][]ReplicaLoad, len(pools))
	for i, p := range pools {
		own[i] = p.AppendLoads(nil)
		for _, l := range own[i] {
			sum[l.Key] = sum[l.Key].Plus(l.Load)
		}
	}
	for i, p := range pools {
		others := maps.Clone(sum)
		for _, l := range own[i] {
			others[l.Key] = others[l.Key].Minus(l.Load)
		}
		p.SetPeers(others)
	}
}

const (
	coldReplayRate  = 900 // Requests a second: some 2.7 times the mean of 337.
	coldReplayLimit = 16  // Requests that a cold replica may get in a second: 1.5 times 11.
)

// A data hall goes and comes back cold under the worst load. Without a limit a replica gets
// more than the 21 requests in a second that are allowed; with shares none does, and a good
// part of what cold replicas bear is used.
func TestReturningColdHallIsNotOverloaded(t *testing.T) {
	for _, nodes := range []int{7, 71, 295} {
		for seed := range uint64(2) {
			shares := func(node int) ColdShares { return shareAmongMost(node, nodes, coldReplayLimit) }
			o := coldReplay{nodes: nodes, rate: coldReplayRate, shares: shares}.run(seed)
			t.Logf("%d nodes: %+v", nodes, o)
			assert.Assert(t, o.maxPerSecond <= 21)
			assert.Equal(t, o.unplacedShare, 0.0)
			assert.Assert(t, o.usedShare > 0.15)
		}
	}
	worst := 0
	for seed := range uint64(2) {
		o := coldReplay{nodes: 71, rate: coldReplayRate}.run(seed)
		t.Logf("no limit: %+v", o)
		worst = max(worst, o.maxPerSecond)
	}
	assert.Assert(t, worst > 21, "the replay is too mild: %d in a second without a limit", worst)
}

// The shares of more or fewer nodes, by the most that a cold replica gets in a second and the
// part of what they bear that is used.
func BenchmarkColdShares(b *testing.B) {
	for _, nodes := range []int{7, 71, 295, 900} {
		for _, users := range []int{0, 1, 2, 4, 8, 16} {
			r := coldReplay{nodes: nodes, rate: coldReplayRate}
			if users > 0 {
				r.shares = func(node int) ColdShares { return shareAmong(node, nodes, min(users, nodes), coldReplayLimit) }
			}
			b.Run(fmt.Sprintf("%d nodes/%d share", nodes, users), func(b *testing.B) {
				var o coldOutcome
				for b.Loop() {
					o = r.run(1)
				}
				b.ReportMetric(float64(o.maxPerSecond), "worst/s")
				b.ReportMetric(o.usedShare, "used")
			})
		}
	}
}
