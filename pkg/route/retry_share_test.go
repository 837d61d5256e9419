package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	testRetryRatio  = 0.2
	testRetrySlack  = 58.0
	testRetryWindow = 10 * time.Second
)

// retryFleet is a fleet of nodes in virtual time. While replicas fail, each request is sent again
// as often as its node's budget allows.
type retryFleet struct {
	rng      *rand.Rand
	shares   []*RetryShare // Nil while the node is down.
	upAt     []time.Time   // When a node that is down starts again.
	requests []time.Time
	retries  []time.Time
}

func newRetryFleet(seed uint64, nodes int, start time.Time) *retryFleet {
	f := &retryFleet{rng: rand.New(rand.NewPCG(seed, 0)), shares: make([]*RetryShare, nodes), upAt: make([]time.Time, nodes)}
	for i := range f.shares {
		f.start(i, start)
	}
	return f
}

// start starts a node, which knows the number of nodes at once.
func (f *retryFleet) start(i int, now time.Time) {
	f.shares[i] = NewRetryShare(testRetryRatio, testRetryWindow)
	f.shares[i].SetSlack(testRetrySlack / float64(len(f.shares)))
	if !f.upAt[i].IsZero() {
		f.shares[i].SetRestarted(now)
	}
}

// kill ends a share of the nodes; each starts again after a while.
func (f *retryFleet) kill(share float64, downtime time.Duration, now time.Time) {
	for i := range f.shares {
		if f.shares[i] != nil && f.rng.Float64() < share {
			f.shares[i], f.upAt[i] = nil, now.Add(downtime)
		}
	}
}

// step sends requests to random nodes. The client of a node that is down has sent its request
// too, so it counts for the budget.
func (f *retryFleet) step(requests int, failing bool, now time.Time) {
	for i := range f.shares {
		if f.shares[i] == nil && !now.Before(f.upAt[i]) {
			f.start(i, now)
		}
	}
	const maxRetries = 3
	for range requests {
		f.requests = append(f.requests, now)
		b := f.shares[f.rng.IntN(len(f.shares))]
		if b == nil {
			continue
		}
		b.AddRequest(now)
		for n := 0; failing && n < maxRetries && b.Take(now); n++ {
			f.retries = append(f.retries, now)
		}
	}
}

// excess describes the first window that contains more retries than the budget of all nodes
// allows, "" if there is none. The requests are those of the window, of the one before it or of
// the one half a window before it, whichever has the most.
func (f *retryFleet) excess(start time.Time) string {
	count := func(list []time.Time, from time.Time) int {
		first, _ := slices.BinarySearchFunc(list, from, time.Time.Compare)
		end, _ := slices.BinarySearchFunc(list, from.Add(testRetryWindow), time.Time.Compare)
		return end - first
	}
	for i, from := range f.retries {
		if i > 0 && from.Equal(f.retries[i-1]) {
			continue
		}
		requests := max(count(f.requests, from), count(f.requests, from.Add(-testRetryWindow)), count(f.requests, from.Add(-testRetryWindow/2)))
		allowed := testRetryRatio*float64(requests) + testRetrySlack
		if retries := count(f.retries, from); float64(retries) > allowed {
			return fmt.Sprintf("%d retries in the window from %s on for %d requests, %.0f allowed", retries, from.Sub(start), requests, allowed)
		}
	}
	return ""
}

// A node that is killed after it has used its share of the retries must not use it again
// within the same window when it has started again.
func TestKilledNodesDoNotExceedRetryBudget(t *testing.T) {
	const stepTime = 100 * time.Millisecond
	for _, tt := range []struct {
		name  string
		share float64
		every time.Duration // Between kills; zero for a single one.
	}{
		{"all nodes once", 1, 0},
		{"half of the nodes, again and again", 0.5, 1500 * time.Millisecond},
		{"all nodes, again and again", 1, 1600 * time.Millisecond},
		{"all nodes, each some seconds old", 1, 5 * time.Second},
	} {
		for _, n := range []int{1, 9, 71, 900} {
			t.Run(fmt.Sprintf("%s/%d nodes", tt.name, n), func(t *testing.T) {
				begin := time.Now().Add(time.Minute)
				f := newRetryFleet(1, n, begin.Add(-2*testRetryWindow))
				const failAt, end = 12 * time.Second, 40 * time.Second
				killAt := failAt + 500*time.Millisecond
				for at := time.Duration(0); at < end; at += stepTime {
					now := begin.Add(at)
					if killAt > 0 && at >= killAt {
						f.kill(tt.share, 300*time.Millisecond, now)
						killAt = 0
						if tt.every > 0 {
							killAt = at + tt.every
						}
					}
					f.step(max(10, n), at >= failAt, now)
				}
				assert.Equal(t, f.excess(begin), "")
			})
		}
	}
	t.Run("random kills", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			begin := time.Now().Add(time.Minute)
			f := newRetryFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 12).Draw(t, "nodes"), begin.Add(-2*testRetryWindow))
			failAt := time.Duration(rapid.IntRange(0, 150).Draw(t, "fail at step")) * stepTime
			perStep := rapid.IntRange(1, 30).Draw(t, "requests per step")
			killEvery := rapid.IntRange(1, 150).Draw(t, "steps between kills")
			share := rapid.Float64Range(0, 1).Draw(t, "share killed")
			downtime := time.Duration(rapid.IntRange(1, 20).Draw(t, "steps down")) * stepTime
			for step := range 300 {
				now := begin.Add(time.Duration(step) * stepTime)
				if step%killEvery == 0 {
					f.kill(share, downtime, now)
				}
				f.step(perStep, now.Sub(begin) >= failAt, now)
			}
			assert.Equal(t, f.excess(begin), "")
		})
	})
}

// A request that is older than the window, as its body took long to arrive, must not replace a
// time slot and the retries counted there.
func TestSlowUploadDoesNotEraseCountedRetries(t *testing.T) {
	now := time.Now().Add(time.Minute)
	b := NewRetryShare(testRetryRatio, testRetryWindow)
	b.SetSlack(10)
	take := func() (n int) {
		for b.Take(now) {
			n++
		}
		return n
	}
	assert.Equal(t, take(), 7)
	for age := testRetryWindow; age < 3*testRetryWindow; age += testRetryWindow / retrySlots {
		b.AddRequest(now.Add(-age))
	}
	assert.Equal(t, take(), 0)
}
