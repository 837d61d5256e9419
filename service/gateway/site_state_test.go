package gateway

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
)

// Each version's time counts from its own naming, whatever came behind it.
func TestReplacedAtReturnsTimeOfNextVersion(t *testing.T) {
	st := NewSiteState(nil, "h", time.Second, route.NewCacheIndex(), slog.New(slog.DiscardHandler))
	t0 := time.Now()
	at := func(s int) time.Time { return t0.Add(time.Duration(s) * time.Second) }
	assert.Assert(t, st.ReplacedAt("m", 1).IsZero())
	st.ApplyWeights("m", 1, at(0))
	st.ApplyWeights("m", 2, at(10))
	st.ApplyWeights("m", 4, at(14))
	st.ApplyWeights("m", 3, at(15)) // Told late by another node.
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

// Symptom: a node stood still for good: it answered nobody and did not stop.
// Sequence: a prompt's parts are looked up, which asks when weights were replaced, while the
// list of upstreams tells that a replica has started again under its ID.
// Cause: what the replica had held was forgotten with the lock of the beliefs held, and the
// look-up asks the beliefs with that of the held parts.
// What settled it: a dump of the process, with SiteState.take waiting in CacheIndex.ResetEngine and
// everything else for the beliefs.
func TestReplicaRestartDoesNotDeadlockCacheLookup(t *testing.T) {
	k := route.NewCacheIndex()
	st := NewSiteState(nil, "h", time.Second, k, slog.New(slog.DiscardHandler))
	u := site.Upstream{ID: "e", Service: "s", DataHall: "h", Started: time.UnixMilli(1), Weights: map[string]int64{"m": 1}}
	st.applyRow(u, time.Now())
	inside, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		realm := func(version int64) route.Realm {
			close(inside)
			time.Sleep(100 * time.Millisecond) // For the list to come meanwhile.
			return route.Realm{Name: "r", CompleteBefore: st.ReplacedAt("m", version)}
		}
		k.Coverage([]site.Upstream{u}, "m", realm, []site.Part{{ID: "p", Tokens: 10}}, &site.Engine{}, time.Second, time.Now())
	}()
	<-inside
	again := u
	again.Started = time.UnixMilli(2)
	go st.applyRow(again, time.Now())
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

// applyRow takes in a row of an upstream.
func (st *SiteState) applyRow(u site.Upstream, now time.Time) {
	st.codec = fixedUpstreamCodec{u: u}
	st.ApplyUpstreams([]site.Row{{Key: u.ID, Version: u.Started.UnixMilli()}}, false, now)
}

// A replica said in its answers that it drains, and its row, which is late or comes again, said that it is ready.
func TestDrainingInResponseOverridesStoreList(t *testing.T) {
	st := NewSiteState(nil, "h", time.Second, route.NewCacheIndex(), slog.New(slog.DiscardHandler))
	now := time.Now()
	u := site.Upstream{ID: "e", Service: "s", DataHall: "h", Started: time.UnixMilli(5)}
	st.applyRow(u, now)
	p := st.Pool("s")
	row := func(version int64, gone bool) {
		st.ApplyUpstreams([]site.Row{{Key: "e", Version: version, Gone: gone}}, false, now)
	}
	assert.Assert(t, p.Accepts(&u, now))
	assert.Assert(t, st.ApplyDraining(route.RefOf(&u), now), "it is news, and told at once")
	assert.Assert(t, !st.ApplyDraining(route.RefOf(&u), now))
	assert.Assert(t, !p.Accepts(&u, now))
	assert.Assert(t, !p.IsActive("e"))
	row(6, false)
	assert.Assert(t, !p.Accepts(&u, now), "written once more as ready")
	row(7, true)
	row(8, false)
	assert.Assert(t, !p.Accepts(&u, now), "gone, and written again")

	again := u
	again.Started = time.UnixMilli(9)
	st.applyRow(again, now)
	assert.Assert(t, p.Accepts(&again, now), "it has started again")
	assert.Assert(t, !st.ApplyDraining(route.RefOf(&u), now), "its former start's answer comes late")
	assert.Assert(t, p.Accepts(&again, now))
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
