package gateway

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin/memtable"
	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/canary"
	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/platform"
	"github.com/drumpath/drumpath/service/ratelimit"
)

func newTestCanaries(t *testing.T) (*canaries, *control.Members) {
	self := control.Member{Name: "n0", DataHall: "h", Incarnation: 5}
	m := control.NewMembers(self, time.Second, nil, newRand())
	c := newCanaries(self, m, &memtable.Store{}, platform.Codec{}, nil, 0.1, slog.New(slog.DiscardHandler))
	c.applyOrder(site.RolloutOrder{Service: "s", Version: "v2", Duration: 10 * time.Second, Position: history.Position{Version: 1}}, true, boottime.Now())
	return c, m
}

// The node that led a roll-out had halted it and was lost. The one that took over went by the time
// alone until the others had reported, and sent all requests to the bad version.
func TestNewOwnerOfARolloutDecidesNothingBeforeReports(t *testing.T) {
	c, _ := newTestCanaries(t)
	r := c.rollouts["s"]
	r.since = boottime.Now().Add(-8 * time.Second)
	c.step(t.Context())
	assert.Assert(t, r.decidedAt.IsZero())
	assert.Equal(t, r.decision.Stage, canary.StageHalted)
	for range 300 { // The counts of another node arrive.
		r.stats.Add(&canary.Outcome{Route: "r", Arm: canary.ArmOld, FirstByte: time.Millisecond})
		r.stats.Add(&canary.Outcome{Route: "r", Arm: canary.ArmNew, Failed: true})
	}
	r.owner.decideAt = boottime.Now()
	c.step(t.Context())
	assert.Equal(t, r.decision.Stage, canary.StageHalted)
	assert.Equal(t, r.decision.State, site.RolloutRolledBack)
}

// A node's member record gets a higher incarnation when it refutes a suspicion. Its counts were then
// taken for those of another start, and counted twice.
func TestCountsOfANodeThatWasSuspectedAreCountedOnce(t *testing.T) {
	c, m := newTestCanaries(t)
	r := c.rollouts["s"]
	first := c.ownReport(r, boottime.Now())
	m.Merge([]control.Member{{Name: "n0", DataHall: "h", Incarnation: 9, State: control.MemberSuspect}}, time.Now())
	assert.Assert(t, m.Self().Incarnation > 9)
	second := c.ownReport(r, boottime.Now())
	assert.Equal(t, first.key(), second.key())
}

// A node that starts goes on with what others know of a roll-out, whatever the store's copy has.
func TestStartingNodeKnowsHowRolloutsEnded(t *testing.T) {
	known, _ := newTestCanaries(t)
	known.rollouts["s"].decision.State = site.RolloutRolledBack
	known.applyOrder(site.RolloutOrder{Service: "removed", Version: "v3", Position: history.Position{Era: 1, Version: 5}}, true, boottime.Now())
	known.applyOrder(site.RolloutOrder{Service: "removed", Position: history.Position{Era: 1, Version: 6}}, true, boottime.Now())

	m := control.NewMembers(control.Member{Name: "n1"}, time.Second, nil, newRand())
	store := &memtable.Store{}
	store.KnownEras.ObserveBegun(2, boottime.Now(), boottime.Now())
	starting := newCanaries(m.Self(), m, store, platform.Codec{}, nil, 0.1, slog.New(slog.DiscardHandler))
	starting.rewriteTime = time.Second
	for _, k := range known.known(boottime.Now()) {
		starting.learn(k, boottime.Now())
	}
	copied := history.Position{Era: 2, Version: 1}
	starting.applyOrder(site.RolloutOrder{Service: "s", Version: "v2", Duration: 10 * time.Second, Position: copied}, true, boottime.Now())
	starting.applyOrder(site.RolloutOrder{Service: "removed", Version: "v3", Position: copied}, true, boottime.Now())
	assert.Equal(t, starting.rollouts["s"].decision.State, site.RolloutRolledBack)
	assert.Equal(t, len(starting.running()), 0)
	starting.applyUnclear(boottime.Now().Add(starting.rewriteTime))
	assert.DeepEqual(t, starting.running(), []string{"removed"}) // Its removal was not written again.
}

