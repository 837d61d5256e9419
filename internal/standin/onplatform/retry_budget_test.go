package onplatform_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

// A node that is started again must not use the retries again that its earlier process used in
// the same window.
func TestRestartedNodeStaysWithinRetryBudget(t *testing.T) {
	const slack, requests = 20, 20
	s := newSite(t)
	var replicas []*onplatform.Replica
	for i := range 5 {
		r := s.startReplica(appService, fmt.Sprint("r", i))
		r.Script(onplatform.NotExecuted(503))
		replicas = append(replicas, r)
	}
	settings := s.settings("n1")
	settings.Retry.Share, settings.Retry.Slack = 0, slack
	sent := 0
	sendAll := func() {
		n := s.startNodeWith(settings)
		defer n.close()
		s.waitUntil("the node is ready", n.isReady)
		time.Sleep(1500 * time.Millisecond) // It knows the number of nodes.
		for range requests {
			assert.Equal(t, n.send(request("GET", "/safe/x", "")).status, 503)
			time.Sleep(100 * time.Millisecond) // A replica that refused is avoided for a while.
		}
		sent += requests
	}
	countRetries := func() int {
		n := -sent
		for _, r := range replicas {
			n += len(r.Received())
		}
		return n
	}
	sendAll()
	used := countRetries()
	assert.Assert(t, used > slack/2, "%d retries of the first process", used)
	sendAll()
	total := countRetries()
	assert.Assert(t, total <= slack, "%d retries, %d of them of the first process", total, used)
}
