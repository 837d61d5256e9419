package gateway

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/site"
)

// lostHistoryStore answers the first call for changes with ErrHistoryGone.
type lostHistoryStore struct{ calls atomic.Int64 }

func (s *lostHistoryStore) List(context.Context, site.Table) (site.Listing, error) {
	return site.Listing{Position: at(9)}, nil
}

func (s *lostHistoryStore) Changes(ctx context.Context, _ site.Table, _ history.Position, _ time.Duration) (site.Listing, error) {
	if s.calls.Add(1) == 1 {
		return site.Listing{}, site.ErrHistoryGone
	}
	<-ctx.Done()
	return site.Listing{}, ctx.Err()
}

// A store that no longer has the changes a node asks for is reachable: the node must
// read the whole table at once. It used to wait 1.8 s for a removed replica to reappear,
// as it does when the store is unreachable, and sent the replica requests for 2.004 s
// where 2 s are allowed. That happened when the nodes that read the store for others
// were restarted in turn: "upstream dropped" with missing 1.81 to 2.02 s at seven nodes,
// without a "store lost" in the twelve seconds before.
func TestLostHistoryDoesNotCountAsUnreachableStore(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var failures, listings atomic.Int64
	f := &tableFollower{
		store: &lostHistoryStore{}, table: site.TableUpstreams, name: "upstreams", longPoll: storePollWait,
		apply: func(_ []site.Row, all bool, _ time.Time) {
			if all && listings.Add(1) == 1 {
				time.AfterFunc(50*time.Millisecond, cancel)
			}
		},
		onFailure: func(time.Time) { failures.Add(1) },
		onAnswer:  func(_, _ time.Time) {},
		log:       slog.New(slog.DiscardHandler),
		position:  at(1), listed: true,
	}
	f.run(ctx)
	assert.Equal(t, listings.Load(), int64(1))
	assert.Equal(t, failures.Load(), int64(0))
}

// The pause after failed calls, up to 1.2 s, went on though the node had heard that the store was back.
func TestNewEraEndsThePauseAfterAFailedCall(t *testing.T) {
	f := &tableFollower{retryDelay: maxFollowRetry}
	time.AfterFunc(20*time.Millisecond, f.pollNow)
	startedAt := time.Now()
	f.backOff(t.Context())
	assert.Assert(t, time.Since(startedAt) < maxFollowRetry/2, "%s", time.Since(startedAt))
	assert.Assert(t, f.pollAtOnce)
}
