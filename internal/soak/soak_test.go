package soak

import (
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

// A short soak with a fixed seed; `measure soak` runs longer ones.
func TestShortSoak(t *testing.T) {
	r, err := Run(t.Context(), Config{
		Program: build(t), Seed: 1, Nodes: 3, Replicas: 4, Clients: 12, Duration: 6 * time.Second, Dir: t.TempDir(),
	})
	assert.NilError(t, err)
	t.Logf("%d sent, %d served, %d refused, %d failed, faults %v", r.Sent, r.Served, r.Refused, r.Failed, r.Faults)
	t.Logf("%d resumable streams begun, %d taken up, %d went on", r.Begun, r.TakenUp, r.WentOn)
	for _, b := range r.Broken {
		t.Error(b)
	}
	assert.Assert(t, r.Served > r.Sent/2)
}
