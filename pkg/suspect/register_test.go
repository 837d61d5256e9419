package suspect_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/pkg/suspect"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func content(name string) site.Fingerprint {
	return site.NewFingerprint("org-one", "POST", "boards.example", "/x", []byte(name))
}

func quickHash(name string) uint64 {
	return suspect.QuickHash("org-one", "POST", "boards.example", "/x", []byte(name))
}

func requestCause(name string) suspect.Cause {
	return suspect.RequestCause(content(name), quickHash(name))
}

// endCase returns a case with one end of a replica, 0.1 s after it got the request.
func endCase(name, replica string, s float64) suspect.Case {
	return suspect.Case{Cause: requestCause(name), Ends: []suspect.ReplicaEnd{{Replica: replica, StartedAt: at(s - 0.1), EndedAt: at(s)}}}
}

func verdict(r *suspect.Register, name string) suspect.Verdict {
	c := r.Case(content(name))
	return c.Verdict()
}

func TestThirdEndBlocksARequest(t *testing.T) {
	r := suspect.NewRegister()
	assert.Assert(t, r.Empty())
	for i, want := range []suspect.Verdict{suspect.Allowed, suspect.Watched, suspect.Blocked, suspect.Blocked} {
		result := r.Merge(endCase("a", fmt.Sprint("r", i), float64(i)))
		assert.Assert(t, result.New)
		assert.Equal(t, result.After, want, "end %d", i)
		assert.Assert(t, !r.Merge(endCase("a", fmt.Sprint("r", i), float64(i))).New, "received twice")
	}
	assert.Equal(t, verdict(r, "b"), suspect.Allowed)
	assert.Equal(t, r.Count(), suspect.Counts{BlockedRequests: 1})
}

// Many replicas end at one moment for another reason. A request in flight at several of
// them is allowed one more run.
func TestSimultaneousEndsDoNotBlock(t *testing.T) {
	r := suspect.NewRegister()
	for i := range 5 {
		r.Merge(endCase("a", fmt.Sprint("r", i), 1+float64(i)*0.01))
	}
	assert.Equal(t, verdict(r, "a"), suspect.Watched)
	assert.Equal(t, r.Merge(endCase("a", "later", 2)).After, suspect.Blocked)
}

func TestFinishClearsEarlierAndFollowingRuns(t *testing.T) {
	finished := func(s float64) suspect.Case {
		return suspect.Case{Cause: requestCause("a"), Finishes: []suspect.Finish{{ID: uint32(s), At: at(s)}}}
	}
	r := suspect.NewRegister()
	r.Merge(endCase("a", "r1", 1))
	r.Merge(endCase("a", "r2", 2))
	assert.Equal(t, verdict(r, "a"), suspect.Watched)
	result := r.Merge(finished(3))
	assert.Equal(t, result.After, suspect.Allowed)
	r.Merge(endCase("a", "r1", 1)) // Received late.
	r.Merge(endCase("a", "r3", 9))
	r.Merge(endCase("a", "r4", 10))
	assert.Equal(t, verdict(r, "a"), suspect.Allowed, "runs that began soon after it")
	for i, s := range []float64{14, 15, 16} {
		r.Merge(endCase("a", fmt.Sprint("s", i), s))
	}
	assert.Equal(t, verdict(r, "a"), suspect.Blocked, "a finished request may start to end replicas")
	assert.Equal(t, r.Merge(finished(17)).After, suspect.Allowed)
}

// A finish that this node has seen clears a request whose ends it learns of only
// afterwards.
func TestOwnFinishIsRemembered(t *testing.T) {
	r := suspect.NewRegister()
	r.RecordFinish(quickHash("a"), at(1))
	received := endCase("a", "r1", 2)
	received.Ends = append(received.Ends, suspect.ReplicaEnd{Replica: "r2", StartedAt: at(2), EndedAt: at(3)})
	result := r.Merge(received)
	assert.Equal(t, result.After, suspect.Allowed)
	assert.Assert(t, result.OwnFinish, "the finish is to be announced")
	assert.Assert(t, r.TryAnnounce(content("a")))
	assert.Assert(t, !r.TryAnnounce(content("a")), "once")
	other := suspect.NewRegister()
	other.Merge(received)
	assert.Equal(t, verdict(other, "a"), suspect.Watched)
	other.Merge(r.Case(content("a")))
	assert.Equal(t, verdict(other, "a"), suspect.Allowed)
}

