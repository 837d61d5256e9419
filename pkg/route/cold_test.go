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

// shareAmongMost gives as many nodes a share as the limit has requests.
func shareAmongMost(node, nodes, limit int) *hashedShares {
	return shareAmong(node, nodes, min(nodes, limit), limit)
}

// shareAmong gives a number of nodes a share of a limit.
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

// A node sends a cold replica no more than its share in any second, and nothing if it has
// none.
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
				availability := p.Availability(&PickInput{Model: "m", Tokens: 100}, now)
				assert.Equal(t, availability.Excluded[ExcludedCold], 1)
				assert.Assert(t, availability.RetryAfter >= minUnavailableRetryAfter)
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

// An unreachable replica may have restarted: it is presumed cold, and other nodes are
// notified once a second. A node that can't reach any replica notifies no other.
func TestUnreachableReplicaIsPresumedCold(t *testing.T) {
	p := newTestPool(6, 1)
	p.SetColdLimit(10, shareAmongMost(0, 1, 10))
	assert.Assert(t, p.RecordUnreachable("r00", testNow))
	assert.Assert(t, !p.RecordUnreachable("r00", testNow.Add(100*time.Millisecond)), "notified twice within a second")
	assert.Equal(t, p.CountCold(testNow), 1)
	p.Begin(pickFrom(t, p), testNow).End(OutcomeOK, testNow)
	assert.Assert(t, p.RecordUnreachable("r00", testNow.Add(2*time.Second)))
	assert.Assert(t, p.RecordUnreachable("r01", testNow.Add(2*time.Second)))
	assert.Assert(t, !p.RecordUnreachable("r02", testNow.Add(2*time.Second)), "notified though this node's network is at fault")
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
	assert.Equal(t, p.CountCold(testNow), localFaultThreshold-1, "presumed cold though this node's network is at fault")
	p.SetColdLimit(0, nil)
	assert.Equal(t, p.CountCold(testNow), 0, "cold though the limit was removed")
	unlimited := newTestPool(6, 1)
	assert.Assert(t, !unlimited.RecordUnreachable("r00", testNow), "cold without a limit")
	assert.Equal(t, unlimited.CountCold(testNow), 0)
}

func pickFrom(t *testing.T, p *Pool) Choice {
	c, ok := p.Pick(&PickInput{Model: "m", Tokens: 100}, testNow)
	assert.Assert(t, ok)
	return c
}

// Reports about one start of a replica don't affect another one, and a restart keeps no
// state of the last start.
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
	p.RecordWeights(old, "m", 5) // A late report about the old start.
	p.AvoidForSwap(old, "m", 5, testNow.Add(time.Second))
	assert.Equal(t, p.CountSwapping(testNow), 0)
	assert.Equal(t, p.Upstreams()[0].Weights["m"], int64(1))
	p.SetPeers(map[NameHash]PeerLoad{HashName(list[0].ID + "@0"): {Requests: 9}})
	assert.Equal(t, p.Status(testNow)[0].Others.Requests, 0)
}

// Requests run in their home regions only.
func TestRequestsStayInTheirHomeRegions(t *testing.T) {
	p := newTestPool(6, 1)
	list := testReplicas(6, 1)
	for i := range list {
		list[i].Region = fmt.Sprintf("region%d", i%3)
	}
	list[5].Region = "" // Unknown.
	p.Configure(list, testNow)
	for range 50 {
		c, ok := p.Pick(&PickInput{Model: "m", Tokens: 100, HomesOnly: true, Homes: []string{"region1", "region2"}}, testNow)
		assert.Assert(t, ok && (c.ID == "r01" || c.ID == "r02" || c.ID == "r04"))
	}
	input := &PickInput{Model: "m", Tokens: 100, HomesOnly: true}
	_, ok := p.Pick(input, testNow)
	assert.Assert(t, !ok, "picked without any home region")
	assert.Equal(t, p.Availability(input, testNow).Excluded[ExcludedOutside], 6)
}

// coldReplay simulates the outage and return of a data hall. A third of 60 replicas is
// down for 1 s while still listed, and comes back cold and empty at one moment; each
// node's list shows that 0.1 to 1.3 s later. Notices of unreachable replicas take 50 ms
// between nodes, and load reports are exchanged every 0.1 s.
type coldReplay struct {
	nodes int
	rate  float64 // Requests a second from all clients.
	// shares returns the shares of a node, nil for no limit.
	shares func(node int) ColdShares
}

// coldOutcome is the result of a coldReplay, counted from the return on.
type coldOutcome struct {
	maxPerSecond  int     // The most requests that a cold replica got in a second.
	usedShare     float64 // Sent requests as a share of the 11 a second that each cold replica can take.
	unplacedShare float64 // Share of the requests for which no replica was found.
}

const (
	coldReplayReplicas     = 60
	coldReplayReturning    = 20
	coldReplayLeadTime     = time.Second
	coldReplayDownTime     = time.Second
	coldReplayTerm         = 3 * time.Second // How long they are cold.
	coldReplayLoadInterval = 100 * time.Millisecond
	coldReplayNoticeDelay  = 50 * time.Millisecond
)

// runningRequest is a request in flight and the time of its end.
type runningRequest struct {
	at      time.Time
	request *InFlightRequest
}

type unreachableNotice struct {
	at time.Time
	id string
}

// hallReplay is the state of a coldReplay.
type hallReplay struct {
	coldReplay
	rng      *rand.Rand
	list     []site.Upstream
	coldList []site.Upstream // The same list, with the returned replicas marked cold.
	pools    []*Pool
	learnsAt []time.Time // When each node receives coldList; zero once it has.
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
	h.coldList = slices.Clone(h.list)
	for i := range coldReplayReturning {
		h.coldList[i].ColdUntil = back.Add(coldReplayTerm)
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

// advance ends the requests that are done by now, and delivers the notices that are due.
func (h *hallReplay) advance(now time.Time) {
	for len(h.running) > 0 && !h.running[0].at.After(now) {
		h.running[0].request.FirstByte(h.running[0].at)
		h.running[0].request.End(OutcomeOK, h.running[0].at)
		h.running = h.running[1:]
	}
	for len(h.notices) > 0 && !h.notices[0].at.After(now) {
		for _, p := range h.pools {
			p.PresumeCold(ReplicaRef{ID: h.notices[0].id}, now)
		}
		h.notices = h.notices[1:]
	}
}

// request sends one request from a node, trying up to three replicas.
func (h *hallReplay) request(node int, now, down, back time.Time) {
	p := h.pools[node]
	if at := h.learnsAt[node]; !at.IsZero() && !now.Before(at) {
		h.learnsAt[node] = time.Time{}
		p.Configure(h.coldList, now)
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
		e := runningRequest{at: now.Add(c.Expected), request: f}
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

// exchangeLoads gives each node the load that the others have in flight.
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

// A data hall returns cold under the worst load. Without a limit a replica gets more than
// the 21 requests in a second that are allowed. With shares none does, and a good part of
// the cold replicas' capacity is used.
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
	assert.Assert(t, worst > 21, "replay load too low: %d in a second without a limit", worst)
}

// Compares shares for different numbers of nodes, by the most requests that a cold replica
// gets in a second and the used part of the cold replicas' capacity.
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
