package node

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin"
	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/tablestore"
	"github.com/drumpath/drumpath/pkg/upstream"
)

// A single node holds every lease, so its limit applies to the whole fleet.
func TestWeightSwapLimitsEnginesInTransition(t *testing.T) {
	table, err := standin.StartTable(standin.Loopback)
	assert.NilError(t, err)
	defer table.Close()
	m := control.NewMembers(control.Member{Name: "vm-0"}, time.Second, nil, rand.New(rand.NewPCG(1, 1)))
	leases := control.NewLeases("vm-0", time.Hour, tablestore.NewTable(table.Addr(), time.Second), m, slog.New(slog.DiscardHandler))
	leases.Step(t.Context())
	const engines = 640
	s := config.NewState()
	s.Models["m"] = config.Model{Name: "m", Weights: "w2"}
	for i := range engines {
		name := fmt.Sprint("e", i)
		s.Upstreams[name] = config.Upstream{Name: name, Kind: config.UpstreamEngine, Model: "m"}
	}
	r := &Reconciler{fleet: route.NewFleet(rand.New(rand.NewPCG(1, 1))), leases: leases, readWeights: map[string]string{}}
	rounds := 0
	for len(r.enginesToCheck(s)) > 1 {
		check := r.enginesToCheck(s)
		assert.Assert(t, len(check) <= engines/swapDivisor+control.LeaseGroups+1, "%d engines at once", len(check))
		for name := range check {
			r.recordWeights(name, upstream.EngineState{Weights: "w2"})
		}
		rounds++
	}
	assert.Assert(t, rounds >= swapDivisor)
	assert.Equal(t, len(r.enginesToCheck(s)), 1, "once all are right, one engine a round is read")
}
