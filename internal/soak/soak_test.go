package soak

import (
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// build compiles the program under test.
func build(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "drumpath")
	out, err := exec.Command("go", "build", "-o", program, "../../cmd/drumpath").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return program
}

// Processes that had stood still while weights were named counted the term of the old weights from when they went on.
func TestPromptsDoNotBeginOnOldWeightsAfterNodesStoodStill(t *testing.T) {
	program := build(t)
	for i, tc := range []struct {
		name  string
		share float64
	}{{"one_of_two_nodes", 0.5}, {"all_nodes", 1}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			testStandstill(t, program, uint64(2+i), tc.share, weightsTerm*6/10)
		})
	}
}

// Nodes that had all stood still for less than the time after which they doubt when weights were named counted the
// term of the old weights from when they went on.
func TestPromptsDoNotBeginOnOldWeightsAfterNodesStoodStillBriefly(t *testing.T) {
	testStandstill(t, build(t), 4, 1, 2800*time.Millisecond)
}

// testStandstill names weights while some of two nodes stand still for a time.
func testStandstill(t *testing.T, program string, seed uint64, share float64, d time.Duration) {
	t.Helper()
	s, err := start(Config{Program: program, Seed: seed, Nodes: 2, Replicas: 1, Clients: 8, Engines: 2, Dir: t.TempDir()})
	assert.NilError(t, err)
	defer s.stopAll()
	stopClients := s.startClients(t.Context())
	s.runRound(rand.New(rand.NewPCG(s.cfg.Seed, 0)), weightsRound{
		namings: []time.Duration{leadTime},
		faults: []nodeFault{{at: leadTime - leadTime/10, share: share, inject: func(n *node) error {
			return n.pause(d, func() error { return nil })
		}}},
		modes:  []orderMode{ordersLost},
		length: leadTime + weightsTerm + watchTime,
	})
	stopClients()
	r := s.report()
	t.Logf("%d prompts begun, %d on replaced weights, %d excused, %d too late", r.Prompts, r.PromptsReplaced, r.PromptsExcused, r.PromptsLate)
	for _, b := range r.Broken {
		t.Error(b)
	}
	assert.Assert(t, r.PromptsReplaced > 0, "no prompt began on replaced weights")
}

// A short soak with a fixed seed; `measure soak` runs longer ones.
func TestShortSoak(t *testing.T) {
	r, err := Run(t.Context(), Config{
		Program: build(t), Seed: 1, Nodes: 3, Replicas: 4, Clients: 12, Engines: 3, Duration: 6 * time.Second, Rounds: 2, Dir: t.TempDir(),
	})
	assert.NilError(t, err)
	t.Logf("%d sent, %d served, %d refused, %d failed, faults %v", r.Sent, r.Served, r.Refused, r.Failed, r.Faults)
	t.Logf("%d prompts begun, %d on replaced weights, %d excused, %d too late, weights named %d times", r.Prompts, r.PromptsReplaced, r.PromptsExcused, r.PromptsLate, r.Namings)
	t.Logf("%d resumable streams begun, %d taken up, %d went on", r.Begun, r.TakenUp, r.WentOn)
	for _, b := range r.Broken {
		t.Error(b)
	}
	assert.Assert(t, r.Served > r.Sent/2)
	assert.Assert(t, r.PromptsReplaced > 0, "no prompt began on replaced weights")
}
