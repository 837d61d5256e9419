package gateway

import (
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/stall"
)

// The metrics of a node whose locks can't be taken must still tell that it is stalled.
func TestMetricsAreServedWhileLocksAreHeld(t *testing.T) {
	g := &Gateway{metrics: newMetrics()}
	g.stalls = stall.New(func(time.Time) time.Duration { return 0 }, slog.New(slog.DiscardHandler))
	g.collecting.Store(true) // An earlier collection waits for a lock.
	body, err := json.Marshal(g.statusInTime())
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(body), `"partial":true`), string(body))
	assert.Assert(t, strings.Contains(string(body), `"stalls":{"current":0,"total":0}`), string(body))
}