func TestWatchedRequestRunsOnceAtATime(t *testing.T) {
	r := suspect.NewRegister()
	f := content("a")
	for range 2 {
		assert.Assert(t, r.StartRun(f, time.Second, at(0)), "not watched")
	}
	r.Merge(endCase("a", "r1", 1))
	r.Merge(endCase("a", "r2", 2))
	assert.Assert(t, r.StartRun(f, time.Second, at(3)))
	assert.Assert(t, !r.StartRun(f, time.Second, at(3.5)))
	assert.Assert(t, r.StartRun(f, time.Second, at(4.1)), "the earlier run has timed out")
	r.EndRun(f)
	assert.Assert(t, r.StartRun(f, time.Second, at(4.2)))
	r.Merge(endCase("a", "r3", 4.3))
	assert.Assert(t, !r.StartRun(f, time.Second, at(9)), "blocked")
}

func TestOldCasesAreForgotten(t *testing.T) {
	r := suspect.NewRegister()
	r.Merge(endCase("once", "r1", 0))
	for i := range 3 {
		r.Merge(endCase("blocked", fmt.Sprint("r", i), float64(i)))
	}
	r.Expire(at(59))
	assert.Equal(t, len(r.Case(content("once")).Ends), 1)
	r.Expire(at(61))
	assert.Equal(t, len(r.Case(content("once")).Ends), 0)
	assert.Equal(t, verdict(r, "blocked"), suspect.Blocked)
	r.Expire(at(3602))
	assert.Assert(t, r.Empty())
}

// A great many requests are in flight where a replica ends: a blocked request stays
// blocked, and memory is bounded.
func TestManyCasesDoNotEvictABlockedOne(t *testing.T) {
	r := suspect.NewRegister()
	for i := range 3 {
		r.Merge(endCase("blocked", fmt.Sprint("r", i), float64(i)))
	}
	for i := range 5000 {
		r.Merge(endCase(fmt.Sprint("b", i), "r9", 4+float64(i)/1000))
	}
	assert.Equal(t, verdict(r, "blocked"), suspect.Blocked)
	assert.Equal(t, len(r.Case(content("b0")).Ends), 0, "the oldest case was evicted")
	assert.Equal(t, len(r.Case(content("b4999")).Ends), 1)
	assert.Equal(t, len(r.Flagged(10)), 1)
}

func TestDigestIsEqualForTheSameFlaggedRequests(t *testing.T) {
	a, b := suspect.NewRegister(), suspect.NewRegister()
	assert.Equal(t, a.Digest(), uint64(0))
	for i := range 3 {
		a.Merge(endCase("x", fmt.Sprint("r", i), float64(i)))
		b.Merge(endCase("x", fmt.Sprint("r", i+1), float64(i)))
	}
	assert.Equal(t, a.Digest(), b.Digest())
	a.Merge(endCase("y", "r1", 5))
	assert.Equal(t, a.Digest(), b.Digest(), "a first end does not change the digest")
	a.Merge(endCase("y", "r2", 6))
	assert.Assert(t, a.Digest() != b.Digest())
}

func BenchmarkQuickHash(b *testing.B) {
	body := make([]byte, 100_000)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		suspect.QuickHash("org-one", "POST", "boards.example", "/screen/1", body)
	}
}

// A request was repeated so often that six or more of its runs were in flight when replicas
// ended. Those ends are of one round. They filled the case, later ends were not stored, and
// the request was never blocked: each node let it run again and again, once at a time.
//
// Seen in ten of 1,920 simulated runs: all nodes knew six ends of runs that had begun
// before the first end, while 20 to 31 replicas ended.
func TestManySimultaneousEndsDoNotHideALaterEnd(t *testing.T) {
	for n := 2; n <= 40; n++ {
		r, other := suspect.NewRegister(), suspect.NewRegister()
		var ends []suspect.Case
		for i := range n {
			ends = append(ends, endCase("a", fmt.Sprint("r", i), 1+float64(i)*0.002))
		}
		for i := range ends {
			r.Merge(ends[i])
			other.Merge(ends[len(ends)-1-i])
		}
		assert.Equal(t, verdict(r, "a"), suspect.Watched)
		assert.Equal(t, r.Merge(endCase("a", "later", 2)).After, suspect.Blocked, "behind %d ends", n)
		// The order in which ends are learnt does not matter.
		other.Merge(endCase("a", "later", 2))
		assert.DeepEqual(t, r.Case(content("a")).Ends, other.Case(content("a")).Ends)
	}
}
