package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/control"
)

// slackNode is one of some nodes, which takes some of the others for dead.
func slackNode(all []control.Member, i int, met bool) *Gateway {
	m := control.NewMembers(all[i], time.Second, nil, newRand())
	alive := append(append([]control.Member(nil), all[:i]...), all[i+1:]...)
	for j := range alive {
		alive[j].State = control.MemberAlive // Before they were cut off.
	}
	m.Merge(alive, time.Now())
	m.Merge(append(append([]control.Member(nil), all[:i]...), all[i+1:]...), time.Now())
	n := &nodes{self: all[i], members: m, coldShares: newColdShares(all[i], m)}
	if met {
		n.coldShares.markMembersRead(boottime.Now().Add(-memberResponseTime))
	}
	g := &Gateway{nodes: n}
	g.settings.Store(&config.GatewaySettings{Retry: config.RetrySettings{Slack: 54}})
	return g
}

// The retries that all nodes together may make beyond a share of requests were divided by
// how many nodes each took to work. Cut apart, both halves gave themselves the whole, and a
// node that had just started took a few nodes' part for its own; found by asking which other
// bounds on a sum are kept by each node for itself.
func TestPartsOfRetriesAddUpToTheWholeWhereNodesDisagree(t *testing.T) {
	for _, n := range []int{7, 71, 295, 2} {
		var sides [2][]control.Member // As each side has all of them.
		for i := range n {
			m := newMembers(n, 3, 0)[i]
			for side := range sides {
				m.State = control.MemberAlive
				if i%len(sides) != side {
					m.State = control.MemberDead
				}
				sides[side] = append(sides[side], m)
			}
		}
		sum := 0.0
		for i := range n {
			sum += slackNode(sides[i%len(sides)], i, true).retrySlack()
		}
		assert.Assert(t, sum <= 54.001, "%d nodes: %g", n, sum)
		assert.Assert(t, sum > 53.9, "%d nodes: %g", n, sum)
		alone := slackNode(sides[0][:2], 0, false).retrySlack()
		assert.Assert(t, alone <= 54.0/assumedNodes, "a node that has yet to meet the others takes %g", alone)
	}
}
