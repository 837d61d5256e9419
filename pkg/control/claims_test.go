package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin"
	"github.com/drumpath/drumpath/pkg/tablestore"
)

func (f *fixture) claims(t testing.TB, node string) *Claims {
	t.Helper()
	c := NewClaims(node, tablestore.NewTable(f.table.Addr(), testTimeout), discardLog)
	t.Cleanup(c.Close)
	return c
}

func acquire(t testing.TB, c *Claims, key string, wait time.Duration) (*Claim, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return c.Acquire(ctx, "corrib", key)
}

func TestClaimIsGrantedOnce(t *testing.T) {
	f := newFixture(t)
	a, b := f.claims(t, "a"), f.claims(t, "b")
	claim, err := acquire(t, a, "k", time.Second)
	assert.NilError(t, err)
	_, err = acquire(t, b, "k", time.Second)
	var taken *TakenError
	assert.Assert(t, errors.As(err, &taken), "%v", err)
	assert.Equal(t, taken.State, ClaimHeld)
	assert.Equal(t, taken.Node, "a")
	a.Finish(claim, Result{Status: 200, Body: []byte("ok")})
	waitUntil(t, func() bool {
		_, err = acquire(t, b, "k", time.Second)
		return errors.As(err, &taken) && taken.State == ClaimDone
	})
	assert.Equal(t, string(taken.Result.Body), "ok")
}

func TestClaimKeysOfOrganisationsDoNotCollide(t *testing.T) {
	assert.Assert(t, claimKey("a", "bc") != claimKey("ab", "c"))
}

func TestVoidedClaimMayBeClaimedAgain(t *testing.T) {
	f := newFixture(t)
	a, b := f.claims(t, "a"), f.claims(t, "b")
	claim, err := acquire(t, a, "k", time.Second)
	assert.NilError(t, err)
	a.Void(t.Context(), claim)
	_, err = acquire(t, b, "k", time.Second)
	assert.NilError(t, err)
	_, err = acquire(t, a, "k", time.Second)
	var taken *TakenError
	assert.Assert(t, errors.As(err, &taken), "%v", err)
}

func TestClaimIsGrantedAfterLostCommitAnswer(t *testing.T) {
	f := newFixture(t)
	a := f.claims(t, "a")
	f.table.SetFault(standin.Fault{LoseAnswers: 1})
	_, err := acquire(t, a, "k", 2*time.Second)
	assert.NilError(t, err)
}

// A claim whose write takes effect after Acquire gave up must not stay held.
func TestAbandonedClaimIsVoidedWhenItsWriteLands(t *testing.T) {
	f := newFixture(t)
	a, b := f.claims(t, "a"), f.claims(t, "b")
	f.table.SetFault(standin.Fault{LoseAnswers: 1000, LateMillis: 250})
	_, err := acquire(t, a, "k", 100*time.Millisecond)
	assert.Assert(t, errors.Is(err, ErrNoClaim), "%v", err)
	time.Sleep(300 * time.Millisecond)
	f.table.SetFault(standin.Fault{})
	waitUntil(t, func() bool { return a.Pending() == 0 })
	_, err = acquire(t, b, "k", time.Second)
	assert.NilError(t, err)
}

func TestAcquireFailsWhileTableServiceIsDown(t *testing.T) {
	f := newFixture(t)
	a := f.claims(t, "a")
	f.table.SetFault(standin.Fault{Down: true})
	_, err := acquire(t, a, "k", 200*time.Millisecond)
	assert.Assert(t, errors.Is(err, ErrNoClaim), "%v", err)
	f.table.SetFault(standin.Fault{})
	waitUntil(t, func() bool { return a.Pending() == 0 })
}

func TestClaimsAreBatchedIntoFewTransactions(t *testing.T) {
	f := newFixture(t)
	a := f.claims(t, "a")
	f.table.SetFault(standin.Fault{LatencyMillis: 20})
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			_, err := acquire(t, a, fmt.Sprint("k", i), 5*time.Second)
			assert.Check(t, err)
		})
	}
	wg.Wait()
	assert.Assert(t, f.table.Commits() < 20, "%d transactions for 200 claims", f.table.Commits())
}

type claimInput struct{ key string }

type claimOutput struct{ granted, taken bool }

// claimModel models one key: it is granted at most once, and reported as taken
// only after a node may have acquired it. An attempt that failed without a claim
// may or may not have held the key for a while.
var claimModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(claimInput).key
			parts[key] = append(parts[key], op)
		}
		var list [][]porcupine.Operation
		for _, p := range parts {
			list = append(list, p)
		}
		return list
	},
	Init: func() []any { return []any{"free"} },
	Step: func(state, _, output any) []any {
		out := output.(claimOutput)
		switch {
		case out.granted && state == "held":
			return nil
		case out.granted:
			return []any{"held"}
		case out.taken && state == "free":
			return nil
		case out.taken:
			return []any{state}
		default:
			// No claim: its write may have taken effect and be voided later.
			return []any{state, "maybe"}
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

func TestClaimHistoryIsLinearizableUnderFaults(t *testing.T) {
	f := newFixture(t)
	var mu sync.Mutex
	var ops []porcupine.Operation
	var grants atomic.Int64
	start := time.Now()
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				f.table.SetFault(standin.Fault{})
				return
			case <-time.After(25 * time.Millisecond):
			}
			f.table.SetFault(standin.Fault{LoseAnswers: 1, LateMillis: int64(i%3) * 60, Down: i%7 == 0})
		}
	})
	var wg sync.WaitGroup
	for node := range 4 {
		c := f.claims(t, fmt.Sprint("n", node))
		wg.Go(func() {
			for i := range 12 {
				key := fmt.Sprint("k", i)
				call := time.Since(start)
				_, err := acquire(t, c, key, 400*time.Millisecond)
				var taken *TakenError
				out := claimOutput{granted: err == nil, taken: errors.As(err, &taken)}
				if out.granted {
					grants.Add(1)
				}
				mu.Lock()
				ops = append(ops, porcupine.Operation{
					ClientId: node, Input: claimInput{key}, Output: out,
					Call: call.Nanoseconds(), Return: time.Since(start).Nanoseconds(),
				})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	close(stop)
	faults.Wait()
	assert.Assert(t, porcupine.CheckOperations(claimModel.ToModel(), ops))
	assert.Assert(t, grants.Load() <= 12)
}

// waitUntil waits for a condition with a generous time limit.
func waitUntil(t testing.TB, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatal("condition never came true")
}
