package gateway

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
)

// A version counts as replaced from when the next one became known, not from later ones.
func TestReplacedAtReturnsTimeOfNextVersion(t *testing.T) {
	st := NewSiteState(nil, "h", time.Second, route.NewCacheIndex(), slog.New(slog.DiscardHandler))
	t0 := time.Now()
	at := func(s int) time.Time { return t0.Add(time.Duration(s) * time.Second) }
	assert.Assert(t, st.ReplacedAt("m", 1).IsZero())
	st.ApplyWeights("m", 1, at(0))
	st.ApplyWeights("m", 2, at(10))
	st.ApplyWeights("m", 4, at(14))
	st.ApplyWeights("m", 3, at(15)) // Arrives late from another node.
	assert.Equal(t, st.ReplacedAt("m", 1), at(10))
	assert.Equal(t, st.ReplacedAt("m", 2), at(14))
	assert.Equal(t, st.ReplacedAt("m", 3), at(14))
	assert.Assert(t, st.ReplacedAt("m", 4).IsZero())
	assert.Equal(t, st.WeightsBefore("m", at(9)), int64(1))
	assert.Equal(t, st.WeightsBefore("m", at(12)), int64(2))
	assert.Equal(t, st.WeightsBefore("m", at(20)), int64(4))
	version, since := st.Weights("m")
	assert.Assert(t, version == 4 && since.Equal(at(14)))
}

// A cache look-up holds the index's lock and calls ReplacedAt. A restarted replica in the
// upstream list resets its part of the index; doing so with SiteState's lock held
// deadlocked the node.
func TestReplicaRestartDoesNotDeadlockCacheLookup(t *testing.T) {
	cacheIndex := route.NewCacheIndex()
	st := NewSiteState(nil, "h", time.Second, cacheIndex, slog.New(slog.DiscardHandler))
	u := site.Upstream{ID: "e", Service: "s", DataHall: "h", Started: time.UnixMilli(1), Weights: map[string]int64{"m": 1}}
	st.applyRow(u, time.Now())
	inside, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		realm := func(version int64) route.Realm {
			close(inside)
			time.Sleep(100 * time.Millisecond) // The upstream list is applied meanwhile.
			return route.Realm{Name: "r", CompleteBefore: st.ReplacedAt("m", version)}
		}
		cacheIndex.Coverage([]site.Upstream{u}, "m", realm, []site.Part{{ID: "p", Tokens: 10}}, &site.Engine{}, time.Second, time.Now())
	}()
	<-inside
	restarted := u
	restarted.Started = time.UnixMilli(2)
	go st.applyRow(restarted, time.Now())
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the look-up does not end")
	}
}

// fixedUpstreamCodec decodes every row as the same upstream.
type fixedUpstreamCodec struct {
	Codec
	u site.Upstream
}

func (c fixedUpstreamCodec) Upstream(site.Row) (site.Upstream, error) { return c.u, nil }

// applyRow applies a row that decodes as u.
func (st *SiteState) applyRow(u site.Upstream, now time.Time) {
	st.codec = fixedUpstreamCodec{u: u}
	st.ApplyUpstreams([]site.Row{{Key: u.ID, Position: at(u.Started.UnixMilli())}}, false, now)
}

// A replica reported in a response that it drains. Its row, late or written again, says
// that it is ready, and must not bring it back.
func TestDrainingInResponseOverridesStoreList(t *testing.T) {
	st := NewSiteState(nil, "h", time.Second, route.NewCacheIndex(), slog.New(slog.DiscardHandler))
	now := time.Now()
	u := site.Upstream{ID: "e", Service: "s", DataHall: "h", Started: time.UnixMilli(5)}
	st.applyRow(u, now)
	p := st.Pool("s")
	applyVersion := func(version int64, gone bool) {
		st.ApplyUpstreams([]site.Row{{Key: "e", Position: at(version), Gone: gone}}, false, now)
	}
	assert.Assert(t, p.Accepts(&u, now))
	assert.Assert(t, st.ApplyDraining(route.RefOf(&u), now), "new, so it is broadcast")
	assert.Assert(t, !st.ApplyDraining(route.RefOf(&u), now))
	assert.Assert(t, !p.Accepts(&u, now))
	assert.Assert(t, !p.IsActive("e"))
	applyVersion(6, false)
	assert.Assert(t, !p.Accepts(&u, now), "written once more as ready")
	applyVersion(7, true)
	applyVersion(8, false)
	assert.Assert(t, !p.Accepts(&u, now), "gone, and written again")

	restarted := u
	restarted.Started = time.UnixMilli(9)
	st.applyRow(restarted, now)
	assert.Assert(t, p.Accepts(&restarted, now), "it has started again")
	assert.Assert(t, !st.ApplyDraining(route.RefOf(&u), now), "its former start's answer comes late")
	assert.Assert(t, p.Accepts(&restarted, now))
}