// newRolloutGateway returns a gateway in front of a replica of each version.
func newRolloutGateway(c *canaries, m *control.Members, now time.Time) (*Gateway, *route.Pool) {
	p := route.NewPool("h", rand.New(rand.NewPCG(1, 2)))
	for _, software := range []string{"v1", "v2"} {
		p.Put(site.Upstream{ID: software, DataHall: "h", Slots: 1, Software: software}, now)
	}
	n := newTestNodes(1)
	g := &Gateway{canaries: c, nodes: n, siteState: n.siteState, rateLimits: ratelimit.New(m.Self(), m, nil, nil, n.log)}
	g.settings.Store(&config.GatewaySettings{})
	g.log, g.conns = n.log, newUpstreamConns()
	g.reach = newReachability(g)
	return g, p
}

// A roll-out steered the repeat of a broken stream to the other version than the one that had begun it.
func TestStreamStaysAtItsVersionDuringRollout(t *testing.T) {
	c, m := newTestCanaries(t)
	now := boottime.Now()
	g, p := newRolloutGateway(c, m, now)
	for _, software := range []string{"v1", "v2"} {
		x := &exchange{g: g, route: &site.Route{Resumable: true}, service: &site.Service{Name: "s"}, pool: p, info: site.RequestInfo{ID: "r"}}
		x.pickInput.Software = route.SoftwareRule{Version: software, Pinned: true}
		choice, ok := x.pickToSend(t.Context())
		assert.Assert(t, ok)
		assert.Equal(t, choice.Software, software)
		x.pickInput.Exclude = []string{software}
		_, ok = x.pickToSend(t.Context())
		assert.Assert(t, !ok, "the other version must not go on with it")
	}
	r := c.rollouts["s"]
	goOn := func(state site.RolloutState) (old, next bool) {
		r.decision.State, r.decidedAt = state, now
		return c.mayGoOn("s", "v1", now), c.mayGoOn("s", "v2", now)
	}
	old, next := goOn(site.RolloutRunning)
	assert.Assert(t, old && next)
	old, next = goOn(site.RolloutCompleted)
	assert.Assert(t, !old && next, "the replicas of the old version stop at once")
	old, next = goOn(site.RolloutRolledBack)
	assert.Assert(t, old && !next, "a bad version gets no more requests")
}

// A node that started just after a roll-out had completed sent requests to the replicas of the old version, which stop at once
// but stay listed for some seconds.
func TestNodeThatStartsAfterARolloutUsesTheNewVersion(t *testing.T) {
	known, _ := newTestCanaries(t)
	known.rollouts["s"].decision.State, known.rollouts["s"].decidedAt = site.RolloutCompleted, boottime.Now()
	m := control.NewMembers(control.Member{Name: "n1"}, time.Second, nil, newRand())
	starting := newCanaries(m.Self(), m, &memtable.Store{}, platform.Codec{}, nil, 0.1, slog.New(slog.DiscardHandler))
	now := known.rollouts["s"].decidedAt.Add(completedTerm / 2)
	for _, k := range known.known(now) {
		starting.learn(k, now)
	}
	_, p := newRolloutGateway(starting, m, now)
	assert.Equal(t, starting.rule("s", "r", p, now), route.SoftwareRule{Version: "v2"})
	assert.Assert(t, !starting.mayGoOn("s", "v1", now), "streams of the old version end")
	now = now.Add(completedTerm / 2)
	assert.Equal(t, starting.rule("s", "r", p, now), route.SoftwareRule{}, "the old replicas are gone for good")
}

// A request that had waited for a free slot while a roll-out completed was sent to a replica of
// the old version, which stops at once.
func TestRequestThatWaitedFollowsTheCompletedRollout(t *testing.T) {
	c, m := newTestCanaries(t)
	now := boottime.Now()
	g, p := newRolloutGateway(c, m, now)
	x := &exchange{g: g, route: &site.Route{}, service: &site.Service{Name: "s"}, pool: p, info: site.RequestInfo{ID: "r"}}
	x.pickInput.Software = c.rule("s", "r", p, now)
	assert.Equal(t, x.pickInput.Software, route.SoftwareRule{Version: "v2", Excluded: true})
	c.rollouts["s"].decision.State, c.rollouts["s"].decidedAt = site.RolloutCompleted, now
	choice, ok := x.pickToSend(t.Context())
	assert.Assert(t, ok)
	assert.Equal(t, choice.Software, "v2")
}
