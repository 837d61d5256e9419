package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/control"
)

// nodeWithSlack returns node i of all, with a retry slack of 54; it considers dead those
// that are marked dead in all.
func nodeWithSlack(all []control.Member, i int, hasMet bool) *Gateway {
	m := control.NewMembers(all[i], time.Second, nil, newRand())
	alive := append(append([]control.Member(nil), all[:i]...), all[i+1:]...)
	for j := range alive {
		alive[j].State = control.MemberAlive // Before the partition.
	}
	m.Merge(alive, time.Now())
	m.Merge(append(append([]control.Member(nil), all[:i]...), all[i+1:]...), time.Now())
	n := &nodes{self: all[i], members: m, coldShares: newColdShares(all[i], m)}
	if hasMet {
		n.coldShares.markMembersRead(boottime.Now().Add(-memberResponseTime))
	}
	g := &Gateway{nodes: n}
	g.settings.Store(&config.GatewaySettings{Retry: config.RetrySettings{Slack: 54}})
	return g
}

// Each node may use a share of the fleet's retry slack, the retries beyond a share of
// requests. If it divided the slack by the nodes that it considers alive, the halves of
// a partitioned fleet would each use all of it, and a node that has just started would
// use the share of a small fleet.
func TestRetrySlackSharesSumToTotalWhenNodesDisagree(t *testing.T) {
	for _, n := range []int{7, 71, 295, 2} {
		var sides [2][]control.Member // All nodes as each side of the partition sees them.
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
			sum += nodeWithSlack(sides[i%len(sides)], i, true).retrySlack()
		}
		assert.Assert(t, sum <= 54.001, "%d nodes: %g", n, sum)
		assert.Assert(t, sum > 53.9, "%d nodes: %g", n, sum)
		alone := nodeWithSlack(sides[0][:2], 0, false).retrySlack()
		assert.Assert(t, alone <= 54.0/assumedNodes, "a node that has yet to meet the others takes %g", alone)
	}
}