// A store that has come back from a copy lists a replica as ready that has said since that it leaves.
func TestReplicaThatLeavesIsListedAsReadyAgain(t *testing.T) {
	st := NewSiteState(nil, "h", time.Second, route.NewCacheIndex(), slog.New(slog.DiscardHandler))
	now := time.Now()
	u := site.Upstream{ID: "e", Service: "s", DataHall: "h", Started: time.UnixMilli(5)}
	leaving := u
	leaving.Draining = true
	st.applyRow(u, now)
	st.applyRow(leaving, now)
	st.applyRow(u, now)
	assert.Assert(t, !st.Pool("s").Accepts(&u, now), "listed as ready again")
	st.ApplyUpstreams([]site.Row{{Key: "e", Position: at(7), Gone: true}}, false, now)
	st.applyRow(u, now)
	assert.Assert(t, !st.Pool("s").Accepts(&u, now), "its row was gone, and is there again")
	restarted := u
	restarted.Started = time.UnixMilli(9)
	st.applyRow(restarted, now)
	assert.Assert(t, st.Pool("s").Accepts(&restarted, now), "it has started again")
}

// A listing that lacks rows right after the store has come back from a copy ended evacuations and removed
// replicas.
func TestRowsNotYetWrittenAgainCountAsGone(t *testing.T) {
	st := NewSiteState(nil, "h", time.Second, route.NewCacheIndex(), slog.New(slog.DiscardHandler))
	st.rewriteTime = 5 * time.Second
	now := time.Now()
	st.eras.Observe(1, now)
	u := site.Upstream{ID: "e", Service: "s", DataHall: "h", Started: time.UnixMilli(5)}
	st.applyRow(u, now)
	st.setEvacuation("far", true, at(6), now)
	st.eras.Observe(2, now)
	st.ApplyUpstreams(nil, true, now)
	st.endRemovedEvacuations(nil, now)
	st.Expire(now)
	assert.Equal(t, st.UpstreamCount(), 1)
	assert.Equal(t, len(st.EvacuatedHalls()), 1)

	st.setEvacuation("far", true, at(7), now)
	now = now.Add(st.rewriteTime)
	st.Expire(now)
	assert.Equal(t, st.UpstreamCount(), 0, "not written again in time")
	assert.Equal(t, len(st.EvacuatedHalls()), 1, "written again")
	st.endRemovedEvacuations(nil, now)
	assert.Equal(t, len(st.EvacuatedHalls()), 0, "removed later on")
}

// The time for which a missing row may come back ran from its absence: a replica that left seconds after the store's
// return was used for that long.
func TestTimeToReturnRunsFromTheStoresReturn(t *testing.T) {
	for _, fromCopy := range []bool{false, true} {
		t.Run(fmt.Sprintf("from_a_copy_%t", fromCopy), func(t *testing.T) {
			st := NewSiteState(nil, "h", 2*time.Second, route.NewCacheIndex(), slog.New(slog.DiscardHandler))
			back := time.Now()
			st.eras.Observe(1, back.Add(-time.Minute))
			for i := range 3 {
				u := site.Upstream{ID: fmt.Sprint(i), Service: "s", DataHall: "h"}
				st.applyRow(u, back.Add(-time.Minute))
			}
			if fromCopy {
				st.eras.Observe(2, back)
			} else {
				st.MarkStoreUnreachable(back.Add(-100 * time.Millisecond))
			}
			gone := func(id string, after time.Duration) {
				st.ApplyUpstreams([]site.Row{{Key: id, Position: history.Position{Era: 3}, Gone: true}}, false, back.Add(after))
				st.MarkStoreSynced(back.Add(after))
			}
			gone("0", 0)
			gone("1", time.Second)
			st.Expire(back.Add(1900 * time.Millisecond))
			assert.Equal(t, st.UpstreamCount(), 3, "they may come back")
			st.Expire(back.Add(2 * time.Second))
			assert.Equal(t, st.UpstreamCount(), 1, "they have not come back in time")
			gone("2", 3*time.Second)
			assert.Equal(t, st.UpstreamCount(), 0)
		})
	}
}

// The copy lists a replica again that has left. It lives if it writes its row again.
func TestReplicaThatLeftIsListedAgainByACopy(t *testing.T) {
	now := time.Now()
	u := site.Upstream{ID: "e", Service: "s", DataHall: "h"}
	row := func(era history.Era, version int64) site.Row {
		return site.Row{Key: "e", Position: history.Position{Era: era, Version: version}}
	}
	newState := func() *SiteState {
		st := NewSiteState(fixedUpstreamCodec{u: u}, "h", time.Second, route.NewCacheIndex(), slog.New(slog.DiscardHandler))
		st.rewriteTime = 5 * time.Second
		st.eras.Observe(1, now)
		return st
	}
	left := newState()
	left.ApplyUpstreams([]site.Row{row(1, 7)}, true, now)
	left.ApplyUpstreams(nil, true, now)
	left.ApplyUpstreams([]site.Row{row(1, 9)}, true, now)
	assert.Equal(t, left.UpstreamCount(), 1, "its row had expired")
	left.ApplyUpstreams(nil, true, now)
	left.eras.Observe(2, now)

	starting := newState()
	starting.eras.ObserveBegun(2, now, now)
	for _, l := range left.LeftReplicas(now) {
		starting.AssumeLeft(l.replica, l.position, now)
	}
	for name, st := range map[string]*SiteState{"it saw the row go": left, "it has started": starting} {
		t.Run(name, func(t *testing.T) {
			st.ApplyUpstreams([]site.Row{row(2, 7)}, true, now)
			assert.Equal(t, st.UpstreamCount(), 0, "the copy's row")
			st.ApplyUpstreams(nil, true, now)
			st.Expire(now.Add(st.rewriteTime))
			assert.Equal(t, st.UpstreamCount(), 0, "removed meanwhile")

			st.ApplyUpstreams([]site.Row{row(2, 7)}, true, now)
			st.Expire(now.Add(st.rewriteTime))
			assert.Equal(t, st.UpstreamCount(), 1, "the row has stayed")
		})
	}
	again := newState()
	again.eras.ObserveBegun(2, now, now)
	again.AssumeLeft(route.RefOf(&u), history.Position{Era: 1, Version: 9}, now)
	again.ApplyUpstreams([]site.Row{row(2, 7)}, true, now)
	again.ApplyUpstreams([]site.Row{row(2, 8)}, false, now)
	assert.Equal(t, again.UpstreamCount(), 1, "written again")
	assert.Equal(t, len(again.LeftReplicas(now)), 0)
}

func TestDrainingStartsAreForgotten(t *testing.T) {
	st := NewSiteState(nil, "h", time.Second, route.NewCacheIndex(), slog.New(slog.DiscardHandler))
	now := time.Now()
	for i := range 1000 {
		now = now.Add(drainingRetention / 10)
		st.ApplyDraining(route.ReplicaRef{ID: fmt.Sprint(i)}, now)
	}
	assert.Assert(t, len(st.draining) <= 11, "%d", len(st.draining))
}

// A row read again in another era, unchanged or as the copy had it, made its replica cold for longer.
func TestRowOfACopyDoesNotMakeItsReplicaColdAgain(t *testing.T) {
	st := NewSiteState(nil, "h", time.Second, route.NewCacheIndex(), slog.New(slog.DiscardHandler))
	now := time.Now()
	u := site.Upstream{ID: "e", Service: "s", DataHall: "h", Cold: 3 * time.Second}
	st.codec = fixedUpstreamCodec{u: u}
	apply := func(p history.Position) time.Time {
		st.ApplyUpstreams([]site.Row{{Key: "e", Position: p}}, false, now)
		return st.upstreams["e"].ColdUntil
	}
	until := apply(history.Position{Era: 1, Version: 9})
	now = now.Add(2 * time.Second)
	assert.Assert(t, apply(history.Position{Era: 2, Version: 9}).Equal(until), "the same row")
	assert.Assert(t, apply(history.Position{Era: 3, Version: 7}).Equal(until), "an older row")
	assert.Assert(t, apply(history.Position{Era: 3, Version: 12}).After(until), "written in this era")
}

// A node that starts learns from others which replicas have said that they leave: the store's list may be that
// of a copy.
func TestStartingNodeKnowsWhichReplicasLeave(t *testing.T) {
	newState := func() *SiteState {
		return NewSiteState(nil, "h", time.Second, route.NewCacheIndex(), slog.New(slog.DiscardHandler))
	}
	now := time.Now()
	known, starting := newState(), newState()
	u := site.Upstream{ID: "e", Service: "s", DataHall: "h", Started: time.UnixMilli(5)}
	leaving := u
	leaving.Draining = true
	known.applyRow(leaving, now)
	canaries, _ := newTestCanaries(t)
	asked := &nodes{siteState: known, canaries: canaries, eras: &history.Eras{}}
	asked.started.Store(true)
	learned, err := asked.serveStartState(t.Context(), startStateRequest{})
	assert.NilError(t, err)
	for _, update := range learned.Draining {
		(&nodes{siteState: starting}).applyUpdate(update)
	}
	starting.applyRow(u, now)
	assert.Assert(t, !starting.Pool("s").Accepts(&u, now))
}
